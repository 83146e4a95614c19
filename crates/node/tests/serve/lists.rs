//! Endpoint lists that come at bad times: older than the one at hand, not readable, or as a job is about to be retried.

use super::*;

fn with_two_workers(name: &str) -> (Scheduler, Connection, String) {
    let scheduler = Scheduler::with_workers(name, 2);
    let watch = scheduler.confirm_list();
    let addr = scheduler.worker_listener.local_addr().unwrap().to_string();
    (scheduler, watch, addr)
}

#[test]
fn an_older_list_takes_back_no_drain_and_the_whole_one_is_asked_for() {
    let (scheduler, mut watch, addr) = with_two_workers("older-list");
    let both = |state: &str| {
        let entry = |id| format!(r#"{{"id":"{id}","addr":"{addr}","state":"{state}"}}"#);
        format!("{},{}", entry("s-1"), entry("s-2"))
    };
    watch.send_list(&format!(r#"{{"version":43,"full":false,"servers":[{}]}}"#, both("draining")));
    assert!(watch.message().line.contains("after=43&"));
    watch.send_list(&format!(r#"{{"version":42,"full":true,"servers":[{}]}}"#, both("up")));
    assert_eq!(watch.message().line, "GET /discovery/hosts HTTP/1.1");
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    // A discovery that has begun anew says so by its whole list.
    watch.send_list(&format!(r#"{{"version":7,"full":true,"servers":[{}]}}"#, both("up")));
    assert!(watch.message().line.contains("after=7&"));
    client.send_job("t2");
    assert!(scheduler.accept_worker_connection().message().head.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn a_job_that_is_due_again_does_not_go_to_a_worker_that_was_told_to_drain_meanwhile() {
    let (scheduler, mut watch, addr) = with_two_workers("drained-before-retry");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    let draining = |id| format!(r#"{{"id":"{id}","addr":"{addr}","state":"draining"}}"#);
    let body =
        format!(r#"{{"version":42,"full":false,"servers":[{},{}]}}"#, draining("s-1"), draining("s-2"));
    watch.send_list(&body);
    assert!(watch.message().line.contains("after=42&"));
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"returned"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-2","state":"returned"}"#);
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
}

#[test]
fn a_list_with_unknown_states_doubled_ids_and_wrong_types_is_read_as_far_as_it_means_something() {
    let (scheduler, mut watch, addr) = with_two_workers("odd-list");
    let entry = |id: &str, state: &str| format!(r#"{{"id":"{id}","addr":"{addr}","state":"{state}"}}"#);
    let wrong = r#"{"id":7,"addr":"nowhere","state":null}"#;
    let servers = [entry("s-1", "resting"), entry("s-2", "up"), entry("s-2", "removed"), wrong.to_string()];
    watch.send_list(&format!(r#"{{"version":42,"full":false,"servers":[{}]}}"#, servers.join(",")));
    assert!(watch.message().line.contains("after=42&"));
    let mut client = scheduler.connect();
    client.send_job("t1");
    // An unknown state wants nothing new, and of two entries the last counts.
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    for nonsense in ["[]", r#"{"version":"x","full":1}"#, "", "{\"servers\":"] {
        watch.send_list(nonsense);
        watch = scheduler.accept_discovery_connection();
        assert!(watch.message().line.contains("after=42&wait_ms=0 "), "after {nonsense:?}");
    }
}

#[test]
fn a_discovery_that_floods_is_given_up_and_called_again() {
    let (scheduler, mut watch, _) = with_two_workers("flooding-list");
    let mut flood = watch.reader.get_ref().try_clone().unwrap();
    watch.send("HTTP/1.1 200 OK\r\nX-Endless: ");
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut again = scheduler.accept_discovery_connection();
    assert!(again.message().line.contains("after=41&wait_ms=0 "));
    sender.join().unwrap();
}
