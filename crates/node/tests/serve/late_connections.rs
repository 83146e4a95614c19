//! Connections to workers that come up late, and what has happened meanwhile.

use super::*;

fn as_it_is(text: String) -> String {
    text
}

/// A scheduler with one worker at which connections come up late, one job on its way there, and discovery's end of the watch.
fn with_a_late_connection(name: &str) -> (Scheduler, SlowListener, Connection, Connection) {
    let slow = SlowListener::with_full_backlog();
    let scheduler = Scheduler::with_worker_listener(slow.listener(), name, 1, as_it_is);
    let discovery = scheduler.confirm_list();
    let mut client = scheduler.connect();
    client.send_job("t1");
    while !scheduler.admin_request("GET /stats").body.contains(r#""in_flight":1"#) {}
    (scheduler, slow, client, discovery)
}

#[test]
fn a_worker_that_drains_while_its_connection_comes_up_gets_no_job_over_it() {
    let (_s, slow, mut client, mut discovery) = with_a_late_connection("late-drained");
    let draining = r#"{"version":42,"full":false,"servers":[{"id":"s-1","addr":"ADDR","state":"draining"}]}"#;
    discovery.send_list(&draining.replace("ADDR", &slow.listener().local_addr().unwrap().to_string()));
    assert!(discovery.message().line.contains("after=42&"));
    let worker = slow.accept_first();
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    worker.reader.get_ref().set_nonblocking(true).unwrap();
    let nothing = worker.reader.get_ref().peek(&mut [0]);
    assert!(nothing.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
}

#[test]
fn a_worker_that_is_gone_while_its_connection_comes_up_gets_no_job_over_it() {
    let (_s, slow, mut client, mut discovery) = with_a_late_connection("late-gone");
    discovery.send_list(r#"{"version":42,"full":true,"servers":[]}"#);
    assert!(discovery.message().line.contains("after=42&"));
    assert!(slow.accept_first().reaches_end());
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
}

#[test]
fn an_attempt_over_a_late_connection_tells_the_time_that_is_left_then() {
    let (_s, slow, _client, _discovery) = with_a_late_connection("late-told");
    let Message { head, .. } = slow.accept_first().message();
    let left = head.split("X-Expires-In: ").nth(1).and_then(|rest| rest.split("u\r\n").next()).unwrap();
    // The system tries a connection again after a second; the client waits for sixty.
    assert!(left.parse::<u64>().unwrap() < 59_500_000, "{left} us");
}

#[test]
fn a_late_connection_brings_no_job_whose_client_has_left() {
    let (scheduler, slow, client, _discovery) = with_a_late_connection("late-left");
    drop(client);
    while !scheduler.admin_request("GET /stats").body.contains(r#""in_flight":0"#) {}
    let mut next = scheduler.connect();
    next.send_job("t2");
    while !scheduler.admin_request("GET /stats").body.contains(r#""in_flight":1"#) {}
    assert!(slow.accept_first().message().head.contains("X-Trace-Id: t2\r\n"));
}
