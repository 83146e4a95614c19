//! HTTP/1.1 framing, shared by all connections: heads by httparse, bodies by length, by chunks or to the end.

mod write;
pub use write::*;

/// A body of a request, a result or a probe holds this many bytes at most. A reader of other messages has a limit of its own: see
/// [`Decoder::with_limit`].
pub const MAX_BODY: usize = 64 * 1024;
/// And a head this much.
pub const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
/// Room that a buffer keeps when it has nothing in it.
const KEPT_ROOM: usize = 4 * 1024;
/// A chunk's size line holds this much at most.
const MAX_CHUNK_LINE: usize = 256;

/// Why input cannot be read, as the status to answer it with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault(pub u16);

const BAD: Fault = Fault(400);

/// Header lines in order.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
    fn from(parsed: &[httparse::Header]) -> Headers {
        Headers(parsed.iter().map(|h| (h.name.to_string(), h.value.to_vec())).collect())
    }

    /// All values of a header.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_slice())
    }

    /// The first value of a header, where it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.all(name).next()?).ok().map(str::trim)
    }

    /// The value of a header that must not come twice. Guards against: two values of which each reader takes
    /// another.
    pub fn single(&self, name: &str) -> Result<Option<&str>, Fault> {
        let mut values = self.all(name);
        let first = values.next().map(|v| std::str::from_utf8(v).map_err(|_| BAD)).transpose()?;
        match values.next() {
            Some(_) => Err(BAD),
            None => Ok(first.map(str::trim)),
        }
    }

    /// Whether a header's comma-separated values name this one.
    pub fn names(&self, name: &str, token: &str) -> bool {
        let text = |v| std::str::from_utf8(v).unwrap_or("");
        self.all(name).flat_map(|v| text(v).split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// The first line of a message.
pub trait StartLine: Sized {
    /// Reads a head: the line, the minor version, the headers and the head's length, once it is whole.
    fn parse(bytes: &[u8]) -> Result<Option<(Self, u8, Headers, usize)>, Fault>;
    /// What a body without a stated length is; `None`: the message has no body whatever is stated.
    fn unstated(&self) -> Option<Framing>;
}

/// A request's first line.
#[derive(Clone, Debug)]
pub struct RequestLine {
    /// Such as `POST`.
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
}

/// An answer's first line.
#[derive(Clone, Debug)]
pub struct StatusLine {
    /// The status.
    pub status: u16,
}

fn fault(e: httparse::Error) -> Fault {
    if e == httparse::Error::TooManyHeaders {
        Fault(431)
    } else {
        BAD
    }
}

impl StartLine for RequestLine {
    fn parse(bytes: &[u8]) -> Result<Option<(Self, u8, Headers, usize)>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(len) = head.parse(bytes).map_err(fault)? else { return Ok(None) };
        let (method, target) = (head.method.unwrap_or("").into(), head.path.unwrap_or("").into());
        Ok(Some((
            RequestLine { method, target },
            head.version.unwrap_or(0),
            Headers::from(head.headers),
            len,
        )))
    }

    fn unstated(&self) -> Option<Framing> {
        Some(Framing::Length(0))
    }
}

impl StartLine for StatusLine {
    fn parse(bytes: &[u8]) -> Result<Option<(Self, u8, Headers, usize)>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(len) = head.parse(bytes).map_err(fault)? else { return Ok(None) };
        let line = StatusLine { status: head.code.unwrap_or(0) };
        Ok(Some((line, head.version.unwrap_or(0), Headers::from(head.headers), len)))
    }

    fn unstated(&self) -> Option<Framing> {
        (!matches!(self.status, 100..=199 | 204 | 304)).then_some(Framing::ToEnd)
    }
}

/// How much of a body is to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// A chunk's size line is next.
    ChunkSize,
    /// So many bytes of a chunk, its line end included.
    Chunk(usize),
    /// Lines after the last chunk, up to an empty one.
    Trailer,
    /// All until the connection ends.
    ToEnd,
}

