//! Two processes of one scheduler, on sockets.

use super::*;

#[test]
fn an_upgrade_loses_no_job_and_nothing_that_operators_said() {
    let mut old = Scheduler::upgradable("upgraded", 1);
    let mut client = old.connect();
    client.job("t1");
    let mut target = Peer::new(old.target.accept().unwrap().0);
    target.message();
    target.send(TAKEN);
    assert!(old.says_yes("PUT /workers/s-1/maint"));
    assert!(old.says_yes("PUT /healthcheck/fail"));
    let (mut new, _watches) = old.upgraded(); // with a yes, although it sends clients away as the old one does
    old.logs("no longer accepting clients: role=predecessor");
    let mut up = new.connect();
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().0, "HTTP/1.1 503 Service Unavailable");
    assert!(new.says_yes("PUT /healthcheck/ok"));
    let excluded =
        |s: &Scheduler, n: u8| s.call("GET /stats").1.contains(&format!(r#""workers_excluded":{n}"#));
    assert!(excluded(&new, 1));
    // New connections come to the new one: it knows what is under way at the old one, and passes its news on.
    let mut twice = new.connect();
    twice.job("t1");
    assert_eq!(twice.message().0, "HTTP/1.1 409 Conflict");
    new.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, _) = client.message();
    assert!(line == "HTTP/1.1 200 OK" && head.contains("Connection: close\r\n") && client.ends());
    // What is said to one is said to both.
    assert!(new.says_yes("PUT /workers/s-1/ready"));
    while excluded(&old, 1) {}
    drop(client);
    old.signal("-TERM");
    assert!(old.process.wait().unwrap().success());
    new.logs("upgrade peer exited");
    let mut client = new.connect();
    client.job("t2");
    assert!(Peer::new(new.target.accept().unwrap().0).message().1.contains("X-Trace-Id: t2\r\n"));
    assert!(new.says_yes("GET /healthcheck"));
}

#[test]
fn on_the_way_out_clients_go_to_the_newer_process_with_their_connections_and_jobs() {
    let mut old = Scheduler::upgradable("moved", 3);
    let (mut idle, mut client) = (old.connect(), old.connect());
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.message();
    client.job("t1");
    let mut target = Peer::new(old.target.accept().unwrap().0);
    target.message();
    target.send(TAKEN);
    let (new, _watches) = old.upgraded();
    old.logs("no longer accepting clients: role=predecessor");
    old.signal("-TERM");
    // It ends although the job goes on, and ends neither connection with it.
    assert!(old.process.wait().unwrap().success());
    assert!(new.call("GET /stats").1.contains(r#""in_flight":1"#));
    new.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, body) = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    assert!(!head.contains("Connection: close\r\n"));
    for mut kept in [client, idle] {
        kept.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(kept.message().0, "HTTP/1.1 200 OK");
    }
}

#[test]
fn an_upgrade_called_off_by_sigterm_leaves_clients_where_they_are() {
    let mut old = Scheduler::upgradable("called-off", 4);
    let _watch = old.listed();
    let mut new = old.newer();
    let mut list = Peer::new(old.discovery.accept().unwrap().0);
    list.message();
    new.signal("-TERM");
    new.logs("shutdown started: unanswered_jobs=0");
    let known = r#"{"version":42,"full":true,"servers":[]}"#;
    list.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}", known.len()));
    assert!(new.process.wait().unwrap().success());
    let mut line = String::new();
    while !line.contains("upgrade peer exited") {
        assert!(!line.contains("no longer accepting clients"));
        line.clear();
        assert!(old.log.read_line(&mut line).unwrap() > 0);
    }
    assert!(old.says_yes("GET /healthcheck"));
}

