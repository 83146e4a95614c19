//! The watch on discovery's list, on sockets.

use super::*;

#[test]
fn a_watch_goes_on_and_a_broken_one_begins_again() {
    let s = Scheduler::unconfirmed("watch", 1);
    let mut discovery = Peer::new(s.discovery.accept().unwrap().0);
    assert!(discovery.message().0.contains("after=41&"));
    let body = r#"{"version":42,"full":false,"servers":[]}"#;
    discovery.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    assert!(discovery.message().0.contains("after=42&"));
    drop(discovery);
    assert!(Peer::new(s.discovery.accept().unwrap().0).message().0.contains("after=42&"));
}

#[test]
fn sighup_moves_the_watch_and_disturbs_no_request() {
    let mut s = Scheduler::start("reloaded");
    let mut old = s.listed();
    let mut client = s.connect();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reloaded.json");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    s.signal("-HUP");
    s.logs("configuration reload failed: error=");
    let new = TcpListener::bind("127.0.0.1:0").unwrap();
    let (from, to) = (s.discovery.local_addr().unwrap(), new.local_addr().unwrap());
    std::fs::write(&path, good.replace(&from.to_string(), &to.to_string())).unwrap();
    s.signal("-HUP");
    // The versions of another service mean nothing: the whole list comes first, also when the first call fails.
    for _ in 0..2 {
        assert_eq!(Peer::new(new.accept().unwrap().0).message().0, "GET /discovery/hosts HTTP/1.1");
    }
    assert!(old.ends());
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_and_lists_may_be_indented() {
    let mut s = Scheduler::unconfirmed("silent-watch", 1);
    let mut silent = Peer::new(s.discovery.accept().unwrap().0);
    assert!(silent.message().0.contains("after=41&"));
    // It says nothing more and stays open: the call is made again elsewhere, and this one is given up.
    let mut again = Peer::new(s.discovery.accept().unwrap().0);
    assert!(again.message().0.contains("after=41&") && silent.ends());
    s.logs("discovery: ");
    let body = "{\r\n\t\"version\": 42,\n  \"full\": false,\n  \"servers\": [\n  ]\n}\n";
    again.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    assert!(again.message().0.contains("after=42&"));
}

/// Where lists are pushed, an agent holds what is new and all of it counts as told from the first moment of a process.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_after_every_break() {
    let pushed = |text: String| text.replace(r#""Discovery": "ask""#, r#""Discovery": "push""#);
    let s = Scheduler::changed_unconfirmed("pushed", 1, pushed);
    let mut agent = Peer::new(s.discovery.accept().unwrap().0);
    assert!(agent.message().0.contains("after=41&"));
    let body = r#"{"version":42,"full":false,"servers":[]}"#;
    agent.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    assert!(agent.message().0.contains("after=42&"));
    for _ in 0..3 {
        drop(agent);
        agent = Peer::new(s.discovery.accept().unwrap().0);
        assert!(agent.message().0.contains("after=42&"));
    }
}

fn answers_up(s: &Scheduler) -> bool {
    let mut up = s.connect();
    up.send("GET /up HTTP/1.1\r\n\r\n");
    up.message().0 == "HTTP/1.1 200 OK"
}

/// The list that a process starts with may be of long ago, and what discovery has by then counts as told.
#[test]
fn a_process_is_up_once_discovery_has_confirmed_its_list() {
    let s = Scheduler::unconfirmed("confirmed", 1);
    assert!(!answers_up(&s));
    let _watch = s.listed();
    assert!(answers_up(&s));
}

/// Discovery may be down for longer than clients can do without this process.
#[test]
fn a_process_that_discovery_never_answers_is_up_all_the_same() {
    let s = Scheduler::unconfirmed("unconfirmed", 1);
    while !answers_up(&s) {}
}

/// Hundreds of schedulers that start together spread their first calls; one with a job to place does not wait for its turn.
#[test]
fn the_first_job_has_the_list_confirmed_at_once() {
    let rare = |text: String| {
        let text = text.replace(r#""Discovery": "ask""#, r#""Discovery": "ask", "Siblings": 4000000"#);
        text.replace(r#""Rules": {"#, r#""Rules": {"AskWithinMs": 36000000, "#)
    };
    let s = Scheduler::changed_unconfirmed("first-job", 1, rare);
    let mut client = s.connect();
    client.job("t1");
    let _watch = s.listed();
}
