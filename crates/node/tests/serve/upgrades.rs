//! Upgrades: two processes of one scheduler, on sockets.

use super::*;

#[test]
fn an_upgrade_loses_no_job_and_nothing_that_operators_said() {
    let mut old = Scheduler::upgradable("upgraded", 1);
    let mut client = old.connect();
    client.send_job("t1");
    let mut worker = old.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    assert!(old.admin_accepts("PUT /workers/s-1/maint"));
    assert!(old.admin_accepts("PUT /healthcheck/fail"));
    let (mut new, _watches) = old.upgrade(); // with a yes, although it sends clients away as the old one does
    old.wait_for_log("no longer accepting clients: role=predecessor");
    let mut up = new.connect();
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(new.admin_accepts("PUT /healthcheck/ok"));
    let excluded = |scheduler: &Scheduler, n: u8| {
        scheduler.admin_request("GET /stats").body.contains(&format!(r#""workers_excluded":{n}"#))
    };
    assert!(excluded(&new, 1));
    // New connections come to the successor: it knows the predecessor's jobs, and passes their status updates on.
    let mut twice = new.connect();
    twice.send_job("t1");
    assert_eq!(twice.message().line, "HTTP/1.1 409 Conflict");
    new.finish_job("t1");
    let Message { line, head, .. } = client.message();
    assert!(line == "HTTP/1.1 200 OK" && head.contains("Connection: close\r\n") && client.reaches_end());
    // What is said to one is said to both.
    assert!(new.admin_accepts("PUT /workers/s-1/ready"));
    while excluded(&old, 1) {}
    drop(client);
    old.signal("-TERM");
    assert!(old.process.wait().unwrap().success());
    new.wait_for_log("upgrade peer exited");
    let mut client = new.connect();
    client.send_job("t2");
    assert!(new.accept_worker_connection().message().head.contains("X-Trace-Id: t2\r\n"));
    assert!(new.admin_accepts("GET /healthcheck"));
}

#[test]
fn on_shutdown_clients_migrate_to_the_successor_with_their_connections_and_jobs() {
    let mut old = Scheduler::upgradable("moved", 3);
    let mut idle = old.connect();
    let mut client = old.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.message();
    client.send_job("t1");
    let mut worker = old.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    let (new, _watches) = old.upgrade();
    old.wait_for_log("no longer accepting clients: role=predecessor");
    old.signal("-TERM");
    // It ends although the job goes on, and ends neither connection with it.
    assert!(old.process.wait().unwrap().success());
    assert!(new.admin_request("GET /stats").body.contains(r#""in_flight":1"#));
    new.finish_job("t1");
    let Message { line, head, body } = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    assert!(!head.contains("Connection: close\r\n"));
    for mut kept in [client, idle] {
        kept.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(kept.message().line, "HTTP/1.1 200 OK");
    }
}

#[test]
fn an_upgrade_called_off_by_sigterm_leaves_clients_where_they_are() {
    let mut old = Scheduler::upgradable("called-off", 4);
    let _watch = old.confirm_list();
    let mut new = old.start_successor();
    let mut list = old.accept_discovery_connection();
    list.message();
    new.signal("-TERM");
    new.wait_for_log("shutdown started: unanswered_jobs=0");
    let known = r#"{"version":42,"full":true,"servers":[]}"#;
    list.send_list(known);
    assert!(new.process.wait().unwrap().success());
    let mut line = String::new();
    while !line.contains("upgrade peer exited") {
        assert!(!line.contains("no longer accepting clients"));
        line.clear();
        assert!(old.log.read_line(&mut line).unwrap() > 0);
    }
    assert!(old.admin_accepts("GET /healthcheck"));
}

#[test]
fn whichever_process_of_an_upgrade_dies_the_other_goes_on() {
    let mut old = Scheduler::upgradable("upgrade-broken", 2);
    let (mut new, watches) = old.upgrade();
    assert!(old.is_ready());
    new.process.kill().unwrap();
    old.wait_for_log("upgrade peer exited");
    assert!(old.is_ready() && old.admin_accepts("GET /healthcheck"));
    drop((new, watches));
    // The old one dies before the next has had a list: that one takes clients all the same, once it has.
    let mut new = old.start_successor();
    old.process.kill().unwrap();
    new.wait_for_log("upgrade peer exited");
    let _watch = new.send_complete_list();
    assert!(new.is_ready() && new.admin_accepts("GET /healthcheck"));
    // What an ended process has left at the meeting place stops no start.
    new.process.kill().unwrap();
    new.process.wait().unwrap();
    let last = new.start_successor();
    let _watch = last.confirm_list();
    assert!(last.is_ready());
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
        let (mut new, _watches) = old.upgrade();
        let mut client = new.connect();
        client.send("POST /price HTTP/1.1\r\nX-Trace-Id: t1\r\nContent-Length: 0\r\n\r\n");
        if other {
            new.wait_for_log("learned state dropped: reason=\"other settings\"");
            assert!(new.accept_worker_connection().message().line.starts_with("POST /price "));
        } else {
            assert_eq!(client.message().line, "HTTP/1.1 404 Not Found");
        }
    }
}

/// What a running process cannot take over it takes over in no part: no class, limit or cost of the new settings.
#[test]
fn a_reload_to_another_customers_settings_keeps_those_in_force_and_says_so() {
    let mut scheduler = Scheduler::start("other-customer");
    let text = std::fs::read_to_string(&scheduler.config).unwrap();
    let other =
        text.replace(r#""Name": "render", "Effect": "repeatable""#, r#""Name": "price", "Effect": "once""#);
    std::fs::write(&scheduler.config, other).unwrap();
    scheduler.signal("-HUP");
    scheduler.wait_for_log("restart needed: changed=settings");
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert!(scheduler.accept_worker_connection().message().head.contains("X-Trace-Id: t1\r\n"));
    let mut other = scheduler.connect();
    other.send("POST /price HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(other.message().line, "HTTP/1.1 404 Not Found");
    // And a process that starts with them knows nothing of the first.
    scheduler.process.kill().unwrap();
    let next = scheduler.start_successor();
    let mut client = next.connect();
    client.send_job("t3");
    assert_eq!(client.message().line, "HTTP/1.1 404 Not Found");
    assert!(!next.admin_request("GET /stats").body.contains("render"));
}

#[test]
fn two_processes_with_different_settings_on_one_machine_know_nothing_of_each_other() {
    let first = Scheduler::start("customer-one");
    let other = |text: String| text.replace(r#""Name": "render""#, r#""Name": "price""#);
    let second = Scheduler::with_config("customer-two", 1, other);
    let mut one = first.connect();
    let mut two = second.connect();
    one.send_job("t1");
    two.send_job("t1");
    assert_eq!(two.message().line, "HTTP/1.1 404 Not Found");
    assert!(first.accept_worker_connection().message().head.contains("X-Trace-Id: t1\r\n"));
    assert!(
        !second.admin_request("GET /stats").body.contains("render")
            && !first.admin_request("GET /stats").body.contains("price")
    );
}
