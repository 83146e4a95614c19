//! Client side of the discovery protocol, independent of sockets: encoding of calls for the endpoint list and
//! incremental decoding of the answers.
//!
//! Changes in a list count as notified once discovery begins to send them. If they do not arrive because a
//! watch has gone silent or the address of discovery has changed, they count as notified some seconds later;
//! the timeouts below allow for that. From this time on, the drain grace of draining and removed workers
//! runs, even if this scheduler has not received the list.

use crate::clock::Millis;
use crate::http::{self, Decoder, HttpError, Message, RequestLine, StatusLine, WriteBuffer};
use std::net::SocketAddr;
use thiserror::Error;

mod list;

pub use list::{Entry, List, ListError};

const PATH: &str = "/discovery/hosts";
/// Status of an answer that contains a list.
const OK: u16 = 200;
/// [`OK`] as sent in the status line.
const OK_BYTES: &[u8] = b"200";
/// Error of the decoder for a body that exceeds its limit.
const CONTENT_TOO_LARGE: HttpError = HttpError(413);

/// Time for which discovery may delay the answer to a call while nothing changes. A watch that has gone
/// silent is detected only after this time; until then, workers that are draining or removed keep their
/// previous state in this scheduler.
pub const MAX_WAIT: Millis = 4_000.0;
/// Time after the end of the wait within which the answer has to arrive. Changes that a silent watch has not
/// delivered count as notified 2 s after the wait, so this value leaves time for another call.
const MAX_RESPONSE_DELAY: Millis = 1_000.0;
/// Timeout of a call for changes, whether or not the call waits. A busy discovery may still have the call in
/// its queue, and each premature repetition would make the queue longer.
const CHANGES_TIMEOUT: Millis = MAX_WAIT + MAX_RESPONSE_DELAY;
/// Timeout of a call for the complete list. When the address of discovery has changed, the list at the new
/// address counts as notified 4 s later, and a lost call has to be repeated before that.
const COMPLETE_LIST_TIMEOUT: Millis = 3_000.0;
/// Time without further bytes after which an incomplete answer counts as cut off. It is short because the
/// list in the answer already counts as notified.
pub const STALL_TIMEOUT: Millis = 300.0;
/// Number of bytes before the status of a response: `HTTP/1.1` and a space.
const BYTES_BEFORE_STATUS: usize = 9;

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Version since which changes are requested; `None` requests the complete list.
    pub after: Option<u64>,
    /// Time for which discovery may wait for changes.
    pub wait: Millis,
}

impl Call {
    /// Returns the time within which the answer has to arrive.
    pub fn timeout(&self) -> Millis {
        match self.after {
            Some(_) => CHANGES_TIMEOUT,
            None => COMPLETE_LIST_TIMEOUT,
        }
    }

    /// Returns the call as an HTTP request to discovery at this address.
    pub fn bytes(&self, address: SocketAddr) -> Vec<u8> {
        let target = match self.after {
            Some(version) => format!("{PATH}?after={version}&wait_ms={}", self.wait),
            None => PATH.to_string(),
        };
        let line = RequestLine { method: "GET".into(), target };
        http::request(&line, &[("Host", address.to_string().as_bytes())], b"")
    }
}

/// Reason why a call to discovery did not return a list.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum DiscoveryError {
    /// The connection could not be opened, with the error returned by the operating system.
    #[error("no connection: {0}")]
    NoConnection(String),
    /// The connection was closed or failed before an answer.
    #[error("the connection ended")]
    Ended,
    /// The connection was closed or failed in the middle of an answer.
    #[error("the connection ended in the middle of an answer")]
    EndedInAnswer,
    /// No answer arrived within the timeout of the call.
    #[error("no answer in time")]
    TimedOut,
    /// An answer began, but its rest did not arrive in time.
    #[error("an answer has begun and does not continue")]
    StalledInAnswer,
    /// Discovery answered with this HTTP status instead of a list.
    #[error("status {0}")]
    Status(u16),
    /// The list exceeds this limit, in bytes.
    #[error("the list is longer than {0} bytes, an eighth of limits.memory_mb")]
    TooLong(usize),
    /// The answer is not valid HTTP.
    #[error("the answer is not valid HTTP (as status {})", error.0)]
    NotHttp {
        /// The error, as the status that a client would get for a request with the same error.
        error: HttpError,
        /// Whether the answer begins like one that contains a list.
        is_list_response: bool,
    },
    /// The body of the answer is not a list.
    #[error("the answer is not an endpoint list: {0}")]
    NotAList(#[from] ListError),
}

