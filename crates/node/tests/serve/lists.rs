//! Lists that cross: older than what is held, with what cannot be read, told as a job is about to be sent again.

use super::*;

fn with_two_workers(name: &str) -> (Scheduler, Peer, String) {
    let s = Scheduler::with(name, 2);
    let watch = s.listed();
    let addr = s.target.local_addr().unwrap().to_string();
    (s, watch, addr)
}

#[test]
fn an_older_list_takes_back_no_drain_and_the_whole_one_is_asked_for() {
    let (s, mut watch, addr) = with_two_workers("older-list");
    let both = |state: &str| {
        let entry = |id| format!(r#"{{"id":"{id}","addr":"{addr}","state":"{state}"}}"#);
        format!("{},{}", entry("s-1"), entry("s-2"))
    };
    watch.list(&format!(r#"{{"version":43,"full":false,"servers":[{}]}}"#, both("draining")));
    assert!(watch.message().0.contains("after=43&"));
    watch.list(&format!(r#"{{"version":42,"full":true,"servers":[{}]}}"#, both("up")));
    assert_eq!(watch.message().0, "GET /discovery/hosts HTTP/1.1");
    let mut client = s.connect();
    client.job("t1");
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    // A discovery that has begun anew says so by its whole list.
    watch.list(&format!(r#"{{"version":7,"full":true,"servers":[{}]}}"#, both("up")));
    assert!(watch.message().0.contains("after=7&"));
    client.job("t2");
    assert!(Peer::new(s.target.accept().unwrap().0).message().1.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn a_job_that_is_due_again_does_not_go_to_a_worker_that_was_told_to_drain_meanwhile() {
    let (s, mut watch, addr) = with_two_workers("drained-before-retry");
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send(TAKEN);
    let draining = |id| format!(r#"{{"id":"{id}","addr":"{addr}","state":"draining"}}"#);
    let body =
        format!(r#"{{"version":42,"full":false,"servers":[{},{}]}}"#, draining("s-1"), draining("s-2"));
    watch.list(&body);
    assert!(watch.message().0.contains("after=42&"));
    s.news(r#"{"id":"t1","from":"s-1","state":"returned"}"#);
    s.news(r#"{"id":"t1","from":"s-2","state":"returned"}"#);
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
}

#[test]
fn a_list_with_unknown_states_doubled_ids_and_wrong_types_is_read_as_far_as_it_means_something() {
    let (s, mut watch, addr) = with_two_workers("odd-list");
    let entry = |id: &str, state: &str| format!(r#"{{"id":"{id}","addr":"{addr}","state":"{state}"}}"#);
    let wrong = r#"{"id":7,"addr":"nowhere","state":null}"#;
    let servers = [entry("s-1", "resting"), entry("s-2", "up"), entry("s-2", "removed"), wrong.to_string()];
    watch.list(&format!(r#"{{"version":42,"full":false,"servers":[{}]}}"#, servers.join(",")));
    assert!(watch.message().0.contains("after=42&"));
    let mut client = s.connect();
    client.job("t1");
    // An unknown state wants nothing new, and of two entries the last counts.
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    for nonsense in ["[]", r#"{"version":"x","full":1}"#, "", "{\"servers\":"] {
        watch.list(nonsense);
        watch = Peer::new(s.discovery.accept().unwrap().0);
        assert!(watch.message().0.contains("after=42&wait_ms=0 "), "after {nonsense:?}");
    }
}

#[test]
fn a_discovery_that_floods_is_given_up_and_called_again() {
    let (s, mut watch, _) = with_two_workers("flooding-list");
    let mut flood = watch.0.get_ref().try_clone().unwrap();
    watch.send("HTTP/1.1 200 OK\r\nX-Endless: ");
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut again = Peer::new(s.discovery.accept().unwrap().0);
    assert!(again.message().0.contains("after=41&wait_ms=0 "));
    sender.join().unwrap();
}
