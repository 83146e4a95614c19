//! The server side of a connection opened by a client, a worker or an operator, without its socket. Requests
//! are handled one at a time: a request, its answer, then the next.

use crate::clock::Millis;
use crate::http::{Decoder, HttpError, Message, RequestLine, WriteBuffer, MAX_BODY};
use crate::worker_protocol::JOB_STATUS_PATH;

/// Time for which the first request on a new connection may still be in transit.
const NEW_CONNECTION_GRACE: Millis = 100.0;
/// Time for which the rest of a request may still be in transit. After it, the request makes room for others when
/// descriptors run short.
const PARTIAL_REQUEST_GRACE: Millis = 100.0;
/// Time within which a request must be received completely: the first one from the opening of the connection,
/// any other one from its first byte or the answer to the previous request, whichever is later.
const REQUEST_TIMEOUT: Millis = 2_500.0;
/// Time for which a connection is kept after its last answer, for the client to read it and close.
const LINGER_TIMEOUT: Millis = 2_000.0;
/// Time for which an answer may wait for the client to continue reading.
const WRITE_TIMEOUT: Millis = 10_000.0;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Between requests, or a request has been received in part.
    Open,
    /// A request has been returned by [`Connection::next`] and is not answered yet.
    Busy,
    /// The last answer is being sent or has been sent; received bytes are discarded.
    Closing,
}

/// A connection opened by a client, a worker or an operator.
pub struct Connection {
    decoder: Decoder<RequestLine>,
    /// Answers that are being sent.
    pub write_buffer: WriteBuffer,
    state: State,
    /// The connection closes after the answer to the current request.
    closes_after_answer: bool,
    /// The interim response to the current request has been added to the write buffer.
    is_continue_sent: bool,
    /// A request on the connection has been answered.
    has_served: bool,
    /// The sending direction is shut down.
    pub is_write_shut: bool,
    opened_at: Millis,
    /// Time from which [`REQUEST_TIMEOUT`] counts for a partially received request.
    request_started_at: Millis,
    /// Time of the last read or write, except for bytes received after the last answer.
    pub used_at: Millis,
    /// A job status update has been received, so the connection belongs to a worker.
    pub carries_job_status: bool,
}

impl Connection {
    /// Creates a newly accepted connection.
    pub fn new(now: Millis) -> Self {
        Connection {
            decoder: Decoder::new(),
            write_buffer: WriteBuffer::default(),
            state: State::Open,
            closes_after_answer: false,
            is_continue_sent: false,
            has_served: false,
            is_write_shut: false,
            opened_at: now,
            request_started_at: now,
            used_at: now,
            carries_job_status: false,
        }
    }

    /// Creates a connection that has migrated from the predecessor and was accepted `age` ago.
    /// `closes_after_job` is `Some` if the connection waits for a job's answer, and says whether it closes
    /// after that answer.
    pub fn migrated(now: Millis, age: Millis, has_served: bool, closes_after_job: Option<bool>) -> Self {
        let mut connection = Connection::new(now);
        connection.opened_at = now - age;
        connection.has_served = has_served;
        if let Some(closes_after_job) = closes_after_job {
            connection.state = State::Busy;
            connection.closes_after_answer = closes_after_job;
        }
        connection
    }

    /// Returns whether the connection can migrate: it is not closing, no request is partially received and
    /// nothing is left to send.
    pub fn can_migrate(&self) -> bool {
        self.state != State::Closing && self.decoder.is_empty() && self.write_buffer.unsent().is_empty()
    }

