//! Tests of upgrades over sockets, with two processes of one scheduler.

use super::*;

#[test]
fn upgrade_keeps_jobs_and_operator_settings() {
    let mut old = Scheduler::upgradable("upgraded", 1);
    let mut client = old.connect();
    client.send_job("t1");
    let mut worker = old.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    assert!(old.admin_accepts("PUT /workers/s-1/maint"));
    assert!(old.admin_accepts("PUT /healthcheck/fail"));
    // `upgrade` asserts that the successor is healthy: if the operator drain that it inherits made it
    // unhealthy, an upgrade during a drain would never end.
    let (mut new, _watches) = old.upgrade();
    old.wait_for_log("no longer accepting clients: role=predecessor");
    let mut up_client = new.connect();
    up_client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up_client.read_message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(new.admin_accepts("PUT /healthcheck/ok"));
    let has_excluded_workers = |scheduler: &Scheduler, count: u8| {
        scheduler.admin_request("GET /stats").body.contains(&format!(r#""workers_excluded":{count}"#))
    };
    assert!(has_excluded_workers(&new, 1));
    // New connections reach the successor. It rejects duplicates of the predecessor's jobs and forwards the
    // status updates of these jobs to the predecessor.
    let mut duplicate = new.connect();
    duplicate.send_job("t1");
    assert_eq!(duplicate.read_message().line, "HTTP/1.1 409 Conflict");
    new.finish_job("t1");
    let Message { line, head, .. } = client.read_message();
    assert!(line == "HTTP/1.1 200 OK" && head.contains("Connection: close\r\n") && client.reads_eof());
    // An operator's request to one process applies to both.
    assert!(new.admin_accepts("PUT /workers/s-1/ready"));
    while has_excluded_workers(&old, 1) {}
    drop(client);
    old.signal("-TERM");
    assert!(old.process.wait().unwrap().success());
    new.wait_for_log("upgrade peer exited");
    let mut client = new.connect();
    client.send_job("t2");
    assert!(new.accept_worker_connection().read_message().head.contains("X-Trace-Id: t2\r\n"));
    assert!(new.admin_accepts("GET /healthcheck"));
}

#[test]
fn upgrade_works_with_a_temporary_directory_of_any_path_length() {
    // Guards against two processes that serve one address and do not know of each other, as the path of their
    // upgrade socket did not fit into a socket address (108 bytes).
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("d".repeat(120)).join("e".repeat(120));
    std::fs::create_dir_all(&directory).unwrap();
    let (worker_listener, discovery_listener) = (listen(), listen());
    let discovery_addr = discovery_listener.local_addr().unwrap();
    let file = write_config("long-path", discovery_addr, worker_listener.local_addr().unwrap(), 1);
    let addr = free_address_on([127, 77, 0, 31]);
    let text = std::fs::read_to_string(&file).unwrap().replacen("127.0.0.1:0", &addr.to_string(), 1);
    let config = directory.join("long-path.json");
    std::fs::write(&config, text).unwrap();
    let old = Scheduler::launch(config, None, worker_listener, discovery_listener).with_confirmed_list();
    assert!(old.admin_accepts("PUT /workers/s-1/maint"));
    let (new, _watches) = old.upgrade();
    assert!(new.admin_request("GET /stats").body.contains(r#""workers_excluded":1"#));
}

#[test]
fn third_process_at_an_address_ends_with_an_error() {
    // Guards against a third process that serves clients beside the two of an upgrade, without knowing of them.
    const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
    const ADDRESS_SERVED: i32 = 3;
    let old = Scheduler::upgradable("third", 32);
    let (new, _watches) = old.upgrade();
    let mut command = Command::new(env!("CARGO_BIN_EXE_postusher"));
    command.arg("serve").arg("--config").arg(&old.config).env_remove("RUST_LOG");
    command.env("TMPDIR", old.config.parent().unwrap()).stderr(std::process::Stdio::piped());
    let mut third = command.spawn().unwrap();
    let deadline = std::time::Instant::now() + EXIT_TIMEOUT;
    while third.try_wait().unwrap().is_none() && std::time::Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = third.kill(); // fails if it has exited
    let output = third.wait_with_output().unwrap();
    let log = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(ADDRESS_SERVED), "{log}");
    assert!(log.contains("two other processes serve this address"), "{log}");
    assert!(!log.contains("listening: "), "{log}");
    assert!(new.is_ready() && new.admin_accepts("GET /healthcheck"));
}

#[test]
fn shutdown_migrates_clients_and_jobs_to_the_successor() {
    let mut old = Scheduler::upgradable("migrated", 3);
    let mut idle = old.connect();
    let mut client = old.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.read_message();
    client.send_job("t1");
    let mut worker = old.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    let (new, _watches) = old.upgrade();
    old.wait_for_log("no longer accepting clients: role=predecessor");
    old.signal("-TERM");
    // The predecessor exits although the job still runs, and neither client connection ends with it.
    assert!(old.process.wait().unwrap().success());
    assert!(new.admin_request("GET /stats").body.contains(r#""in_flight":1"#));
    new.finish_job("t1");
    let Message { line, head, body } = client.read_message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    assert!(!head.contains("Connection: close\r\n"));
    for mut peer in [client, idle] {
        peer.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(peer.read_message().line, "HTTP/1.1 200 OK");
    }
}

#[test]
fn upgrade_cancelled_by_sigterm_leaves_clients_in_place() {
    let mut old = Scheduler::upgradable("cancelled-upgrade", 4);
    let _watch = old.confirm_list();
    let mut new = old.start_successor();
    let mut new_watch = old.accept_discovery_connection();
    new_watch.read_message();
    new.signal("-TERM");
    new.wait_for_log("shutdown started: unanswered_jobs=0");
    let empty_list = r#"{"version":42,"full":true,"servers":[]}"#;
    new_watch.send_ok(empty_list);
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
fn either_process_of_an_upgrade_survives_the_other() {
    let mut old = Scheduler::upgradable("upgrade-survival", 2);
    let (mut new, watches) = old.upgrade();
    assert!(old.is_ready());
    new.process.kill().unwrap();
    old.wait_for_log("upgrade peer exited");
    assert!(old.is_ready() && old.admin_accepts("GET /healthcheck"));
    drop((new, watches));
    // The predecessor dies before the successor has a list: the successor accepts clients once it has one.
    let mut new = old.start_successor();
    old.process.kill().unwrap();
    new.wait_for_log("upgrade peer exited");
    let _watch = new.send_complete_list();
    assert!(new.is_ready() && new.admin_accepts("GET /healthcheck"));
    // The upgrade socket that a killed process leaves behind does not prevent the next start.
    new.process.kill().unwrap();
    new.process.wait().unwrap();
    let third = new.start_successor();
    let _watch = third.confirm_list();
    assert!(third.is_ready());
}

/// Learned state refers to classes, machine kinds and customers by number, and the numbers depend on the
/// settings.
#[test]
fn learned_state_is_dropped_when_settings_differ() {
    for (host, settings_differ) in [(5, false), (6, true)] {
        let old = Scheduler::upgradable(&format!("other-settings-{settings_differ}"), host);
        if settings_differ {
            let text = std::fs::read_to_string(&old.config).unwrap();
            let with_price = r#"{"Name": "price", "Effect": "once", "GoalTimeMs": 50}, {"Name": "render","#;
            std::fs::write(&old.config, text.replace(r#"{"Name": "render","#, with_price)).unwrap();
        }
        let (mut new, _watches) = old.upgrade();
        let mut client = new.connect();
        client.send("POST /price HTTP/1.1\r\nX-Trace-Id: t1\r\nContent-Length: 0\r\n\r\n");
        if settings_differ {
            new.wait_for_log("learned state dropped: reason=\"other settings\"");
            assert!(new.accept_worker_connection().read_message().line.starts_with("POST /price "));
        } else {
            assert_eq!(client.read_message().line, "HTTP/1.1 404 Not Found");
        }
    }
}

/// If changed settings need a restart, a reload applies no part of them: no class, limit or cost.
#[test]
fn reload_with_changed_settings_keeps_those_in_force() {
    let mut scheduler = Scheduler::start("changed-settings");
    let text = std::fs::read_to_string(&scheduler.config).unwrap();
    let changed =
        text.replace(r#""Name": "render", "Effect": "repeatable""#, r#""Name": "price", "Effect": "once""#);
    std::fs::write(&scheduler.config, changed).unwrap();
    scheduler.signal("-HUP");
    scheduler.wait_for_log("restart needed: changed=settings");
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert!(scheduler.accept_worker_connection().read_message().head.contains("X-Trace-Id: t1\r\n"));
    let mut price_client = scheduler.connect();
    price_client.send("POST /price HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(price_client.read_message().line, "HTTP/1.1 404 Not Found");
    // A process that starts with the new settings does not have the classes of the old ones.
    scheduler.process.kill().unwrap();
    let next = scheduler.start_successor();
    let mut client = next.connect();
    client.send_job("t3");
    assert_eq!(client.read_message().line, "HTTP/1.1 404 Not Found");
    assert!(!next.admin_request("GET /stats").body.contains("render"));
}

#[test]
fn processes_with_different_settings_are_independent() {
    let first = Scheduler::start("customer-one");
    let with_price_class = |text: String| text.replace(r#""Name": "render""#, r#""Name": "price""#);
    let second = Scheduler::with_config("customer-two", 1, with_price_class);
    let mut first_client = first.connect();
    let mut second_client = second.connect();
    first_client.send_job("t1");
    second_client.send_job("t1");
    assert_eq!(second_client.read_message().line, "HTTP/1.1 404 Not Found");
    assert!(first.accept_worker_connection().read_message().head.contains("X-Trace-Id: t1\r\n"));
    assert!(
        !second.admin_request("GET /stats").body.contains("render")
            && !first.admin_request("GET /stats").body.contains("price")
    );
}
