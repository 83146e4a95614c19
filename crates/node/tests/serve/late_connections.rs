//! Two events that cross: a connection to a worker that comes up late, and what has happened meanwhile.

use super::*;

fn as_it_is(text: String) -> String {
    text
}

/// A scheduler with one worker at which connections come up late, one job on its way there, and discovery's end of the watch.
fn with_a_late_connection(name: &str) -> (Scheduler, Gate, Peer, Peer) {
    let gate = Gate::shut();
    let s = Scheduler::before(gate.target(), name, 1, as_it_is);
    let discovery = s.listed();
    let mut client = s.connect();
    client.job("t1");
    while !s.call("GET /stats").1.contains(r#""in_flight":1"#) {}
    (s, gate, client, discovery)
}

#[test]
fn a_worker_that_drains_while_its_connection_comes_up_gets_no_job_over_it() {
    let (_s, gate, mut client, mut discovery) = with_a_late_connection("late-drained");
    let draining = r#"{"version":42,"full":false,"servers":[{"id":"s-1","addr":"ADDR","state":"draining"}]}"#;
    discovery.list(&draining.replace("ADDR", &gate.target().local_addr().unwrap().to_string()));
    assert!(discovery.message().0.contains("after=42&"));
    let worker = gate.open();
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    worker.0.get_ref().set_nonblocking(true).unwrap();
    let nothing = worker.0.get_ref().peek(&mut [0]);
    assert!(nothing.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
}

#[test]
fn a_worker_that_is_gone_while_its_connection_comes_up_gets_no_job_over_it() {
    let (_s, gate, mut client, mut discovery) = with_a_late_connection("late-gone");
    discovery.list(r#"{"version":42,"full":true,"servers":[]}"#);
    assert!(discovery.message().0.contains("after=42&"));
    assert!(gate.open().ends());
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
}

#[test]
fn an_attempt_over_a_late_connection_tells_the_time_that_is_left_then() {
    let (_s, gate, _client, _discovery) = with_a_late_connection("late-told");
    let (_, head, _) = gate.open().message();
    let left = head.split("X-Expires-In: ").nth(1).and_then(|rest| rest.split("u\r\n").next()).unwrap();
    // The system tries a connection again after a second; the client waits for sixty.
    assert!(left.parse::<u64>().unwrap() < 59_500_000, "{left} us");
}

#[test]
fn a_late_connection_brings_no_job_whose_client_has_left() {
    let (s, gate, client, _discovery) = with_a_late_connection("late-left");
    drop(client);
    while !s.call("GET /stats").1.contains(r#""in_flight":0"#) {}
    let mut next = s.connect();
    next.job("t2");
    while !s.call("GET /stats").1.contains(r#""in_flight":1"#) {}
    assert!(gate.open().message().1.contains("X-Trace-Id: t2\r\n"));
}
