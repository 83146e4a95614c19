//! SIGTERM as something else is under way.

use super::closes::in_flight;
use super::*;

/// A scheduler that has its list, a client's job that its worker has taken, and the two of them.
fn at_work(name: &str) -> (Scheduler, Connection, Connection, Connection) {
    let scheduler = Scheduler::start(name);
    let watch = scheduler.confirm_list();
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    (scheduler, client, worker, watch)
}

fn ends_well(mut scheduler: Scheduler) {
    assert!(scheduler.process.wait().unwrap().success());
}

#[test]
fn a_request_half_read_at_sigterm_is_served_once_its_rest_comes() {
    let (mut scheduler, mut client, worker, _watch) = at_work("half-read");
    let mut half = scheduler.connect();
    half.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    half.send("ngth: 0\r\n\r\n");
    let mut kept = Some(worker);
    assert!(scheduler.next_request(&mut kept).message().head.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t1");
    scheduler.finish_job("t2");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    assert_eq!(half.message().line, "HTTP/1.1 200 OK");
    ends_well(scheduler);
}

#[test]
fn a_request_half_read_as_the_process_ends_is_refused_not_dropped() {
    let (mut scheduler, mut client, _worker, _watch) = at_work("half-read-at-end");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    // The connection is open still; what begins on it now has an answer, whole or not.
    client.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    let Message { line, head, .. } = client.message();
    assert!(
        ["HTTP/1.1 503 Service Unavailable", "HTTP/1.1 408 Request Timeout"].contains(&line.as_str()),
        "{line}"
    );
    assert!(head.contains("Connection: close\r\n") && client.reaches_end());
    ends_well(scheduler);
}

#[test]
fn a_request_half_read_at_the_very_end_of_the_time_is_refused() {
    let (mut scheduler, _client, _worker, _watch) = at_work("half-read-late");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    // It stands still, so that the half comes at a time from which a request may take longer than the process has left.
    scheduler.signal("-STOP");
    let mut half = scheduler.connect();
    half.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    std::thread::sleep(Duration::from_millis(1_500));
    scheduler.signal("-CONT");
    assert_eq!(half.message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(half.reaches_end());
    ends_well(scheduler);
}

#[test]
fn a_request_pipelined_behind_one_under_way_at_sigterm_has_its_answer_too() {
    let (mut scheduler, mut client, worker, _watch) = at_work("pipelined");
    client.send_job("t2");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    let mut kept = Some(worker);
    assert!(scheduler.next_request(&mut kept).message().head.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t2");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    ends_well(scheduler);
}

#[test]
fn sigterm_in_the_same_moment_as_sighup_loses_nothing() {
    let (mut scheduler, mut client, _worker, _watch) = at_work("term-and-hup");
    scheduler.signal("-STOP");
    scheduler.signal("-HUP");
    scheduler.signal("-TERM");
    scheduler.signal("-CONT");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    ends_well(scheduler);
}

#[test]
fn sigterm_during_an_operator_drain_ends_what_is_under_way_first() {
    let (mut scheduler, mut client, _worker, _watch) = at_work("term-in-drain");
    assert!(scheduler.admin_accepts("PUT /healthcheck/fail"));
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    ends_well(scheduler);
}

#[test]
fn sigterm_before_the_first_list_answers_what_still_comes() {
    let mut scheduler = Scheduler::without_list("term-before-list", 1);
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=0");
    let mut client = scheduler.connect();
    let mut late = scheduler.connect();
    client.send_job("t1");
    in_flight(&scheduler, 1);
    // Nothing goes out by the list of before the start: the job waits for discovery.
    scheduler.worker_listener.set_nonblocking(true).unwrap();
    assert!(scheduler.worker_listener.accept().is_err());
    scheduler.worker_listener.set_nonblocking(false).unwrap();
    let _watch = scheduler.confirm_list();
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    in_flight(&scheduler, 1);
    scheduler.finish_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    late.send_job("t2");
    let mut kept = Some(worker);
    assert!(scheduler.next_request(&mut kept).message().head.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t2");
    assert_eq!(late.message().line, "HTTP/1.1 200 OK");
    ends_well(scheduler);
}

#[test]
fn sigterm_with_a_discovery_that_never_answers_refuses_what_still_comes() {
    let mut scheduler = Scheduler::without_list("term-without-list", 1);
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=0");
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    ends_well(scheduler);
}

#[test]
fn a_request_that_lies_unread_as_idle_connections_are_closed_is_served() {
    let (mut scheduler, mut client, worker, _watch) = at_work("unread-at-close");
    let mut idle = scheduler.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.message().line, "HTTP/1.1 200 OK");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    // It stands still until the time to close idle connections is over, and a request has come meanwhile.
    scheduler.signal("-STOP");
    idle.send_job("t2");
    std::thread::sleep(Duration::from_millis(2_200));
    scheduler.signal("-CONT");
    let mut kept = Some(worker);
    assert!(scheduler.next_request(&mut kept).message().head.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t2");
    scheduler.finish_job("t1");
    assert_eq!(idle.message().line, "HTTP/1.1 200 OK");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    ends_well(scheduler);
}