#[test]
fn whichever_process_of_an_upgrade_dies_the_other_goes_on() {
    let mut old = Scheduler::upgradable("upgrade-broken", 2);
    let is_up = |s: &Scheduler| {
        let mut up = s.connect();
        up.send("GET /up HTTP/1.1\r\n\r\n");
        up.message().0 == "HTTP/1.1 200 OK"
    };
    let (mut new, watches) = old.upgraded();
    assert!(is_up(&old));
    new.process.kill().unwrap();
    old.logs("upgrade peer exited");
    assert!(is_up(&old) && old.says_yes("GET /healthcheck"));
    drop((new, watches));
    // The old one dies before the next has had a list: that one takes clients all the same, once it has.
    let mut new = old.newer();
    old.process.kill().unwrap();
    new.logs("upgrade peer exited");
    let _watch = new.listed_whole();
    assert!(is_up(&new) && new.says_yes("GET /healthcheck"));
    // What an ended process has left at the meeting place stops no start.
    new.process.kill().unwrap();
    new.process.wait().unwrap();
    let last = new.newer();
    let _watch = last.listed();
    assert!(is_up(&last));
}

/// Classes, kinds and customers are known by numbers, which mean others where the settings differ.
#[test]
fn a_process_with_other_settings_takes_over_nothing_that_was_learned() {
    for (host, other) in [(5, false), (6, true)] {
        let old = Scheduler::upgradable(&format!("other-settings-{other}"), host);
        if other {
            let text = std::fs::read_to_string(&old.config).unwrap();
            let other = r#"{"Name": "price", "Effect": "once", "GoalTimeMs": 50}, {"Name": "render","#;
            std::fs::write(&old.config, text.replace(r#"{"Name": "render","#, other)).unwrap();
        }
        let (mut new, _watches) = old.upgraded();
        let mut client = new.connect();
        client.send("POST /price HTTP/1.1\r\nX-Trace-Id: t1\r\nContent-Length: 0\r\n\r\n");
        if other {
            new.logs("learned state dropped: reason=\"other settings\"");
            assert!(Peer::new(new.target.accept().unwrap().0).message().0.starts_with("POST /price "));
        } else {
            assert_eq!(client.message().0, "HTTP/1.1 404 Not Found");
        }
    }
}

/// What a running process cannot take over it takes over in no part: no class, limit or cost of the new settings.
#[test]
fn a_reload_to_another_customers_settings_keeps_those_in_force_and_says_so() {
    let mut s = Scheduler::start("other-customer");
    let text = std::fs::read_to_string(&s.config).unwrap();
    let other =
        text.replace(r#""Name": "render", "Effect": "repeatable""#, r#""Name": "price", "Effect": "once""#);
    std::fs::write(&s.config, other).unwrap();
    s.signal("-HUP");
    s.logs("restart needed: changed=settings");
    let mut client = s.connect();
    client.job("t1");
    assert!(Peer::new(s.target.accept().unwrap().0).message().1.contains("X-Trace-Id: t1\r\n"));
    let mut other = s.connect();
    other.send("POST /price HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(other.message().0, "HTTP/1.1 404 Not Found");
    // And a process that starts with them knows nothing of the first.
    s.process.kill().unwrap();
    let next = s.newer();
    let mut client = next.connect();
    client.job("t3");
    assert_eq!(client.message().0, "HTTP/1.1 404 Not Found");
    assert!(!next.call("GET /stats").1.contains("render"));
}

#[test]
fn two_processes_with_different_settings_on_one_machine_know_nothing_of_each_other() {
    let first = Scheduler::start("customer-one");
    let other = |text: String| text.replace(r#""Name": "render""#, r#""Name": "price""#);
    let second = Scheduler::changed("customer-two", 1, other);
    let (mut one, mut two) = (first.connect(), second.connect());
    one.job("t1");
    two.job("t1");
    assert_eq!(two.message().0, "HTTP/1.1 404 Not Found");
    assert!(Peer::new(first.target.accept().unwrap().0).message().1.contains("X-Trace-Id: t1\r\n"));
    assert!(!second.call("GET /stats").1.contains("render") && !first.call("GET /stats").1.contains("price"));
}