impl DiscoveryError {
    /// Returns whether discovery has begun to answer with a list. The changes in that list count as notified,
    /// although this scheduler has not received them.
    pub fn counts_as_notified(&self) -> bool {
        match self {
            DiscoveryError::EndedInAnswer
            | DiscoveryError::StalledInAnswer
            | DiscoveryError::TooLong(_)
            | DiscoveryError::NotAList(_) => true,
            DiscoveryError::NotHttp { is_list_response, .. } => *is_list_response,
            DiscoveryError::NoConnection(_)
            | DiscoveryError::Ended
            | DiscoveryError::TimedOut
            | DiscoveryError::Status(_) => false,
        }
    }
}

/// An answer that contains a list.
#[derive(Debug)]
pub struct ListResponse {
    /// The list.
    pub list: List,
    /// Whether the connection can be used for the next call.
    pub keep_alive: bool,
}

/// State of a connection to discovery, independent of its socket.
pub struct Connection {
    decoder: Decoder<StatusLine>,
    /// Maximum size of a list, in bytes.
    max_list_bytes: usize,
    /// The call that is being sent.
    pub write_buffer: WriteBuffer,
    /// Time at which the call times out; infinite before the first call.
    pub deadline: Millis,
}

impl Connection {
    /// Creates a connection without a call. `max_list_bytes` is the maximum size of a list, in
    /// bytes.
    pub fn new(max_list_bytes: usize) -> Self {
        Connection {
            decoder: Decoder::with_limit(max_list_bytes),
            max_list_bytes,
            write_buffer: WriteBuffer::default(),
            deadline: f64::INFINITY,
        }
    }

    /// Starts a call to discovery at this address.
    pub fn call(&mut self, call: Call, address: SocketAddr, now: Millis) {
        self.write_buffer.append(&call.bytes(address));
        self.deadline = now + call.timeout();
    }

    /// Processes received bytes. Returns the result of the call once it is complete.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Result<ListResponse, DiscoveryError>> {
        self.decoder.feed(bytes);
        let is_list_response = self.is_response_started();
        match self.decoder.next() {
            Ok(message) => message.map(read_response),
            Err(CONTENT_TOO_LARGE) if is_list_response => {
                Some(Err(DiscoveryError::TooLong(self.max_list_bytes)))
            }
            Err(error) => Some(Err(DiscoveryError::NotHttp { error, is_list_response })),
        }
    }

    /// Returns whether an answer with a list has begun and is not complete. The status distinguishes it from
    /// an error response, which may also be received in pieces.
    pub fn is_response_started(&self) -> bool {
        match self.decoder.current_start_line() {
            Some(line) => line.status == OK,
            None => match self.decoder.unread().get(BYTES_BEFORE_STATUS..) {
                Some(rest) => rest.starts_with(OK_BYTES),
                None => false,
            },
        }
    }

    /// Handles the end of the connection, which is also the end of an answer without a length.
    ///
    /// # Errors
    /// Returns an error if there was no answer or if it is not a list, for example because an answer without
    /// a length was cut off.
    pub fn end(&mut self) -> Result<ListResponse, DiscoveryError> {
        let is_response_started = self.is_response_started();
        match self.decoder.finish() {
            Some(message) => read_response(message),
            None if is_response_started => Err(DiscoveryError::EndedInAnswer),
            None => Err(DiscoveryError::Ended),
        }
    }

    /// Returns the error of a call that has timed out.
    pub fn timed_out(&self) -> DiscoveryError {
        if self.is_response_started() {
            DiscoveryError::StalledInAnswer
        } else {
            DiscoveryError::TimedOut
        }
    }
}

/// Returns the list in a complete answer.
fn read_response(message: Message<StatusLine>) -> Result<ListResponse, DiscoveryError> {
    if message.line.status != OK {
        return Err(DiscoveryError::Status(message.line.status));
    }
    let text = std::str::from_utf8(&message.body).map_err(ListError::from)?;
    let list = List::read(text)?;
    Ok(ListResponse { list, keep_alive: message.keep_alive })
}

#[cfg(test)]
mod tests;
