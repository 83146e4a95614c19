//! SIGTERM as something else is under way.

use super::closes::in_flight;
use super::*;

/// A scheduler that has its list, a client's job that its worker has taken, and the two of them.
fn at_work(name: &str) -> (Scheduler, Peer, Peer, Peer) {
    let s = Scheduler::start(name);
    let watch = s.listed();
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send(TAKEN);
    (s, client, worker, watch)
}

fn done(s: &Scheduler, id: &str) {
    s.news(&format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"r"}}"#));
}

fn ends_well(mut s: Scheduler) {
    assert!(s.process.wait().unwrap().success());
}

#[test]
fn a_request_half_read_at_sigterm_is_served_once_its_rest_comes() {
    let (mut s, mut client, worker, _watch) = at_work("half-read");
    let mut half = s.connect();
    half.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=1");
    half.send("ngth: 0\r\n\r\n");
    let mut kept = Some(worker);
    assert!(s.next_request(&mut kept).message().1.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(TAKEN);
    done(&s, "t1");
    done(&s, "t2");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    assert_eq!(half.message().0, "HTTP/1.1 200 OK");
    ends_well(s);
}

#[test]
fn a_request_half_read_as_the_process_ends_is_refused_not_dropped() {
    let (mut s, mut client, _worker, _watch) = at_work("half-read-at-end");
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=1");
    done(&s, "t1");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    // The connection is open still; what begins on it now has an answer, whole or not.
    client.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    let (line, head, _) = client.message();
    assert!(
        ["HTTP/1.1 503 Service Unavailable", "HTTP/1.1 408 Request Timeout"].contains(&line.as_str()),
        "{line}"
    );
    assert!(head.contains("Connection: close\r\n") && client.ends());
    ends_well(s);
}

#[test]
fn a_request_half_read_at_the_very_end_of_the_time_is_refused() {
    let (mut s, _client, _worker, _watch) = at_work("half-read-late");
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=1");
    // It stands still, so that the half comes at a time from which a request may take longer than the process has left.
    s.signal("-STOP");
    let mut half = s.connect();
    half.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    std::thread::sleep(Duration::from_millis(1_500));
    s.signal("-CONT");
    assert_eq!(half.message().0, "HTTP/1.1 503 Service Unavailable");
    assert!(half.ends());
    ends_well(s);
}

#[test]
fn a_request_pipelined_behind_one_under_way_at_sigterm_has_its_answer_too() {
    let (mut s, mut client, worker, _watch) = at_work("pipelined");
    client.job("t2");
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=1");
    done(&s, "t1");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    let mut kept = Some(worker);
    assert!(s.next_request(&mut kept).message().1.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(TAKEN);
    done(&s, "t2");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    ends_well(s);
}

#[test]
fn sigterm_in_the_same_moment_as_sighup_loses_nothing() {
    let (mut s, mut client, _worker, _watch) = at_work("term-and-hup");
    s.signal("-STOP");
    s.signal("-HUP");
    s.signal("-TERM");
    s.signal("-CONT");
    s.logs("shutdown started: unanswered_jobs=1");
    done(&s, "t1");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    ends_well(s);
}

#[test]
fn sigterm_during_a_drain_by_call_ends_what_is_under_way_first() {
    let (mut s, mut client, _worker, _watch) = at_work("term-in-drain");
    assert!(s.says_yes("PUT /healthcheck/fail"));
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=1");
    done(&s, "t1");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    ends_well(s);
}

#[test]
fn sigterm_before_the_first_list_answers_what_still_comes() {
    let mut s = Scheduler::unconfirmed("term-before-list", 1);
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=0");
    let (mut client, mut late) = (s.connect(), s.connect());
    client.job("t1");
    in_flight(&s, 1);
    // Nothing goes out by the list of before the start: the job waits for discovery.
    s.target.set_nonblocking(true).unwrap();
    assert!(s.target.accept().is_err());
    s.target.set_nonblocking(false).unwrap();
    let _watch = s.listed();
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send(TAKEN);
    in_flight(&s, 1);
    done(&s, "t1");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    late.job("t2");
    let mut kept = Some(worker);
    assert!(s.next_request(&mut kept).message().1.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(TAKEN);
    done(&s, "t2");
    assert_eq!(late.message().0, "HTTP/1.1 200 OK");
    ends_well(s);
}

#[test]
fn sigterm_with_a_discovery_that_never_answers_refuses_what_still_comes() {
    let mut s = Scheduler::unconfirmed("term-without-list", 1);
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=0");
    let mut client = s.connect();
    client.job("t1");
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    ends_well(s);
}

#[test]
fn a_request_that_lies_unread_as_idle_connections_are_closed_is_served() {
    let (mut s, mut client, worker, _watch) = at_work("unread-at-close");
    let mut idle = s.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.message().0, "HTTP/1.1 200 OK");
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=1");
    // It stands still until the time to close idle connections is over, and a request has come meanwhile.
    s.signal("-STOP");
    idle.job("t2");
    std::thread::sleep(Duration::from_millis(2_200));
    s.signal("-CONT");
    let mut kept = Some(worker);
    assert!(s.next_request(&mut kept).message().1.contains("X-Trace-Id: t2\r\n"));
    kept.as_mut().unwrap().send(TAKEN);
    done(&s, "t2");
    done(&s, "t1");
    assert_eq!(idle.message().0, "HTTP/1.1 200 OK");
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    ends_well(s);
}
