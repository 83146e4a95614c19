//! Incremental decoding of messages, independent of how the bytes are split.

use super::framing::Framing;
use super::message::{HttpError, Message, StartLine, BAD_REQUEST, CONTENT_TOO_LARGE, HEADERS_TOO_LARGE};
use super::{MAX_BODY, MAX_HEAD, RETAINED_CAPACITY};
use httparse::Status;

/// Maximum size of a chunk's size line, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Size of the line end after a chunk, in bytes.
const CHUNK_LINE_END: usize = 2;

/// Decodes a stream of bytes into complete messages.
pub struct Decoder<S> {
    buffer: Vec<u8>,
    /// Maximum size of a body, in bytes.
    max_body: usize,
    /// Number of bytes at the start of the buffer that are already decoded. They are removed only when more
    /// bytes arrive, are needed or no others are left, not for each of possibly thousands of tiny chunks or
    /// requests, since each removal moves all following bytes.
    consumed: usize,
    /// Number of unread bytes that have been searched for the end of a head without finding it.
    scanned: usize,
    /// The message whose head is complete.
    current: Option<PartialMessage<S>>,
}

/// A message whose body is incomplete.
struct PartialMessage<S> {
    message: Message<S>,
    framing: Framing,
}

/// Result of decoding one element of a body.
enum BodyStep {
    /// More bytes are needed.
    NeedsMore,
    /// Continue with the next element of the body.
    Continue(Framing),
    /// The message is complete.
    Complete,
}

impl<S: StartLine> Decoder<S> {
    /// Creates a decoder for messages with bodies of at most [`MAX_BODY`] bytes.
    pub fn new() -> Self {
        Decoder::with_limit(MAX_BODY)
    }

    /// Creates a decoder for messages with bodies of at most `max_body` bytes.
    pub fn with_limit(max_body: usize) -> Self {
        Decoder { buffer: Vec::new(), max_body, consumed: 0, scanned: 0, current: None }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.remove_consumed();
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether no message is partially received and no unread bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.unread().is_empty() && self.current.is_none()
    }

    /// Returns the start line of the current message if its head is complete and its body is not.
    pub fn current_start_line(&self) -> Option<&S> {
        self.current.as_ref().map(|partial| &partial.message.line)
    }

    /// Returns whether the decoder holds more bytes than one message can need, so that no more should be read
    /// until that message is taken.
    pub fn is_full(&self) -> bool {
        self.unread().len() > MAX_HEAD + self.max_body
    }

