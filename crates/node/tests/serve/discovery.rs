//! Tests of the watch on the endpoint list over sockets: its start, disconnects and a reload.

use super::*;

#[test]
fn watch_continues_and_is_reopened_after_a_disconnect() {
    let scheduler = Scheduler::without_list("watch", 1);
    let mut discovery = scheduler.accept_discovery_connection();
    assert!(discovery.read_message().line.contains("after=41&"));
    let body = r#"{"version":42,"full":false,"servers":[]}"#;
    discovery.send_ok(body);
    assert!(discovery.read_message().line.contains("after=42&"));
    drop(discovery);
    assert!(scheduler.accept_discovery_connection().read_message().line.contains("after=42&"));
}

#[test]
fn sighup_moves_the_watch_without_disturbing_requests() {
    let mut scheduler = Scheduler::start("reloaded");
    let mut old_watch = scheduler.confirm_list();
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reloaded.json");
    let original = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reload failed: error=");
    let new_listener = listen();
    let from = scheduler.discovery_listener.local_addr().unwrap();
    let to = new_listener.local_addr().unwrap();
    std::fs::write(&path, original.replace(&from.to_string(), &to.to_string())).unwrap();
    scheduler.signal("-HUP");
    // The versions at another address of discovery are unrelated to the old ones: the scheduler first
    // requests the complete list, and does so again after a failed call.
    for _ in 0..2 {
        assert_eq!(
            Connection::new(new_listener.accept().unwrap().0).read_message().line,
            "GET /discovery/hosts HTTP/1.1"
        );
    }
    assert!(old_watch.reads_eof());
    scheduler.finish_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
}

#[test]
fn silent_watch_is_reopened_and_indented_lists_are_read() {
    let mut scheduler = Scheduler::without_list("silent-watch", 1);
    let mut silent_watch = scheduler.accept_discovery_connection();
    assert!(silent_watch.read_message().line.contains("after=41&"));
    // Discovery stays silent: the scheduler repeats the call on a new connection and closes this one.
    let mut retry = scheduler.accept_discovery_connection();
    assert!(retry.read_message().line.contains("after=41&") && silent_watch.reads_eof());
    scheduler.wait_for_log("discovery call failed: ");
    let body = "{\r\n\t\"version\": 42,\n  \"full\": false,\n  \"servers\": [\n  ]\n}\n";
    retry.send_ok(body);
    assert!(retry.read_message().line.contains("after=42&"));
}

/// If lists are pushed, every change that discovery holds counts as notified from the start of the process,
/// so the watch begins at the start.
#[test]
fn pushed_list_is_watched_from_start_and_after_each_disconnect() {
    let pushed = |text: String| text.replace(r#""Discovery": "ask""#, r#""Discovery": "push""#);
    let scheduler = Scheduler::with_config_without_list("pushed", 1, pushed);
    let mut discovery = scheduler.accept_discovery_connection();
    assert!(discovery.read_message().line.contains("after=41&"));
    let body = r#"{"version":42,"full":false,"servers":[]}"#;
    discovery.send_ok(body);
    assert!(discovery.read_message().line.contains("after=42&"));
    for _ in 0..3 {
        drop(discovery);
        discovery = scheduler.accept_discovery_connection();
        assert!(discovery.read_message().line.contains("after=42&"));
    }
}

/// The list that a process starts with may be outdated, and changes that discovery published before the start
/// count as notified.
#[test]
fn process_is_ready_once_its_list_is_confirmed() {
    let scheduler = Scheduler::without_list("confirmed", 1);
    assert!(!scheduler.is_ready());
    let _watch = scheduler.confirm_list();
    assert!(scheduler.is_ready());
}

/// Discovery may be down for a long time, in which clients need this process.
#[test]
fn process_becomes_ready_without_any_discovery_response() {
    let scheduler = Scheduler::without_list("unconfirmed", 1);
    while !scheduler.is_ready() {}
}

/// Hundreds of schedulers that start together spread their first calls over time, but a scheduler that
/// receives a job calls at once.
#[test]
fn first_job_triggers_an_immediate_discovery_call() {
    let with_rare_calls = |text: String| {
        let text = text.replace(r#""Discovery": "ask""#, r#""Discovery": "ask", "Siblings": 4000000"#);
        text.replace(r#""Rules": {"#, r#""Rules": {"AskWithinMs": 36000000, "#)
    };
    let scheduler = Scheduler::with_config_without_list("first-job", 1, with_rare_calls);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let _watch = scheduler.confirm_list();
}

/// Readiness follows the list that has arrived, not the next decision: the list and the readiness check arrive
/// while the process is stopped, so that it handles both in one iteration of its event loop.
#[test]
fn process_is_ready_as_soon_as_it_has_read_its_list() {
    let scheduler = Scheduler::without_list("ready-at-once", 1);
    let mut discovery = scheduler.accept_discovery_connection();
    assert!(discovery.read_message().line.contains("after=41&wait_ms=0 "));
    assert!(!scheduler.is_ready());
    scheduler.signal("-STOP");
    discovery.send_ok(r#"{"version":41,"full":false,"servers":[]}"#);
    let mut client = scheduler.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    scheduler.signal("-CONT");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
}