    /// Returns the time for which the connection has been open.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.opened_at
    }

    /// Returns whether the connection closes after the answer to the current request.
    pub fn closes_after_answer(&self) -> bool {
        self.closes_after_answer
    }

    /// Returns the memory that received and unsent bytes take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.decoder.held_bytes() + self.write_buffer.held_bytes()
    }

    /// Handles received bytes.
    pub fn receive(&mut self, bytes: &[u8], now: Millis) {
        if self.state != State::Closing {
            if self.decoder.is_empty() && self.has_served {
                self.request_started_at = now;
            }
            self.used_at = now;
            self.decoder.feed(bytes);
        }
    }

    /// Returns whether more bytes may be read from the connection. Without this limit, a client that sends
    /// requests without reading the answers would fill the memory with its requests or their answers.
    pub fn accepts_more(&self) -> bool {
        self.state == State::Closing || !self.decoder.is_full() && !self.is_backlogged()
    }

    /// Returns whether more bytes are left to send than the largest body of an answer to a client has.
    fn is_backlogged(&self) -> bool {
        self.write_buffer.unsent().len() > MAX_BODY
    }

    /// Returns the next request, if it is complete, the previous one has been answered and not too many bytes
    /// are left to send; an error if the request is invalid. Either must be answered with
    /// [`Connection::answer`].
    pub fn next(&mut self) -> Option<Result<Message<RequestLine>, HttpError>> {
        if self.state != State::Open || self.is_backlogged() {
            return None;
        }
        let next = self.decoder.next().transpose();
        if self.decoder.expects_continue() && !self.is_continue_sent {
            self.write_buffer.append(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.is_continue_sent = true;
        }
        if let Some(next) = &next {
            self.state = State::Busy;
            self.is_continue_sent = false;
            self.closes_after_answer = match next {
                Ok(message) => !message.keep_alive,
                Err(_) => true,
            };
        }
        next
    }

    /// Returns whether the connection stays open after the answer to the current request. `is_allowed` says
    /// whether the scheduler allows that.
    pub fn can_keep_alive(&self, is_allowed: bool) -> bool {
        is_allowed && !self.closes_after_answer
    }

    /// Answers the current request. `keep_alive` must match the answer's `Connection` header.
    pub fn answer(&mut self, bytes: &[u8], keep_alive: bool, now: Millis) {
        if self.state == State::Busy {
            self.write_buffer.append(bytes);
            self.used_at = now;
            self.has_served = true;
            self.request_started_at = now;
            self.state = if keep_alive { State::Open } else { State::Closing };
            if self.state == State::Closing {
                self.decoder.clear(); // nothing more is read from it
            }
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the connection is between requests, with nothing received in part and nothing left to
    /// send.
    pub fn is_idle(&self) -> bool {
        self.state == State::Open && self.decoder.is_empty() && self.write_buffer.unsent().is_empty()
    }

    /// Returns whether the connection may be closed to free a descriptor, or in a late stage of a drain or a
    /// shutdown. On a new connection the first request may still be in transit, and its client would regard
    /// that request as lost.
    pub fn may_close(&self, now: Millis) -> bool {
        self.is_idle() && (self.has_served || now >= self.opened_at + NEW_CONNECTION_GRACE)
    }

    /// Returns whether any request on the connection has been answered.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Returns whether a request has been received only in part.
    pub fn has_partial_request(&self) -> bool {
        self.state == State::Open && !self.decoder.is_empty()
    }

    /// Returns whether a request that has been received only in part may be rejected to free a descriptor.
    pub fn may_reject_partial_request(&self, now: Millis) -> bool {
        self.has_partial_request() && now >= self.request_started_at + PARTIAL_REQUEST_GRACE
    }

    /// Returns whether the connection belongs to a worker: a job status update has been received on it, at
    /// least in part.
    pub fn is_for_job_status(&self) -> bool {
        let line = self.decoder.current_start_line();
        self.carries_job_status || line.is_some_and(|line| line.path() == JOB_STATUS_PATH)
    }

    /// Returns whether the process must not exit yet because a request is in progress or partially received,
    /// or an answer is not fully written. If it exited, a request whose last byte is in transit would be lost
    /// without an answer.
    pub fn has_pending_work(&self) -> bool {
        self.state == State::Busy || self.has_partial_request() || !self.write_buffer.unsent().is_empty()
    }

    /// Stops waiting for the rest of a request, which must then be answered. Returns the error for a request
    /// that was not received in time.
    pub fn abort_request(&mut self) -> HttpError {
        self.state = State::Busy;
        self.closes_after_answer = true;
        HttpError(408)
    }

    /// Returns the time until which the connection may stay in its current state. Without deadlines, clients
    /// that send nothing, never finish a request or never read an answer would each hold a descriptor
    /// forever. The time is infinite if nothing is left to send and a request is in progress, or if the
    /// connection is idle between requests.
    pub fn deadline(&self) -> Millis {
        if !self.write_buffer.unsent().is_empty() {
            return self.used_at + WRITE_TIMEOUT;
        }
        match self.state {
            State::Busy => f64::INFINITY,
            State::Closing => self.used_at + LINGER_TIMEOUT,
            State::Open if self.has_partial_request() => self.request_started_at + REQUEST_TIMEOUT,
            State::Open if self.has_served => f64::INFINITY,
            State::Open => self.opened_at + REQUEST_TIMEOUT,
        }
    }
}

#[cfg(test)]
mod tests;
