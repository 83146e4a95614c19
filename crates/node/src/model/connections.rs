//! Model-based tests of downstream and upstream connections. Bytes are received and written in parts of any
//! size.

use super::config_with_fixed_seed;
use crate::downstream::{self, State};
use crate::http::{self, Decoder, StatusLine};
use crate::upstream::{self, Task, TaskOutcome};
use postusher_decision::{AttemptId, JobId, WorkerId};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

/// Task of all upstream connections.
const ATTEMPT: Task = Task::Attempt(JobId(1), AttemptId(0));
/// Number of requests that a downstream connection can receive.
const REQUEST_COUNT: usize = 200;

proptest! {
    #![proptest_config(config_with_fixed_seed(256))]

    /// A downstream connection returns requests complete, in order, and each only after the previous one has
    /// been answered. The answers are sent in the same order, and nothing follows the last one.
    #[test]
    fn downstream_connection_handles_one_request_at_a_time(
        steps in prop::collection::vec((0u8..5, 1usize..90, any::<bool>()), 1..120)
    ) {
        let mut model = DownstreamModel::new();
        for (operation, count, keep_alive) in steps {
            match operation {
                0 => model.receive(count),
                1 => model.take_request()?,
                2 => model.answer(keep_alive),
                3 if model.connection.can_migrate() => model.migrate(),
                _ => model.send(count),
            }
            model.check()?;
        }
        let unsent = model.connection.write_buffer.unsent().to_vec();
        model.sent.extend_from_slice(&unsent);
        prop_assert_eq!(String::from_utf8(model.sent).unwrap(), model.answers);
    }

    /// A task ends exactly once: with an answer, or with a failure before or after the last byte of its
    /// request was written. A connection is idle only while it is established and has no task. A closed
    /// connection stays closed.
    #[test]
    fn task_outcome_matches_bytes_sent_and_received(
        steps in prop::collection::vec((0u8..6, 1usize..40, any::<bool>()), 1..80)
    ) {
        let mut model = UpstreamModel::new();
        for (operation, count, receives) in steps {
            match operation {
                0 if model.is_open => model.connect(),
                1 if model.is_open && !model.is_busy && model.received == 0 => model.start(count),
                2 if model.is_open && model.is_up => model.write(count),
                3 if model.is_open && model.is_up && receives => model.receive(count)?,
                4 if model.is_open => model.disconnect()?,
                5 if model.is_open => model.abandon_task(),
                _ => {}
            }
            model.check()?;
        }
    }

    /// Any input is decoded or rejected with a suitable HTTP status, and no body exceeds its limit.
    #[test]
    fn any_input_is_decoded_or_rejected(
        parts in prop::collection::vec(
            "[ -~\r\n]{0,60}|HTTP/1.1 200 OK\r\n|POST / HTTP/1.1\r\n|\
             Content-Length: [0-9]{1,6}\r\n|Transfer-Encoding: chunked\r\n|\r\n",
            0..12
        )
    ) {
        let mut answers = Decoder::<StatusLine>::new();
        let mut requests = downstream::Connection::new(0.0);
        for part in parts {
            answers.feed(part.as_bytes());
            requests.receive(part.as_bytes(), 0.0);
            let answer = answers.next();
            let request = requests.next().transpose();
            if let Ok(Some(message)) = &answer {
                prop_assert!(message.body.len() <= http::MAX_BODY);
            }
            for error in [answer.as_ref().err(), request.as_ref().err()].into_iter().flatten() {
                prop_assert!([400, 413, 431, 501].contains(&error.0), "{error:?}");
            }
            if matches!(request, Ok(None)) {
                prop_assert_eq!(requests.state(), State::Open);
            } else {
                prop_assert_eq!(requests.state(), State::Busy);
                prop_assert!(requests.next().is_none());
                requests.answer(b"", true, 0.0);
            }
            if answer.is_err() || request.is_err() {
                break;
            }
        }
    }
}

/// A downstream connection and its expected state.
struct DownstreamModel {
    connection: downstream::Connection,
    /// All bytes that the client sends.
    input: String,
    /// The end position of each request in `input`.
    request_ends: Vec<usize>,
    /// Number of bytes that the connection has received.
    received: usize,
    /// Number of requests that the connection has returned.
    returned: usize,
    state: State,
    /// All answers so far.
    answers: String,
    /// Bytes that were written to the socket.
    sent: Vec<u8>,
}

