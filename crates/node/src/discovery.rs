//! Discovery's protocol, without sockets: calls for the list of workers, and answers as they come in.

use crate::clock::Millis;
use crate::http::{self, Decoder, Fault, Message, Outbox, RequestLine, StatusLine};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::str::Utf8Error;
use thiserror::Error;

/// For so long discovery may hold a call in which nothing changes. Guards against: a watch that falls silent, which
/// shows only once this is over; until then workers that drain or are gone count as they were.
pub const WAIT: Millis = 4_000.0;
/// An answer that has not come so long after that never will. What such a watch has to tell counts as told 2 s after
/// the wait, so that this leaves time to ask again.
const PATIENCE: Millis = 1_000.0;
/// A call is given up after this time, whether it waits or not: a busy discovery has it in its queue, and answers others later for
/// each call that is made again too early.
const CALL_LIMIT: Millis = WAIT + PATIENCE;
/// A call for the whole list is given up sooner: after a move of discovery what it says counts as told 4 s later, and a call that
/// got lost has to be made again before that.
const WHOLE_LIST_LIMIT: Millis = 3_000.0;
/// An answer that has begun and brings nothing more for this time has been cut off: what it says counts as told already.
pub const STALLED: Millis = 300.0;

/// In an answer so many bytes stand before its status: `HTTP/1.1` and a blank.
const BEFORE_STATUS: usize = 9;

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// The version since which changes are asked for; `None`: the whole list.
    pub after: Option<u64>,
    /// How long discovery may wait for changes.
    pub wait: Millis,
}

impl Call {
    /// For how long an answer to it may take to begin and to come whole.
    pub fn limit(&self) -> Millis {
        if self.after.is_some() {
            CALL_LIMIT
        } else {
            WHOLE_LIST_LIMIT
        }
    }

    /// Its bytes.
    pub fn bytes(&self, host: SocketAddr) -> Vec<u8> {
        let target = match self.after {
            Some(version) => format!("/discovery/hosts?after={version}&wait_ms={}", self.wait),
            None => "/discovery/hosts".to_string(),
        };
        let line = RequestLine { method: "GET".into(), target };
        http::request(&line, &[("Host", host.to_string().as_bytes())], b"")
    }
}

/// A list, or changes to one, as discovery tells it.
#[derive(Debug, Default)]
pub struct List {
    /// Its version, where it says one.
    pub version: Option<u64>,
    /// It names all workers that there are.
    pub full: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// One worker as discovery tells it.
#[derive(Debug, Deserialize)]
pub struct Entry {
    /// Its name, the same at all schedulers.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// The name of its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// Its size against others; no unit.
    #[serde(default = "usual_weight")]
    pub weight: f64,
    /// Its last start as Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub started_ms: f64,
}

fn usual_weight() -> f64 {
    1.0
}

/// A list as it is written, its entries unread.
#[derive(Deserialize)]
struct Written<'a> {
    #[serde(borrow, default)]
    version: Option<&'a RawValue>,
    #[serde(borrow, default)]
    full: Option<&'a RawValue>,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

impl List {
    /// Reads a list. An entry that cannot be read is left out: the others are still good. Memory and time are in proportion to
    /// the text.
    ///
    /// # Errors
    /// What is wrong with the whole.
    pub fn read(text: &str) -> Result<List, ListError> {
        fn read<'a, T: Deserialize<'a>>(raw: Option<&'a RawValue>) -> Option<T> {
            serde_json::from_str(raw?.get()).ok()
        }
        let written: Written =
            serde_json::from_str(text).map_err(|error| ListError::Malformed(error.to_string()))?;
        let entry = |raw: &&RawValue| match serde_json::from_str(raw.get()) {
            Ok(entry) => Some(entry),
            Err(e) => {
                log::warn!("discovery: an entry cannot be read: {e}");
                None
            }
        };
        Ok(List {
            version: read(written.version),
            full: read(written.full).unwrap_or(false),
            entries: written.servers.iter().filter_map(entry).collect(),
        })
    }
}

/// Why a text is not an endpoint list.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ListError {
    /// It is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// It is not JSON of the form of a list, with the parser's reason.
    #[error("{0}")]
    Malformed(String),
}

