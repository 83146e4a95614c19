//! Status updates that a worker may have sent about an earlier attempt of a job: the connection of that attempt
//! ended after its last byte, the job went to the same worker again, and updates name only the job.

use super::*;

/// Time within which an attempt that must not be sent would have arrived.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// The response of a worker that has cancelled a job, or has no such job.
const CANCELLED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A job whose first attempt lost its connection, with a second attempt at the same worker, `s-1`.
struct RepeatedJob {
    scheduler: Scheduler,
    client: Connection,
    id: String,
    /// The worker's end of the connection of the second attempt, which is read and not answered yet.
    worker: Option<Connection>,
    /// Listener of a second worker, `s-2`, which has joined since.
    second_listener: std::net::TcpListener,
    /// Discovery's end of the watch.
    _watch: Connection,
}

impl RepeatedJob {
    fn start(name: &str, change: impl Fn(String) -> String) -> RepeatedJob {
        let with_attempts = |text: String| text.replace("\"MaxAttempts\": 2", "\"MaxAttempts\": 5");
        let scheduler = Scheduler::with_config(name, 1, |text| change(with_attempts(text)));
        let mut watch = scheduler.confirm_list();
        let mut client = scheduler.connect();
        let mut worker = None;
        let mut peer_addrs = Vec::new();
        let id = loop {
            let id = format!("t{}", peer_addrs.len());
            client.send_job(&id);
            let connection = scheduler.next_request(&mut worker);
            connection.read_message();
            let peer_addr = connection.reader.get_ref().peer_addr().unwrap();
            if peer_addrs.contains(&peer_addr) {
                break id;
            }
            peer_addrs.push(peer_addr);
            assert!(peer_addrs.len() < 100, "no connection was reused within 100 jobs");
            connection.send(ACCEPTED);
            scheduler.finish_job(&id);
            client.read_message();
            std::thread::sleep(Duration::from_millis(30));
        };
        worker = None; // the connection ends under the first attempt
        assert!(scheduler.next_request(&mut worker).read_message().line.starts_with("POST "));
        let second_listener = listen();
        let addr = second_listener.local_addr().unwrap();
        watch.send_ok(&format!(
            r#"{{"version":42,"full":false,"servers":[{{"id":"s-2","addr":"{addr}","zone":"a","kind":"k",
            "cell":0,"state":"up","weight":1.0,"started_ms":0}}]}}"#
        ));
        assert!(watch.read_message().line.contains("after=42&"));
        RepeatedJob { scheduler, client, id, worker, second_listener, _watch: watch }
    }

    /// Accepts the second attempt.
    fn accept(&mut self) {
        self.worker.as_mut().unwrap().send(ACCEPTED);
        std::thread::sleep(QUIET_TIME);
    }

    fn send_status(&self, state: &str) {
        let id = &self.id;
        self.scheduler.send_job_status(&format!(r#"{{"id":"{id}","from":"s-1","state":{state}}}"#));
    }

    /// Asserts that no attempt arrives at the second worker.
    fn assert_no_further_attempt(&self) {
        std::thread::sleep(QUIET_TIME);
        self.second_listener.set_nonblocking(true).unwrap();
        assert!(self.second_listener.accept().is_err(), "a third attempt while the second one may run");
        self.second_listener.set_nonblocking(false).unwrap();
    }

    /// Returns the cancellation that the first worker receives.
    fn cancellation(&mut self) -> &mut Connection {
        let connection = self.scheduler.next_request(&mut self.worker);
        assert_eq!(connection.read_message().line, format!("DELETE /jobs/{} HTTP/1.1", self.id));
        connection
    }

    fn assert_retried_at_second_worker(&mut self) {
        let mut worker = Connection::new(harness::accept(&self.second_listener));
        assert!(worker.read_message().head.contains(&format!("X-Trace-Id: {}\r\n", self.id)));
        worker.send(ACCEPTED);
        let id = &self.id;
        let done = format!(r#"{{"id":"{id}","from":"s-2","state":"done","result":"r2"}}"#);
        self.scheduler.send_job_status(&done);
        assert_eq!(self.client.read_message().body, "r2");
    }
}

#[test]
fn failure_that_may_be_of_an_earlier_attempt_cancels_the_later_one_before_a_retry() {
    // Guards against two attempts at once where the settings allow no hedged requests.
    let mut job = RepeatedJob::start("earlier-failed", |text| text);
    job.accept();
    job.send_status(r#""failed""#);
    job.assert_no_further_attempt();
    job.cancellation().send(CANCELLED);
    job.assert_retried_at_second_worker();
}

#[test]
fn failure_before_the_acceptance_of_the_later_attempt_cancels_it_then() {
    // Guards against an end that is forgotten because it was told before the 202.
    let mut job = RepeatedJob::start("earlier-failed-first", |text| text);
    job.send_status(r#""lost""#);
    job.accept();
    job.assert_no_further_attempt();
    job.cancellation().send(CANCELLED);
    job.assert_retried_at_second_worker();
}

#[test]
fn uncertain_failure_is_retried_at_once_where_two_attempts_are_allowed() {
    // Guards against a retry that waits for a worker although the settings do not ask for that.
    let with_hedging =
        |text: String| text.replace("\"Cancel\": true", "\"Cancel\": true, \"SecondCopies\": true");
    let mut job = RepeatedJob::start("earlier-hedging", with_hedging);
    job.accept();
    job.send_status(r#""failed""#);
    job.assert_retried_at_second_worker();
    job.cancellation().send(CANCELLED);
}

#[test]
fn attempt_that_cannot_be_cancelled_stays_pending_after_an_uncertain_failure() {
    // Guards against two attempts at once where workers do not cancel, and against the loss of the result.
    let without_cancel = |text: String| text.replace("\"Cancel\": true", "\"Cancel\": false");
    let mut job = RepeatedJob::start("earlier-no-cancel", without_cancel);
    job.accept();
    job.send_status(r#""failed""#);
    job.assert_no_further_attempt();
    job.send_status(r#""done","result":"r1""#);
    assert_eq!(job.client.read_message().body, "r1");
}

#[test]
fn attempt_whose_cancellation_is_not_answered_stays_pending() {
    // Guards against a retry when it is not known whether the worker has cancelled the attempt.
    let mut job = RepeatedJob::start("earlier-unanswered", |text| text);
    job.accept();
    job.send_status(r#""failed""#);
    job.cancellation();
    job.worker = None; // the idle connection that carried it was stale
    job.cancellation();
    job.worker = None;
    job.assert_no_further_attempt();
    job.send_status(r#""done","result":"r1""#);
    assert_eq!(job.client.read_message().body, "r1");
}

#[test]
fn progress_that_may_be_of_an_earlier_attempt_is_no_acceptance_of_the_later_one() {
    // Guards against a job that waits for a worker that never took the later attempt.
    let mut job = RepeatedJob::start("earlier-progress", |text| text);
    job.send_status(r#""running","share":0.1"#);
    job.worker = None; // the connection ends before the 202
    job.assert_retried_at_second_worker();
}
