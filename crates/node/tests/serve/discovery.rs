//! The watch on the endpoint list, on sockets.

use super::*;

#[test]
fn a_watch_goes_on_and_a_broken_one_begins_again() {
    let scheduler = Scheduler::without_list("watch", 1);
    let mut discovery = scheduler.accept_discovery_connection();
    assert!(discovery.message().line.contains("after=41&"));
    let body = r#"{"version":42,"full":false,"servers":[]}"#;
    discovery.send_list(body);
    assert!(discovery.message().line.contains("after=42&"));
    drop(discovery);
    assert!(scheduler.accept_discovery_connection().message().line.contains("after=42&"));
}

#[test]
fn sighup_moves_the_watch_and_disturbs_no_request() {
    let mut scheduler = Scheduler::start("reloaded");
    let mut old = scheduler.confirm_list();
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reloaded.json");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reload failed: error=");
    let new = listen();
    let from = scheduler.discovery_listener.local_addr().unwrap();
    let to = new.local_addr().unwrap();
    std::fs::write(&path, good.replace(&from.to_string(), &to.to_string())).unwrap();
    scheduler.signal("-HUP");
    // The versions of another service mean nothing: the whole list comes first, also when the first call fails.
    for _ in 0..2 {
        assert_eq!(Connection::new(new.accept().unwrap().0).message().line, "GET /discovery/hosts HTTP/1.1");
    }
    assert!(old.reaches_end());
    scheduler.finish_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_and_lists_may_be_indented() {
    let mut scheduler = Scheduler::without_list("silent-watch", 1);
    let mut silent = scheduler.accept_discovery_connection();
    assert!(silent.message().line.contains("after=41&"));
    // It says nothing more and stays open: the call is made again elsewhere, and this one is given up.
    let mut again = scheduler.accept_discovery_connection();
    assert!(again.message().line.contains("after=41&") && silent.reaches_end());
    scheduler.wait_for_log("discovery call failed: ");
    let body = "{\r\n\t\"version\": 42,\n  \"full\": false,\n  \"servers\": [\n  ]\n}\n";
    again.send_list(body);
    assert!(again.message().line.contains("after=42&"));
}

/// Where lists are pushed, all that an agent has counts as notified from the start of a process.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_after_every_break() {
    let pushed = |text: String| text.replace(r#""Discovery": "ask""#, r#""Discovery": "push""#);
    let scheduler = Scheduler::with_config_without_list("pushed", 1, pushed);
    let mut agent = scheduler.accept_discovery_connection();
    assert!(agent.message().line.contains("after=41&"));
    let body = r#"{"version":42,"full":false,"servers":[]}"#;
    agent.send_list(body);
    assert!(agent.message().line.contains("after=42&"));
    for _ in 0..3 {
        drop(agent);
        agent = scheduler.accept_discovery_connection();
        assert!(agent.message().line.contains("after=42&"));
    }
}

/// The list that a process starts with may be of long ago, and what discovery has by then counts as notified.
#[test]
fn a_process_is_up_once_discovery_has_confirmed_its_list() {
    let scheduler = Scheduler::without_list("confirmed", 1);
    assert!(!scheduler.is_ready());
    let _watch = scheduler.confirm_list();
    assert!(scheduler.is_ready());
}

/// Discovery may be down for longer than clients can do without this process.
#[test]
fn a_process_that_discovery_never_answers_is_up_all_the_same() {
    let scheduler = Scheduler::without_list("unconfirmed", 1);
    while !scheduler.is_ready() {}
}

/// Hundreds of schedulers that start together spread their first calls; one with a job to place does not wait for its turn.
#[test]
fn the_first_job_has_the_list_confirmed_at_once() {
    let rare = |text: String| {
        let text = text.replace(r#""Discovery": "ask""#, r#""Discovery": "ask", "Siblings": 4000000"#);
        text.replace(r#""Rules": {"#, r#""Rules": {"AskWithinMs": 36000000, "#)
    };
    let scheduler = Scheduler::with_config_without_list("first-job", 1, rare);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let _watch = scheduler.confirm_list();
}
