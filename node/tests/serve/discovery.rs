//! The watch on discovery's list, on sockets.

use super::*;

#[test]
fn a_watch_goes_on_and_a_broken_one_begins_again() {
    let s = Scheduler::start("watch");
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
    let mut old = Peer::new(s.discovery.accept().unwrap().0);
    assert!(old.message().0.contains("after=41&"));
    let mut client = s.connect();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reloaded.json");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    s.signal("-HUP");
    s.logs("SIGHUP: the configuration stays as it was");
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
    let mut s = Scheduler::start("silent-watch");
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
    let s = Scheduler::changed("pushed", 1, pushed);
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
