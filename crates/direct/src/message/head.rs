//! The head of a message: its start line and headers.

/// Hop-by-hop headers, which apply to a single connection (RFC 9110, 7.6.1; RFC 2616, 13.5.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Headers that are not forwarded as received: `Content-Length` is generated from the framing of the
/// forwarded body, and the scheduler handles `Expect` itself.
const REPLACED: [&str; 2] = ["content-length", "expect"];

/// The way in which the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    None,
    /// The body has this length in bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum StartLine {
    /// The request line.
    Request {
        /// The method.
        method: String,
        /// The request target.
        target: String,
    },
    /// The status line of a response.
    Status {
        /// The status code.
        status: u16,
        /// The reason phrase.
        reason: String,
    },
}

/// The head of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The first line.
    pub start_line: StartLine,
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http_1_1: bool,
    /// All headers in order, as pairs of name and value.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the connection may be used for another message after this one.
    pub is_persistent: bool,
}

impl Head {
    /// Returns the trimmed values of a header, in order; values that are not UTF-8 are left out.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        let named = self.headers.iter().filter(move |(header, _)| header.eq_ignore_ascii_case(name));
        named.filter_map(|(_, value)| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Returns the method of a request; an empty string for a response.
    pub fn method(&self) -> &str {
        match &self.start_line {
            StartLine::Request { method, .. } => method,
            StartLine::Status { .. } => "",
        }
    }

    /// Returns the target of a request; an empty string for a response.
    pub fn target(&self) -> &str {
        match &self.start_line {
            StartLine::Request { target, .. } => target,
            StartLine::Status { .. } => "",
        }
    }

    /// Returns the status code of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        match &self.start_line {
            StartLine::Request { .. } => 0,
            StartLine::Status { status, .. } => *status,
        }
    }

    /// Returns whether this is an informational (1xx) response, which precedes the final one.
    pub fn is_informational(&self) -> bool {
        (100..200).contains(&self.status())
    }

    /// Returns whether the client waits for a `100 Continue` response before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.values("Expect").any(|value| value.eq_ignore_ascii_case("100-continue"))
    }

    /// Returns the headers that are forwarded to the next hop.
    pub(super) fn end_to_end_headers(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        // The options of `Connection` name further hop-by-hop headers (RFC 9110, 7.6.1).
        let connection_options = self.tokens("Connection");
        self.headers.iter().filter(move |(name, _)| {
            let name = name.to_ascii_lowercase();
            !REPLACED.contains(&name.as_str())
                && !HOP_BY_HOP.contains(&name.as_str())
                && !connection_options.contains(&name)
        })
    }

    /// Returns the elements of a list-valued header, in lower case.
    pub(super) fn tokens(&self, name: &str) -> Vec<String> {
        let elements = self.values(name).flat_map(|value| value.split(','));
        let elements = elements.map(|element| element.trim().to_ascii_lowercase());
        elements.filter(|element| !element.is_empty()).collect()
    }
}
