//! The clients' side of a connection, without its socket: one request at a time, its answer, the next.
//! Targets bring their news over such connections too.

use crate::clock::Millis;
use crate::http::{Decoder, Fault, Message, Outbox, RequestLine, MAX_BODY};

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Between requests, or part of one has come.
    Open,
    /// A request was handed on and has no answer yet.
    Busy,
    /// The last answer is on its way; nothing more is read.
    Last,
}

/// A connection that a client or a target opened.
pub struct Connection {
    decoder: Decoder<RequestLine>,
    /// Answers on their way.
    pub outbox: Outbox,
    state: State,
    /// The client of the request at hand closes after it.
    last: bool,
    told_to_go_on: bool,
    /// Its sending side is shut.
    pub shut: bool,
    /// When something last came or went.
    pub used: Millis,
    /// It has brought news, so it belongs to a target.
    pub brings_news: bool,
}

impl Connection {
    /// A connection just accepted.
    pub fn new(now: Millis) -> Self {
        Connection {
            decoder: Decoder::new(),
            outbox: Outbox::default(),
            state: State::Open,
            last: false,
            told_to_go_on: false,
            shut: false,
            used: now,
            brings_news: false,
        }
    }

    /// Takes in what was read.
    pub fn receive(&mut self, bytes: &[u8], now: Millis) {
        self.used = now;
        if self.state != State::Last {
            self.decoder.feed(bytes);
        }
    }

    /// Whether to read on. Guards against: a client that sends request after request and reads no answer,
    /// for which requests or answers would fill the memory.
    pub fn wants_more(&self) -> bool {
        self.state == State::Last || !self.decoder.is_full() && !self.lags()
    }

    fn lags(&self) -> bool {
        self.outbox.unsent().len() > MAX_BODY
    }

    /// The next request, if one has come whole and the one before it has its answer.
    pub fn next(&mut self) -> Option<Result<Message<RequestLine>, Fault>> {
        if self.state != State::Open || self.lags() {
            return None;
        }
        let next = self.decoder.next().transpose();
        if self.decoder.expects_continue() && !self.told_to_go_on {
            self.outbox.put(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.told_to_go_on = true;
        }
        if let Some(next) = &next {
            self.state = State::Busy;
            self.told_to_go_on = false;
            self.last = next.as_ref().map_or(true, |m| !m.keep_alive);
        }
        next
    }

    /// Whether the connection outlives the answer to the request at hand, if the scheduler wants it to.
    pub fn keeps(&self, wanted: bool) -> bool {
        wanted && !self.last
    }

    /// Answers the request at hand; `keep` must be what the answer says of the connection.
    pub fn answer(&mut self, bytes: &[u8], keep: bool, now: Millis) {
        if self.state == State::Busy {
            self.outbox.put(bytes);
            self.used = now;
            self.state = if keep { State::Open } else { State::Last };
        }
    }

    /// How far it is.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether it stands between requests with nothing on its way.
    pub fn is_idle(&self) -> bool {
        self.state == State::Open && self.decoder.is_empty() && self.outbox.unsent().is_empty()
    }

    /// Whether part of a request has come and the rest is awaited.
    pub fn is_partial(&self) -> bool {
        self.state == State::Open && !self.decoder.is_empty()
    }
}
