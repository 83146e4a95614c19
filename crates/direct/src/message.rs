//! HTTP/1.1 messages in pieces (RFC 9112): read as they come, framed anew for the other side. What concerns one
//! connection alone is left out on the way.

use std::fmt::Write;

/// A head may be so long.
pub const MOST_HEAD: usize = 32 * 1024;
const MOST_HEADERS: usize = 128;
/// So much of a body is handed on at a time.
const PIECE: usize = 16 * 1024;
/// A chunk's first line, or a line of the trailer, may be so long.
const MOST_LINE: usize = 4 * 1024;
/// What ends a body in chunks.
pub const CHUNKS_END: &[u8] = b"0\r\n\r\n";
/// Headers of one connection (RFC 9110, 7.6.1).
const HOP: [&str; 9] = [
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

/// Why a message is none: the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wrong(pub u16);

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    None,
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection.
    Close,
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// Method and target.
    Request(String, String),
    /// Status and reason.
    Status(u16, String),
}

/// The head of a message.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Its first line.
    pub line: Line,
    /// HTTP/1.1, and not 1.0.
    pub modern: bool,
    /// Its headers, all of them.
    pub headers: Vec<(String, Vec<u8>)>,
    /// How its body ends.
    pub framing: Framing,
    /// The connection may be used again after it.
    pub keeps: bool,
}

impl Head {
    /// The values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        let named = move |(n, _): &&(String, Vec<u8>)| n.eq_ignore_ascii_case(name);
        self.headers.iter().filter(named).filter_map(|(_, v)| std::str::from_utf8(v).ok()).map(str::trim)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        if let Line::Request(method, _) = &self.line {
            method
        } else {
            ""
        }
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        if let Line::Request(_, target) = &self.line {
            target
        } else {
            ""
        }
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        if let Line::Status(status, _) = self.line {
            status
        } else {
            0
        }
    }

    /// The client wants a word before it sends the body.
    pub fn expects(&self) -> bool {
        self.all("Expect").any(|v| v.eq_ignore_ascii_case("100-continue"))
    }

    /// Headers that go on to the other side.
    fn passed(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        let named: Vec<String> = self.tokens("Connection").collect();
        self.headers.iter().filter(move |(name, _)| {
            let own = |n: &&str| n.eq_ignore_ascii_case(name);
            let framing = ["content-length", "expect"].iter().any(&own);
            !framing && !HOP.iter().any(own) && !named.iter().any(|n| n.eq_ignore_ascii_case(name))
        })
    }

    fn tokens(&self, name: &'static str) -> impl Iterator<Item = String> + '_ {
        let parts = self.all(name).flat_map(|v| v.split(','));
        parts.map(|t| t.trim().to_ascii_lowercase()).filter(|t| !t.is_empty())
    }
}

/// What was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// The head.
    Head(Head),
    /// Some of the body.
    Body(Vec<u8>),
    /// The message is whole.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Head,
    Body(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    End,
}

/// Reads messages of one side of a connection.
pub struct Reader {
    requests: bool,
    buffer: Vec<u8>,
    at: At,
    /// The answer that comes next is to a `HEAD`.
    pub headless: bool,
}

impl Reader {
    /// Of a client's requests, or of a worker's answers.
    pub fn new(requests: bool) -> Reader {
        Reader { requests, buffer: Vec::new(), at: At::Head, headless: false }
    }

    /// Takes in bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether it stands between messages with nothing read ahead.
    pub fn is_idle(&self) -> bool {
        self.at == At::Head && self.buffer.is_empty()
    }

    /// Whether the message at hand has begun.
    pub fn is_begun(&self) -> bool {
        !self.is_idle()
    }

    /// Whether enough is read ahead.
    pub fn is_full(&self) -> bool {
        self.buffer.len() > 2 * MOST_HEAD
    }

    /// The other side has closed: says if the message at hand is whole by that.
    pub fn closed(&mut self) -> bool {
        let whole = self.at == At::UntilClose;
        if whole {
            self.at = At::Head;
        }
        whole
    }

