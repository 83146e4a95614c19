//! The clients' side of a connection, without its socket: one request at a time, its answer, the next.
//! Targets bring their news over such connections too.

use crate::clock::Millis;
use crate::http::{Decoder, Fault, Message, Outbox, RequestLine, MAX_BODY};

/// For so long the first request on a new connection may be on its way.
const NEW: Millis = 1_000.0;

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
    has_served: bool,
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
            has_served: false,
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
            self.has_served = true;
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

    /// Whether it may be closed for want of descriptors, or at the end. Guards against: closing a new connection
    /// on its first request, which the client then takes for lost.
    pub fn may_close(&self, now: Millis) -> bool {
        self.is_idle() && (self.has_served || now >= self.used + NEW)
    }

    /// Whether part of a request has come and the rest is awaited.
    pub fn is_partial(&self) -> bool {
        self.state == State::Open && !self.decoder.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_new_connection_is_left_alone_until_its_first_request_must_have_come() {
        let mut c = Connection::new(5.0);
        assert!(c.is_idle() && !c.may_close(5.0 + NEW / 2.0) && c.may_close(5.0 + NEW));
        c.receive(b"GET /up HTTP/1.1\r\n\r\n", 6.0);
        assert!(c.next().is_some() && !c.may_close(1e9));
        c.answer(b"", true, 7.0);
        assert!(c.may_close(7.0));
    }
}