/// Why a call to discovery brought no list.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum DiscoveryError {
    /// No connection could be begun, with the system's reason.
    #[error("no connection: {0}")]
    NoConnection(String),
    /// The connection ended or failed before an answer.
    #[error("the connection ended")]
    Ended,
    /// The connection ended or failed in the middle of an answer.
    #[error("the connection ended in the middle of an answer")]
    EndedInAnswer,
    /// Nothing came within the time limit of the call.
    #[error("no answer in time")]
    TimedOut,
    /// An answer began, and its rest did not come.
    #[error("an answer has begun and does not go on")]
    StalledInAnswer,
    /// Discovery answered with this status.
    #[error("status {0}")]
    Status(u16),
    /// The list is longer than this limit, in bytes.
    #[error("the list is longer than {0} bytes, an eighth of limits.memory_mb")]
    TooLong(usize),
    /// The answer is not HTTP.
    #[error("the answer is no HTTP (as status {})", fault.0)]
    NotHttp {
        /// The mistake, as the status that a client would get for it.
        fault: Fault,
        /// Whether it begins as an answer that has a list in it.
        begins_well: bool,
    },
    /// The body of the answer is not a list.
    #[error("the answer is no list: {0}")]
    NotAList(#[from] ListError),
}

impl DiscoveryError {
    /// Whether discovery has begun to answer with a list: what that says counts as told, though it is not known here.
    pub fn hides_list(&self) -> bool {
        match self {
            DiscoveryError::EndedInAnswer | DiscoveryError::StalledInAnswer => true,
            DiscoveryError::TooLong(_) | DiscoveryError::NotAList(_) => true,
            DiscoveryError::NotHttp { begins_well, .. } => *begins_well,
            DiscoveryError::NoConnection(_)
            | DiscoveryError::Ended
            | DiscoveryError::TimedOut
            | DiscoveryError::Status(_) => false,
        }
    }
}

/// A list that came whole.
#[derive(Debug)]
pub struct Answer {
    /// The list.
    pub list: List,
    /// The connection can take the next call.
    pub keep_alive: bool,
}

/// A connection to discovery, without its socket.
pub struct Connection {
    decoder: Decoder<StatusLine>,
    /// A list holds this many bytes at most.
    max_list: usize,
    /// The call on its way.
    pub outbox: Outbox,
    /// When it is given up.
    pub given_up_at: Millis,
}

impl Connection {
    /// A connection on which no call is made yet; lists hold so many bytes at most.
    pub fn new(max_list: usize) -> Self {
        let (decoder, outbox) = (Decoder::with_limit(max_list), Outbox::default());
        Connection { decoder, max_list, outbox, given_up_at: f64::INFINITY }
    }

    /// Makes a call to discovery at this address.
    pub fn call(&mut self, call: Call, host: SocketAddr, now: Millis) {
        self.outbox.put(&call.bytes(host));
        self.given_up_at = now + call.limit();
    }

    /// Takes in what was read; gives the list once it is whole.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Result<Answer, DiscoveryError>> {
        self.decoder.feed(bytes);
        let begins_well = self.has_begun();
        match self.decoder.next() {
            Ok(message) => message.map(read),
            Err(Fault(413)) if begins_well => Some(Err(DiscoveryError::TooLong(self.max_list))),
            Err(fault) => Some(Err(DiscoveryError::NotHttp { fault, begins_well })),
        }
    }

    /// Whether an answer has begun that brings a list, and has not come whole. Guards against: a refusal that comes in pieces,
    /// taken for news.
    pub fn has_begun(&self) -> bool {
        let status = |head: &[u8]| head.get(BEFORE_STATUS..).is_some_and(|rest| rest.starts_with(b"200"));
        self.decoder.begun_line().map_or_else(|| status(self.decoder.rest()), |line| line.status == 200)
    }

    /// It has ended: a list that goes to the end of the connection is whole now.
    pub fn end(&mut self) -> Result<Answer, DiscoveryError> {
        let begun = self.has_begun();
        match self.decoder.end() {
            // Without a length, one that was cut off ends in the same way: it is no list then.
            Some(message) => read(message),
            None if begun => Err(DiscoveryError::EndedInAnswer),
            None => Err(DiscoveryError::Ended),
        }
    }

    /// It has run out of time.
    pub fn timed_out(&self) -> DiscoveryError {
        if self.has_begun() {
            DiscoveryError::StalledInAnswer
        } else {
            DiscoveryError::TimedOut
        }
    }
}

fn read(message: Message<StatusLine>) -> Result<Answer, DiscoveryError> {
    if message.line.status != 200 {
        return Err(DiscoveryError::Status(message.line.status));
    }
    let text = std::str::from_utf8(&message.body).map_err(ListError::from)?;
    let list = List::read(text)?;
    Ok(Answer { list, keep_alive: message.keep_alive })
}

#[cfg(test)]
mod tests;