    /// The next piece, if it has come.
    ///
    /// # Errors
    /// What comes is no message.
    pub fn piece(&mut self) -> Result<Option<Piece>, Wrong> {
        loop {
            match self.at {
                At::Head => return self.head(),
                At::Body(0) => self.at = At::End,
                At::Body(left) => return Ok(self.body(left, At::Body)),
                At::Chunk(0) => self.at = At::ChunkEnd,
                At::Chunk(left) => return Ok(self.body(left, At::Chunk)),
                At::UntilClose => return Ok(self.body(u64::MAX, |_| At::UntilClose)),
                At::ChunkSize => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    let digits = line.split(';').next().unwrap_or("").trim();
                    let hex = !digits.is_empty()
                        && digits.len() <= 15
                        && digits.bytes().all(|b| b.is_ascii_hexdigit());
                    let size = u64::from_str_radix(digits, 16).ok().filter(|_| hex).ok_or(Wrong(400))?;
                    self.at = if size == 0 { At::Trailer } else { At::Chunk(size) };
                }
                At::ChunkEnd => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Wrong(400));
                    }
                    self.at = At::ChunkSize;
                }
                At::Trailer => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    if line.is_empty() {
                        self.at = At::End;
                    }
                }
                At::End => {
                    self.at = At::Head;
                    return Ok(Some(Piece::End));
                }
            }
        }
    }

    fn body(&mut self, left: u64, next: impl Fn(u64) -> At) -> Option<Piece> {
        let n = self.buffer.len().min(PIECE).min(usize::try_from(left).unwrap_or(usize::MAX));
        if n == 0 {
            return None;
        }
        let piece = self.buffer.drain(..n).collect();
        self.at = next(left - n as u64);
        Some(Piece::Body(piece))
    }

    fn line(&mut self) -> Result<Option<String>, Wrong> {
        let Some(end) = self.buffer.iter().take(MOST_LINE).position(|b| *b == b'\n') else {
            return if self.buffer.len() >= MOST_LINE { Err(Wrong(400)) } else { Ok(None) };
        };
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        let line = line[..end].strip_suffix(b"\r").ok_or(Wrong(400))?;
        String::from_utf8(line.to_vec()).map(Some).map_err(|_| Wrong(400))
    }

    fn head(&mut self) -> Result<Option<Piece>, Wrong> {
        // Guards against: empty lines before a request (RFC 9112, 2.2).
        while self.requests && self.buffer.starts_with(b"\r\n") {
            self.buffer.drain(..2);
        }
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut space = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let too_large =
            |e: httparse::Error| Wrong(if e == httparse::Error::TooManyHeaders { 431 } else { 400 });
        let parsed = if self.requests {
            let mut head = httparse::Request::new(&mut space);
            match head.parse(&self.buffer).map_err(too_large)? {
                httparse::Status::Partial => None,
                httparse::Status::Complete(n) => {
                    let text = |t: Option<&str>| t.unwrap_or("").to_string();
                    Some((
                        n,
                        Line::Request(text(head.method), text(head.path)),
                        head.version,
                        owned(head.headers),
                    ))
                }
            }
        } else {
            let mut head = httparse::Response::new(&mut space);
            match head.parse(&self.buffer).map_err(too_large)? {
                httparse::Status::Partial => None,
                httparse::Status::Complete(n) => {
                    let line = Line::Status(head.code.unwrap_or(0), head.reason.unwrap_or("").to_string());
                    Some((n, line, head.version, owned(head.headers)))
                }
            }
        };
        let Some((taken, line, version, headers)) = parsed else {
            return if self.buffer.len() > MOST_HEAD { Err(Wrong(431)) } else { Ok(None) };
        };
        if taken > MOST_HEAD {
            return Err(Wrong(431));
        }
        self.buffer.drain(..taken);
        let modern = version == Some(1);
        let mut head = Head { line, modern, headers, framing: Framing::None, keeps: modern };
        head.framing = self.framing(&head)?;
        let tokens: Vec<String> = head.tokens("Connection").collect();
        let says = |word: &str| tokens.iter().any(|t| t == word);
        head.keeps = (modern || says("keep-alive")) && !says("close") && head.framing != Framing::Close;
        self.at = match head.framing {
            Framing::None => At::End,
            Framing::Length(n) => At::Body(n),
            Framing::Chunked => At::ChunkSize,
            Framing::Close => At::UntilClose,
        };
        if (100..200).contains(&head.status()) {
            self.at = At::Head; // the answer itself is still to come
        }
        Ok(Some(Piece::Head(head)))
    }

    /// How the body ends (RFC 9112, 6.3).
    fn framing(&self, head: &Head) -> Result<Framing, Wrong> {
        let status = head.status();
        let bodiless = (100..200).contains(&status) || matches!(status, 204 | 304);
        if !self.requests && (self.headless || bodiless) {
            return Ok(Framing::None);
        }
        let codings: Vec<String> = head.tokens("Transfer-Encoding").collect();
        let mut lengths: Vec<&str> =
            head.all("Content-Length").flat_map(|v| v.split(',')).map(str::trim).collect();
        lengths.dedup();
        // Guards against: a message that two readers end at different places.
        if !codings.is_empty() {
            if !lengths.is_empty() || !head.modern {
                return Err(Wrong(400));
            }
            return if codings == ["chunked"] { Ok(Framing::Chunked) } else { Err(Wrong(501)) };
        }
        match lengths[..] {
            [] if self.requests => Ok(Framing::None),
            [] => Ok(Framing::Close),
            [one] if !one.is_empty() && one.len() <= 18 && one.bytes().all(|b| b.is_ascii_digit()) => {
                one.parse().map(Framing::Length).map_err(|_| Wrong(400))
            }
            _ => Err(Wrong(400)),
        }
    }
}