/// A whole message.
#[derive(Clone, Debug)]
pub struct Message<S> {
    /// Its first line.
    pub line: S,
    /// Its headers.
    pub headers: Headers,
    /// Its body, without framing.
    pub body: Vec<u8>,
    /// Whether its sender keeps the connection.
    pub keep_alive: bool,
}

/// Takes bytes as they come and gives whole messages.
pub struct Decoder<S> {
    buffer: Vec<u8>,
    /// A body holds this many bytes at most.
    max_body: usize,
    /// Up to here the buffer is done with. Guards against: thousands of tiny chunks or requests in one buffer, for
    /// each of which all that follows would be moved.
    done: usize,
    /// From there on so much has been looked through in which no head ends.
    scanned: usize,
    begun: Option<(Message<S>, Framing)>,
}

impl<S: StartLine> Decoder<S> {
    /// Nothing read yet, of messages with bodies of up to [`MAX_BODY`].
    pub fn new() -> Self {
        Decoder::with_limit(MAX_BODY)
    }

    /// Nothing read yet, of messages with bodies of up to so many bytes.
    pub fn with_limit(max_body: usize) -> Self {
        Decoder { buffer: Vec::new(), max_body, done: 0, scanned: 0, begun: None }
    }

    /// Takes in bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.done));
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether nothing of a further message has come.
    pub fn is_empty(&self) -> bool {
        self.rest().is_empty() && self.begun.is_none()
    }

    /// The first line of the message at hand, once its head has come whole.
    pub fn begun_line(&self) -> Option<&S> {
        self.begun.as_ref().map(|(message, _)| &message.line)
    }

    /// Whether it holds more than one message can need, so that nothing should be read before it is taken.
    pub fn is_full(&self) -> bool {
        self.rest().len() > MAX_HEAD + self.max_body
    }

    /// Gives memory back. Guards against: hundreds of connections that each keep room for the largest body.
    fn slim(&mut self) {
        if self.rest().is_empty() {
            self.done = 0;
            self.buffer.clear();
            self.buffer.shrink_to(KEPT_ROOM);
        }
    }

    /// What has come and is not read yet.
    pub fn rest(&self) -> &[u8] {
        &self.buffer[self.done..]
    }

    /// Takes so many bytes of it.
    fn take(&mut self, n: usize) -> &[u8] {
        self.done += n;
        &self.buffer[self.done - n..self.done]
    }

    /// Whether the head has come and its sender waits for a word before the body.
    pub fn expects_continue(&self) -> bool {
        self.begun.as_ref().is_some_and(|(m, _)| m.headers.names("expect", "100-continue"))
    }

    /// The next message, if it has come whole.
    pub fn next(&mut self) -> Result<Option<Message<S>>, Fault> {
        if self.begun.is_none() {
            self.begun = self.head()?;
        }
        let Some((mut message, mut framing)) = self.begun.take() else { return Ok(None) };
        loop {
            match self.step(&mut message.body, framing)? {
                Step::More => {
                    self.begun = Some((message, framing));
                    return Ok(None);
                }
                Step::Next(next) => framing = next,
                Step::Done => {
                    self.slim();
                    return Ok(Some(message));
                }
            }
        }
    }

    /// The connection has ended: a message that goes to the end is whole now.
    pub fn end(&mut self) -> Option<Message<S>> {
        self.begun.take().filter(|(_, framing)| *framing == Framing::ToEnd).map(|(message, _)| message)
    }