    /// Removes the bytes that are already decoded.
    fn remove_consumed(&mut self) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
    }

    /// Releases the memory of the bytes that are already decoded, if they take much. Without this, hundreds of
    /// connections would each retain the capacity for the largest body that they have received, or hold the
    /// decoded part of an incomplete body twice. A large buffer is replaced: shrinking it in place would leave
    /// gaps in the heap that the next body does not fit into.
    fn release_consumed(&mut self) {
        let is_unused = self.unread().is_empty() && self.buffer.capacity() > RETAINED_CAPACITY;
        if is_unused || self.consumed > RETAINED_CAPACITY {
            self.buffer = self.unread().to_vec();
            self.consumed = 0;
        }
    }

    /// Returns the memory that buffered bytes and the current message take, in bytes.
    pub fn held_bytes(&self) -> usize {
        let message = self.current.as_ref().map_or(0, |partial| partial.message.held_bytes());
        self.buffer.capacity() + message
    }

    /// Discards all buffered bytes and the current message, and releases their memory.
    pub fn clear(&mut self) {
        self.buffer = Vec::new();
        self.consumed = 0;
        self.scanned = 0;
        self.current = None;
    }

    /// Returns the bytes that are not decoded yet.
    pub fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Consumes and returns the given number of bytes.
    fn consume(&mut self, length: usize) -> &[u8] {
        self.consumed += length;
        &self.buffer[self.consumed - length..self.consumed]
    }

    /// Returns whether the head is complete and its sender waits for an interim response before it sends the
    /// body.
    pub fn expects_continue(&self) -> bool {
        let Some(partial) = &self.current else { return false };
        partial.message.headers.contains_token("expect", "100-continue")
    }

    /// Returns the next message, or `None` if it is incomplete.
    ///
    /// # Errors
    /// The input is not a valid message, or exceeds the limits. The decoder cannot be used after that.
    pub fn next(&mut self) -> Result<Option<Message<S>>, HttpError> {
        if self.current.is_none() {
            self.current = self.read_head()?;
        }
        let Some(PartialMessage { mut message, mut framing }) = self.current.take() else { return Ok(None) };
        loop {
            match self.read_body(&mut message.body, framing)? {
                BodyStep::NeedsMore => {
                    self.current = Some(PartialMessage { message, framing });
                    self.release_consumed();
                    return Ok(None);
                }
                BodyStep::Continue(next) => framing = next,
                BodyStep::Complete => {
                    message.body.shrink_to_fit(); // it may have grown chunk by chunk
                    self.release_consumed();
                    return Ok(Some(message));
                }
            }
        }
    }

    /// Handles the end of the connection. Returns the current message if its body lasts until the connection
    /// ends.
    pub fn finish(&mut self) -> Option<Message<S>> {
        let partial = self.current.take()?;
        match partial.framing {
            Framing::ToEnd => Some(partial.message),
            Framing::Length(_) | Framing::ChunkSize | Framing::Chunk(_) | Framing::Trailer => None,
        }
    }

    fn read_head(&mut self) -> Result<Option<PartialMessage<S>>, HttpError> {
        if !self.has_complete_head() {
            let is_too_long = self.unread().len() > MAX_HEAD;
            return if is_too_long { Err(HEADERS_TOO_LARGE) } else { Ok(None) };
        }
        let Some(head) = S::parse(self.unread())? else { return Ok(None) };
        if head.length > MAX_HEAD {
            return Err(HEADERS_TOO_LARGE);
        }
        let framing = Framing::of(&head.line, &head.headers)?;
        self.consume(head.length);
        self.scanned = 0;
        let is_persistent = head.minor_version > 0 || head.headers.contains_token("connection", "keep-alive");
        let closes = head.headers.contains_token("connection", "close") || framing == Framing::ToEnd;
        let keep_alive = is_persistent && !closes;
        let message = Message { line: head.line, headers: head.headers, body: Vec::new(), keep_alive };
        Ok(Some(PartialMessage { message, framing }))
    }

    /// Returns whether an empty line has been received. Remembering the searched length avoids parsing a
    /// slowly arriving head from its start for every byte.
    fn has_complete_head(&mut self) -> bool {
        let unread = self.unread();
        // The empty line may have begun in the last bytes that were searched.
        let start = self.scanned.saturating_sub(3).min(unread.len());
        let bytes = &unread[start..];
        let is_complete = bytes.windows(3).any(|window| window == b"\n\r\n")
            || bytes.windows(2).any(|window| window == b"\n\n");
        self.scanned = unread.len();
        is_complete
    }

    fn read_body(&mut self, body: &mut Vec<u8>, framing: Framing) -> Result<BodyStep, HttpError> {
        let available = self.unread().len();
        match framing {
            Framing::Length(length) if length > self.max_body => Err(CONTENT_TOO_LARGE),
            Framing::Length(length) if available < length => Ok(BodyStep::NeedsMore),
            Framing::Length(length) => {
                body.extend_from_slice(self.consume(length));
                Ok(BodyStep::Complete)
            }
            Framing::ToEnd => {
                body.extend_from_slice(self.consume(available));
                if body.len() > self.max_body {
                    return Err(CONTENT_TOO_LARGE);
                }
                Ok(BodyStep::NeedsMore)
            }
            Framing::ChunkSize => self.read_chunk_size(body.len()),
            Framing::Chunk(length) if available < length => Ok(BodyStep::NeedsMore),
            Framing::Chunk(length) => {
                let chunk = self.consume(length).strip_suffix(b"\r\n").ok_or(BAD_REQUEST)?;
                body.extend_from_slice(chunk);
                Ok(BodyStep::Continue(Framing::ChunkSize))
            }
            Framing::Trailer => self.read_trailer_line(),
        }
    }

    /// Reads the size line of a chunk, after `body_length` bytes of the body.
    fn read_chunk_size(&mut self, body_length: usize) -> Result<BodyStep, HttpError> {
        let parsed = httparse::parse_chunk_size(self.unread()).map_err(|_| BAD_REQUEST)?;
        let Status::Complete((line_length, size)) = parsed else {
            let is_too_long = self.unread().len() > MAX_CHUNK_LINE;
            return if is_too_long { Err(BAD_REQUEST) } else { Ok(BodyStep::NeedsMore) };
        };
        if size > self.max_body.saturating_sub(body_length) as u64 {
            return Err(CONTENT_TOO_LARGE);
        }
        self.consume(line_length);
        if size == 0 {
            return Ok(BodyStep::Continue(Framing::Trailer));
        }
        Ok(BodyStep::Continue(Framing::Chunk(size as usize + CHUNK_LINE_END)))
    }

    fn read_trailer_line(&mut self) -> Result<BodyStep, HttpError> {
        let Some(line_end) = self.unread().iter().position(|byte| *byte == b'\n') else {
            let is_too_long = self.unread().len() > MAX_HEAD;
            return if is_too_long { Err(HEADERS_TOO_LARGE) } else { Ok(BodyStep::NeedsMore) };
        };
        let is_last = self.consume(line_end + 1).trim_ascii().is_empty();
        Ok(if is_last { BodyStep::Complete } else { BodyStep::Continue(Framing::Trailer) })
    }
}