fn owned(headers: &[httparse::Header]) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|h| (h.name.to_string(), h.value.to_vec())).collect()
}

fn put(out: &mut Vec<u8>, head: &Head) {
    for (name, value) in head.passed() {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

/// The head with which a worker is asked, at this target.
pub fn request_head(head: &Head, target: &str) -> Vec<u8> {
    let mut out = format!("{} {target} HTTP/1.1\r\n", head.method()).into_bytes();
    put(&mut out, head);
    match head.framing {
        Framing::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
        Framing::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Framing::None | Framing::Close => {}
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// The head with which a client is answered, and how the body that follows it is to be framed. `modern`: the client
/// speaks HTTP/1.1; `headless`: it has asked for the head alone; `keep`: the connection stays open, if it can.
pub fn response_head(head: &Head, modern: bool, headless: bool, keep: bool) -> (Vec<u8>, Framing, bool) {
    let framing = match head.framing {
        Framing::Chunked | Framing::Close if modern => Framing::Chunked,
        Framing::Chunked | Framing::Close => Framing::Close,
        other => other,
    };
    let keep = keep && framing != Framing::Close;
    let Line::Status(status, reason) = &head.line else { return (Vec::new(), Framing::None, false) };
    let mut text = String::new();
    let _ = write!(text, "HTTP/1.1 {status} {reason}\r\n"); // a string takes all
    let mut out = text.into_bytes();
    put(&mut out, head);
    match framing {
        Framing::Length(n) => out.extend_from_slice(format!("Content-Length: {n}\r\n").as_bytes()),
        Framing::Chunked => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        // What a HEAD or a 304 says of a length is about the body that is not there.
        Framing::None if headless || *status == 304 => {
            for length in head.all("Content-Length") {
                out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
            }
        }
        Framing::None | Framing::Close => {}
    }
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    } else if !modern {
        out.extend_from_slice(b"Connection: keep-alive\r\n");
    }
    out.extend_from_slice(b"\r\n");
    (out, framing, keep)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// All pieces of a text that comes in parts of this size, bodies joined.
    fn pieces(requests: bool, text: &[u8], size: usize) -> Result<Vec<Piece>, Wrong> {
        let (mut reader, mut all) = (Reader::new(requests), Vec::<Piece>::new());
        for part in text.chunks(size.max(1)) {
            reader.feed(part);
            while let Some(piece) = reader.piece()? {
                match (all.last_mut(), piece) {
                    (Some(Piece::Body(before)), Piece::Body(more)) => before.extend(more),
                    (_, piece) => all.push(piece),
                }
            }
        }
        Ok(all)
    }

    #[test]
    fn messages_come_through_in_pieces_of_any_size() {
        let text = b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPUT /b HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
            2;x=y\r\nde\r\n1\r\nf\r\n0\r\nX-T: 1\r\n\r\nGET /c HTTP/1.0\r\n\r\n";
        let whole = pieces(true, text, 9_999).unwrap();
        let body = |n: usize| if let Piece::Body(b) = &whole[n] { b.clone() } else { panic!("{whole:?}") };
        assert_eq!((whole.len(), body(1), body(4)), (8, b"abc".to_vec(), b"def".to_vec()));
        (1..60).for_each(|size| assert_eq!(pieces(true, text, size).unwrap(), whole));
        let Piece::Head(last) = &whole[6] else { panic!() };
        assert!(!last.keeps && !last.modern && last.framing == Framing::None);
    }

    #[test]
    fn what_two_readers_could_end_at_different_places_is_refused() {
        for (headers, status) in [
            ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400),
            ("Content-Length: 3\r\nContent-Length: 4\r\n", 400),
            ("Content-Length: 3, 4\r\n", 400),
            ("Content-Length: +3\r\n", 400),
            ("Content-Length: \r\n", 400),
            ("Content-Length: 99999999999999999999\r\n", 400),
            ("Transfer-Encoding: gzip, chunked\r\n", 501),
            ("Transfer-Encoding: chunked, chunked\r\n", 501),
        ] {
            let text = format!("POST / HTTP/1.1\r\n{headers}\r\n");
            assert_eq!(pieces(true, text.as_bytes(), 7).err(), Some(Wrong(status)), "{headers}");
        }
        let chunks = |body: &str| {
            pieces(true, format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{body}").as_bytes(), 3)
        };
        for bad in ["x\r\n", "\r\n", "-1\r\n", "1\r\nabc\r\n", "1\nb\r\n", "fffffffffffffffff\r\n"] {
            assert_eq!(chunks(bad), Err(Wrong(400)), "{bad:?}");
        }
        let long = format!("GET / HTTP/1.1\r\nX: {}\r\n", "y".repeat(MOST_HEAD));
        assert_eq!(pieces(true, long.as_bytes(), 999), Err(Wrong(431)));
    }

    #[test]
    fn answers_end_as_status_and_question_say() {
        let one = |text: &str, headless| {
            let mut reader = Reader::new(false);
            reader.headless = headless;
            reader.feed(text.as_bytes());
            let Ok(Some(Piece::Head(head))) = reader.piece() else { panic!() };
            (head.framing, head.keeps, reader.piece().unwrap())
        };
        assert_eq!(
            one("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true),
            (Framing::None, true, Some(Piece::End))
        );
        assert_eq!(
            one("HTTP/1.1 304 N\r\nContent-Length: 3\r\n\r\n", false),
            (Framing::None, true, Some(Piece::End))
        );
        assert_eq!(
            one("HTTP/1.1 200 OK\r\n\r\nab", false),
            (Framing::Close, false, Some(Piece::Body(b"ab".to_vec())))
        );
        let mut reader = Reader::new(false);
        reader.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 N\r\n\r\n");
        let statuses: Vec<u16> = std::iter::from_fn(|| reader.piece().unwrap())
            .filter_map(|p| if let Piece::Head(h) = p { Some(h.status()) } else { None })
            .collect();
        assert_eq!(statuses, [100, 204]);
        let mut open = Reader::new(false);
        open.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na");
        while open.piece().unwrap().is_some() {}
        assert!(!open.closed()); // two bytes are missing
    }

    #[test]
    fn heads_go_on_without_what_concerns_one_connection() {
        let text = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Own: 2\r\nX-Own: 3\r\n\
            Expect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        let Ok(all) = pieces(true, text.as_bytes(), 999) else { panic!() };
        let Piece::Head(head) = &all[0] else { panic!() };
        assert!(head.expects() && !head.keeps);
        let out = String::from_utf8(request_head(head, "/y")).unwrap();
        assert_eq!(out, "POST /y HTTP/1.1\r\nHost: h\r\nX-Own: 2\r\nX-Own: 3\r\nContent-Length: 2\r\n\r\n");
        let answer =
            "HTTP/1.1 200 Fine\r\nTransfer-Encoding: chunked\r\nKeep-Alive: 5\r\nSet-Cookie: a\r\n\r\n";
        let Ok(all) = pieces(false, answer.as_bytes(), 999) else { panic!() };
        let Piece::Head(head) = &all[0] else { panic!() };
        let (out, framing, keep) = response_head(head, false, false, true);
        let expected = "HTTP/1.1 200 Fine\r\nSet-Cookie: a\r\nConnection: close\r\n\r\n";
        assert_eq!(
            (String::from_utf8(out).unwrap().as_str(), framing, keep),
            (expected, Framing::Close, false)
        );
        let (out, framing, keep) = response_head(head, true, false, true);
        assert!(
            String::from_utf8(out).unwrap().contains("Transfer-Encoding: chunked")
                && keep
                && framing == Framing::Chunked
        );
    }

    proptest! {
        #[test]
        fn any_bytes_are_read_or_refused(
            text in "(GET / HTTP/1\\.1\r\n|HTTP/1\\.1 200 OK\r\n|Content-Length: [0-9]{1,3}\r\n|Transfer-Encoding: chunked\r\n|\r\n|[0-9a-f]{1,3}\r\n|[ -~]{0,20}){0,12}",
            size in 1usize..40,
            requests in any::<bool>(),
        ) {
            let whole = pieces(requests, text.as_bytes(), 9_999);
            if let Err(Wrong(status)) = whole {
                prop_assert!([400, 431, 501].contains(&status));
            }
            prop_assert_eq!(pieces(requests, text.as_bytes(), size).is_ok(), whole.is_ok());
        }
    }
}