    fn head(&mut self) -> Result<Option<(Message<S>, Framing)>, Fault> {
        // Guards against: a head that trickles in and would be parsed from its start for every byte.
        let from = self.scanned.saturating_sub(3);
        let (have, new) = (self.rest().len(), &self.rest()[from.min(self.rest().len())..]);
        let ends = new.windows(3).any(|w| w == b"\n\r\n") || new.windows(2).any(|w| w == b"\n\n");
        self.scanned = have;
        if !ends {
            return if have > MAX_HEAD { Err(Fault(431)) } else { Ok(None) };
        }
        let Some((line, minor, headers, len)) = S::parse(self.rest())? else { return Ok(None) };
        if len > MAX_HEAD {
            return Err(Fault(431));
        }
        let framing = framing(&line, &headers)?;
        self.take(len);
        self.scanned = 0;
        let close = headers.names("connection", "close");
        let keep_alive = !close && (minor > 0 || headers.names("connection", "keep-alive"));
        let keep_alive = keep_alive && framing != Framing::ToEnd;
        Ok(Some((Message { line, headers, body: Vec::new(), keep_alive }, framing)))
    }

    fn step(&mut self, body: &mut Vec<u8>, framing: Framing) -> Result<Step, Fault> {
        let have = self.rest().len();
        match framing {
            Framing::Length(want) if want > self.max_body => Err(Fault(413)),
            Framing::Length(want) if have < want => Ok(Step::More),
            Framing::Length(want) => {
                body.extend_from_slice(self.take(want));
                Ok(Step::Done)
            }
            Framing::ToEnd => {
                body.extend_from_slice(self.take(have));
                if body.len() > self.max_body {
                    return Err(Fault(413));
                }
                Ok(Step::More)
            }
            Framing::ChunkSize => match httparse::parse_chunk_size(self.rest()).map_err(|_| BAD)? {
                httparse::Status::Partial if have > MAX_CHUNK_LINE => Err(BAD),
                httparse::Status::Partial => Ok(Step::More),
                httparse::Status::Complete((_, size))
                    if size > self.max_body.saturating_sub(body.len()) as u64 =>
                {
                    Err(Fault(413))
                }
                httparse::Status::Complete((line, size)) => {
                    self.take(line);
                    let next = if size == 0 { Framing::Trailer } else { Framing::Chunk(size as usize + 2) };
                    Ok(Step::Next(next))
                }
            },
            Framing::Chunk(want) if have < want => Ok(Step::More),
            Framing::Chunk(want) => {
                let chunk = self.take(want).strip_suffix(b"\r\n").ok_or(BAD)?;
                body.extend_from_slice(chunk);
                Ok(Step::Next(Framing::ChunkSize))
            }
            Framing::Trailer => match self.rest().iter().position(|b| *b == b'\n') {
                None if have > MAX_HEAD => Err(Fault(431)),
                None => Ok(Step::More),
                Some(end) => {
                    let last = self.take(end + 1).trim_ascii().is_empty();
                    Ok(if last { Step::Done } else { Step::Next(Framing::Trailer) })
                }
            },
        }
    }
}

enum Step {
    /// More bytes are needed.
    More,
    /// On with what comes next.
    Next(Framing),
    /// The message is whole.
    Done,
}

/// How a message's body is framed. Guards against: lengths that two readers would read differently.
fn framing<S: StartLine>(line: &S, headers: &Headers) -> Result<Framing, Fault> {
    let Some(unstated) = line.unstated() else { return Ok(Framing::Length(0)) };
    let mut lengths = headers.all("content-length");
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(BAD);
    }
    let mut codings = headers.all("transfer-encoding");
    match (codings.next(), length) {
        (Some(_), Some(_)) => Err(BAD),
        (Some(coding), None) if codings.next().is_none() && coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::ChunkSize)
        }
        (Some(_), None) => Err(Fault(501)),
        (None, Some(length)) => {
            let text = std::str::from_utf8(length).map_err(|_| BAD)?;
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(BAD);
            }
            // A number too long to hold is too large all the same.
            Ok(Framing::Length(text.parse().unwrap_or(usize::MAX)))
        }
        (None, None) => Ok(unstated),
    }
}

#[cfg(test)]
mod tests;