impl DownstreamModel {
    fn new() -> DownstreamModel {
        let mut input = String::new();
        let mut request_ends = Vec::new();
        for number in 0..REQUEST_COUNT {
            input += &format!("POST /render/{number} HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
            request_ends.push(input.len());
        }
        DownstreamModel {
            connection: downstream::Connection::new(0.0),
            input,
            request_ends,
            received: 0,
            returned: 0,
            state: State::Open,
            answers: String::new(),
            sent: Vec::new(),
        }
    }

    fn receive(&mut self, count: usize) {
        let end = self.received + count;
        self.connection.receive(&self.input.as_bytes()[self.received..end], 1.0);
        // Bytes received after the last answer are discarded.
        if self.state != State::Closing {
            self.received = end;
        }
    }

    fn take_request(&mut self) -> Result<(), TestCaseError> {
        let next = self.connection.next().map(|request| request.unwrap().line.target);
        let complete_requests = self.request_ends.iter().filter(|end| **end <= self.received).count();
        if self.state == State::Open && self.returned < complete_requests {
            prop_assert_eq!(next, Some(format!("/render/{}", self.returned)));
            self.state = State::Busy;
            self.returned += 1;
        } else {
            prop_assert_eq!(next, None);
        }
        Ok(())
    }

    fn answer(&mut self, keep_alive: bool) {
        let answer = format!("answer {} {keep_alive};", self.returned);
        self.connection.answer(answer.as_bytes(), keep_alive, 2.0);
        if self.state == State::Busy {
            self.answers += &answer;
            self.state = if keep_alive { State::Open } else { State::Closing };
        }
    }

    /// Migrates the connection to another process.
    fn migrate(&mut self) {
        let old = &self.connection;
        let job = (old.state() == State::Busy).then(|| old.closes_after_answer());
        self.connection = downstream::Connection::migrated(3.0, old.age(3.0), old.has_served(), job);
    }

    fn send(&mut self, count: usize) {
        let unsent = self.connection.write_buffer.unsent();
        let count = count.min(unsent.len());
        self.sent.extend_from_slice(&unsent[..count]);
        self.connection.write_buffer.mark_sent(count);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let returned_bytes = match self.returned.checked_sub(1) {
            Some(last) => self.request_ends[last],
            None => 0,
        };
        let is_idle = self.state == State::Open
            && self.sent.len() == self.answers.len()
            && self.received == returned_bytes;
        prop_assert_eq!(self.connection.state(), self.state);
        prop_assert_eq!(self.connection.is_idle(), is_idle);
        Ok(())
    }
}

/// An upstream connection and its expected state.
struct UpstreamModel {
    connection: upstream::Connection,
    /// The connection has been established.
    is_up: bool,
    /// The connection is usable or its connect is in progress.
    is_open: bool,
    /// The connection has a task.
    is_busy: bool,
    /// Number of bytes of the request that have not been written yet.
    unwritten: usize,
    /// Some but not all bytes of the request have been written.
    is_partly_written: bool,
    /// Number of bytes of the answer that have been received.
    received: usize,
    /// The connection has received an answer before.
    has_received_answer: bool,
}

impl UpstreamModel {
    fn new() -> UpstreamModel {
        UpstreamModel {
            connection: upstream::Connection::new(WorkerId(1)),
            is_up: false,
            is_open: true,
            is_busy: false,
            unwritten: 0,
            is_partly_written: false,
            received: 0,
            has_received_answer: false,
        }
    }

    fn connect(&mut self) {
        self.connection.mark_connected();
        self.is_up = true;
    }

    fn start(&mut self, size: usize) {
        self.connection.start(ATTEMPT);
        self.connection.write_request(&vec![b'x'; size]);
        self.is_busy = true;
        self.unwritten = size;
        self.is_partly_written = false;
    }

    fn write(&mut self, count: usize) {
        let count = count.min(self.unwritten);
        self.connection.write_buffer.mark_sent(count);
        self.unwritten -= count;
        self.is_partly_written = (self.is_partly_written || count > 0) && self.unwritten > 0;
    }

    fn receive(&mut self, count: usize) -> Result<(), TestCaseError> {
        let answer = http::response(202, &[], b"", true);
        let end = (self.received + count).min(answer.len());
        let task_end = self.connection.receive(&answer[self.received..end]);
        self.received = end;
        if !self.is_busy {
            self.is_open = false;
        } else if end < answer.len() {
            prop_assert!(task_end.is_none());
        } else {
            let Some((task, TaskOutcome::Answer(message))) = task_end else {
                return Err(TestCaseError::fail("complete answer did not end the task"));
            };
            prop_assert_eq!((task, message.line.status), (ATTEMPT, 202));
            self.is_busy = false;
            self.received = 0;
            self.has_received_answer = true;
            // An answer to an incompletely written request closes the connection.
            self.is_open = self.unwritten == 0;
            self.unwritten = 0;
        }
        Ok(())
    }

    fn disconnect(&mut self) -> Result<(), TestCaseError> {
        let outcome = self.connection.handle_disconnect().map(|(_, outcome)| outcome);
        let was_sent = self.unwritten == 0;
        let is_expected = match outcome {
            None => !self.is_busy,
            Some(TaskOutcome::NotSent) => self.is_busy && !self.has_received_answer && !was_sent,
            Some(TaskOutcome::Broken) => self.is_busy && !self.has_received_answer && was_sent,
            Some(TaskOutcome::Stale { sent }) => self.is_busy && self.has_received_answer && sent == was_sent,
            Some(TaskOutcome::Answer(_) | TaskOutcome::Withheld) => false,
        };
        prop_assert!(is_expected, "{:?}", outcome);
        self.is_busy = false;
        self.is_open = false;
        Ok(())
    }

    fn abandon_task(&mut self) {
        self.connection.abandon_task();
        let is_unwritten = self.unwritten > 0 && !self.is_partly_written;
        self.is_open = !self.is_busy || is_unwritten;
        self.is_busy = false;
        self.unwritten = 0;
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.connection.is_closed(), !self.is_open);
        prop_assert_eq!(self.connection.is_idle(), self.is_open && self.is_up && !self.is_busy);
        prop_assert_eq!(self.connection.task().is_some(), self.is_busy);
        Ok(())
    }
}
