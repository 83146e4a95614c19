//! The clients' side of a connection, without its socket: one request at a time, its answer, the next.
//! Targets bring their news over such connections too.

use crate::clock::Millis;
use crate::http::{Decoder, Fault, Message, Outbox, RequestLine, MAX_BODY};

/// For so long the first request on a new connection may be on its way.
const NEW: Millis = 100.0;
/// A request must be whole within this time: the first from the connection's start, any other from its first byte.
pub const WHOLE: Millis = 2_500.0;
/// After its last answer a connection is kept this long for the client to read it and close.
const LINGER: Millis = 2_000.0;
/// So long an answer may wait for its client to read on.
const STALLED: Millis = 10_000.0;

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

/// A connection that a client or a worker opened.
pub struct Connection {
    decoder: Decoder<RequestLine>,
    /// Answers on their way.
    pub outbox: Outbox,
    state: State,
    /// The client of the request at hand closes after it.
    last: bool,
    continue_sent: bool,
    has_served: bool,
    /// Its sending side is shut.
    pub shut: bool,
    opened: Millis,
    /// When the request that has come in part began.
    begun: Millis,
    /// When something last came or went, but for what comes after the last answer.
    pub used: Millis,
    /// It has brought news, so it belongs to a worker.
    pub brings_job_status: bool,
}

impl Connection {
    /// A connection just accepted.
    pub fn new(now: Millis) -> Self {
        Connection {
            decoder: Decoder::new(),
            outbox: Outbox::default(),
            state: State::Open,
            last: false,
            continue_sent: false,
            has_served: false,
            shut: false,
            opened: now,
            begun: now,
            used: now,
            brings_job_status: false,
        }
    }

    /// A connection that another process has accepted so long ago; `job`: it waits for a job's answer, and whether
    /// its client closes after that.
    pub fn moved(now: Millis, age: Millis, has_served: bool, job: Option<bool>) -> Self {
        let state = if job.is_some() { State::Busy } else { State::Open };
        Connection {
            opened: now - age,
            has_served,
            state,
            last: job.unwrap_or(false),
            ..Connection::new(now)
        }
    }

    /// Whether another process can go on with it as it is: nothing has come or goes out in part.
    pub fn may_move(&self) -> bool {
        self.state != State::Last && self.decoder.is_empty() && self.outbox.unsent().is_empty()
    }

    /// For how long it has been open.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.opened
    }

    /// Whether the client of the request at hand closes after it.
    pub fn is_last(&self) -> bool {
        self.last
    }

    /// Takes in what was read.
    pub fn receive(&mut self, bytes: &[u8], now: Millis) {
        if self.state != State::Last {
            if self.decoder.is_empty() && self.has_served {
                self.begun = now;
            }
            self.used = now;
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
        if self.decoder.expects_continue() && !self.continue_sent {
            self.outbox.put(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.continue_sent = true;
        }
        if let Some(next) = &next {
            self.state = State::Busy;
            self.continue_sent = false;
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
            self.begun = now;
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
        self.is_idle() && (self.has_served || now >= self.opened + NEW)
    }

    /// Whether it has had an answer to anything.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Whether part of a request has come and the rest is awaited.
    pub fn is_partial(&self) -> bool {
        self.state == State::Open && !self.decoder.is_empty()
    }

    /// Whether the process may not end yet for its sake: a request is under way, or has come in part, or an answer is not written.
    /// Guards against: a request whose last byte is on its way as the process ends, lost without an answer.
    pub fn owes(&self) -> bool {
        self.state == State::Busy || self.is_partial() || !self.outbox.unsent().is_empty()
    }

    /// Gives up waiting for the rest of a request; says what its client is owed for it.
    pub fn give_up_request(&mut self) -> Fault {
        (self.state, self.last) = (State::Busy, true);
        Fault(408)
    }

    /// Until when it can stay as it is. Guards against: clients that say nothing, or begin and never end, or read
    /// no answer, each of which would hold a descriptor for ever. One that stands idle between requests may stay.
    pub fn deadline(&self) -> Millis {
        match self.state {
            _ if !self.outbox.unsent().is_empty() => self.used + STALLED,
            State::Busy => f64::INFINITY,
            State::Last => self.used + LINGER,
            State::Open if self.is_partial() => self.begun + WHOLE,
            State::Open if self.has_served => f64::INFINITY,
            State::Open => self.opened + WHOLE,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const UP: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";

    #[test]
    fn a_new_connection_is_left_alone_until_its_first_request_must_have_come() {
        let mut c = Connection::new(5.0);
        assert!(c.is_idle() && !c.may_close(5.0 + NEW / 2.0) && c.may_close(5.0 + NEW));
        c.receive(UP, 6.0);
        assert!(c.next().is_some() && !c.may_close(1e9));
        c.answer(b"", true, 7.0);
        assert!(c.may_close(7.0));
    }

    #[test]
    fn the_end_waits_for_what_is_under_way_half_read_or_not_written() {
        let mut c = Connection::new(5.0);
        assert!(!c.owes());
        c.receive(&UP[..5], 6.0);
        assert!(c.owes()); // half a request
        c.receive(&UP[5..], 7.0);
        assert!(c.next().is_some() && c.owes()); // one under way
        c.answer(b"ab", true, 8.0);
        assert!(c.owes()); // an answer that is not written
        c.outbox.sent(1);
        assert!(c.owes());
        c.outbox.sent(1);
        assert!(!c.owes());
    }

    #[test]
    fn a_connection_that_moves_goes_on_as_it_was() {
        let mut c = Connection::new(5.0);
        c.receive(&UP[..5], 6.0);
        assert!(!c.may_move()); // half a request is here, and nowhere else
        c.receive(&UP[5..], 7.0);
        assert!(c.next().is_some() && c.may_move());
        let mut moved = Connection::moved(100.0, c.age(100.0), c.has_served(), Some(c.is_last()));
        assert!(moved.state() == State::Busy && moved.next().is_none() && moved.keeps(true));
        moved.answer(b"ab", true, 101.0);
        assert!(!moved.may_move() && moved.state() == State::Open);
        assert!(!Connection::moved(100.0, 1.0, true, Some(true)).keeps(true));
        // One that has said nothing yet has no more time for it than before.
        assert_eq!(Connection::moved(100.0, 95.0, false, None).deadline(), 5.0 + WHOLE);
    }

    #[test]
    fn nobody_holds_a_connection_by_saying_nothing_or_half_of_it_or_by_reading_nothing() {
        let mut c = Connection::new(5.0);
        assert_eq!(c.deadline(), 5.0 + WHOLE);
        // A trickle does not put it off.
        c.receive(&UP[..5], 100.0);
        c.receive(&UP[5..9], 2_000.0);
        assert!(c.deadline() == 5.0 + WHOLE && c.is_partial());
        c.receive(&UP[9..], 2_100.0);
        assert!(c.next().is_some() && c.deadline().is_infinite());
        c.answer(b"ab", true, 2_200.0);
        assert_eq!(c.deadline(), 2_200.0 + STALLED);
        c.outbox.sent(2);
        assert!(c.deadline().is_infinite()); // kept between requests
        c.receive(&UP[..5], 9_000.0);
        assert_eq!(c.deadline(), 9_000.0 + WHOLE);
        assert_eq!(c.give_up_request(), Fault(408));
        c.answer(b"", c.keeps(true), 12_000.0);
        c.receive(UP, 13_000.0);
        assert!(c.state() == State::Last && c.deadline() == 12_000.0 + LINGER);
    }
}
