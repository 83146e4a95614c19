//! End-to-end tests of the `postusher` program over loopback sockets. The tests act as clients, workers,
//! discovery and operators.

use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

mod closes;
mod connection;
mod descriptors;
mod discovery;
mod earlier_attempts;
mod golden;
mod harness;
mod large_lists;
mod late_connections;
mod lists;
mod load_reports;
mod members;
mod memory;
mod predecessor;
mod shutdown;
mod timers;
mod upgrade_link;
mod upgrades;
mod waiting;
mod workers;

use connection::{Connection, Message, SlowListener};
use harness::{free_address_on, listen, write_config, Scheduler, ACCEPTED, TEST_TIMEOUT};

#[test]
fn results_are_served_and_worker_connections_reused() {
    let scheduler = Scheduler::start("served");
    let mut client = scheduler.connect();
    let mut keep_alive = None;
    let mut peer_addrs = Vec::new();
    // The scheduler reuses a connection only after it has been idle for some milliseconds.
    for id in (1..).map(|n| format!("t{n}")) {
        client.send_job(&id);
        let worker = scheduler.next_request(&mut keep_alive);
        let Message { line, head, body } = worker.read_message();
        assert_eq!((line.as_str(), body.as_str()), ("POST /render/x?y=1 HTTP/1.1", "ab"));
        assert!(head.contains(&format!("X-Trace-Id: {id}\r\n")) && head.contains("X-Expires-In: "));
        worker.send(ACCEPTED);
        let done = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"made for {id}"}}"#);
        scheduler.send_job_status(&done);
        let Message { line, body, .. } = client.read_message();
        assert_eq!((line.as_str(), body), ("HTTP/1.1 200 OK", format!("made for {id}")));
        scheduler.send_job_status(&done); // a late duplicate is acknowledged and ignored
        let peer_addr = worker.reader.get_ref().peer_addr().unwrap();
        if peer_addrs.contains(&peer_addr) {
            return;
        }
        peer_addrs.push(peer_addr);
        std::thread::sleep(Duration::from_millis(30));
        assert!(peer_addrs.len() < 100, "no connection was reused within 100 jobs");
    }
}

#[test]
fn client_disconnect_cancels_its_job() {
    let scheduler = Scheduler::start("client-left");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"running","share":0.1}"#);
    drop(client);
    assert_eq!(worker.read_message().line, "DELETE /jobs/t1 HTTP/1.1");
}

#[test]
fn unaccepted_job_is_retried_on_another_worker() {
    let scheduler = Scheduler::with_workers("silent", 2);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut silent_worker = scheduler.accept_worker_connection();
    silent_worker.read_message();
    let mut second_worker = scheduler.accept_worker_connection();
    assert!(second_worker.read_message().head.contains("X-Trace-Id: t1\r\n") && silent_worker.reads_eof());
    second_worker.send(ACCEPTED);
    // Both workers have the same address: the test cannot tell which one accepted the job, so it reports the
    // result for each.
    (1..=2).for_each(|n| {
        scheduler.send_job_status(&format!(r#"{{"id":"t1","from":"s-{n}","state":"done","result":"r"}}"#))
    });
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
}

#[test]
fn job_on_stale_connection_is_resent_on_a_new_one() {
    let scheduler = Scheduler::start("stale");
    let mut client = scheduler.connect();
    let mut keep_alive = None;
    let mut peer_addrs = Vec::new();
    for id in (1..).map(|n| format!("t{n}")) {
        client.send_job(&id);
        let mut worker = scheduler.next_request(&mut keep_alive);
        let peer_addr = worker.reader.get_ref().peer_addr().unwrap();
        let reused = peer_addrs.contains(&peer_addr);
        if reused {
            worker.read_message(); // the worker receives the job and disconnects without a response
            keep_alive = None;
            worker = scheduler.next_request(&mut keep_alive);
        }
        assert!(worker.read_message().head.contains(&format!("X-Trace-Id: {id}\r\n")));
        worker.send(ACCEPTED);
        scheduler.send_job_status(&format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"r"}}"#));
        assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
        if reused {
            return;
        }
        peer_addrs.push(peer_addr);
        std::thread::sleep(Duration::from_millis(30));
        assert!(peer_addrs.len() < 100, "no connection was reused within 100 jobs");
    }
}

#[test]
fn refused_connections_and_bad_input_get_error_statuses() {
    let mut scheduler = Scheduler::start("refused");
    scheduler.worker_listener = listen(); // closes the listener at the listed address
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 503 Service Unavailable");
    let cases = [
        ("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Length: 99999\r\n\r\n", "413"),
        ("POST /other HTTP/1.1\r\nX-Trace-Id: t2\r\n\r\n", "404"),
        ("nonsense\r\n\r\n", "400"),
    ];
    for (request, status) in cases {
        let mut client = scheduler.connect();
        client.send(request);
        assert_eq!(client.read_message().line.split(' ').nth(1), Some(status));
        assert!(client.reads_eof());
    }
}

#[test]
fn job_status_updates_are_served_when_clients_hold_all_descriptors() {
    // Of 82 descriptors, 13 are for the scheduler itself, 18 for the admin interface and 12 for connections
    // to workers. Of the other 39, 9 are reserved for job status updates, so 30 jobs use up the rest.
    let scheduler = Scheduler::with_workers("full", 8);
    let (accepted_tx, accepted_rx) = std::sync::mpsc::channel();
    let worker_listener = scheduler.worker_listener.try_clone().unwrap();
    std::thread::spawn(move || {
        for stream in worker_listener.incoming().map_while(Result::ok) {
            let mut peer = Connection::new(stream);
            let accepted_tx = accepted_tx.clone();
            std::thread::spawn(move || {
                while peer.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                    peer.read_message();
                    peer.send(ACCEPTED);
                    let _ = accepted_tx.send(()); // fails once the test is over
                }
            });
        }
    });
    let mut clients = Vec::new();
    for n in 0..30 {
        let mut client = scheduler.connect();
        client.send_job(&format!("t{n}"));
        accepted_rx.recv_timeout(TEST_TIMEOUT).unwrap();
        clients.push(client);
    }
    let mut excess_client = scheduler.connect();
    excess_client.send_job("t30");
    assert_eq!(excess_client.read_message().line, "HTTP/1.1 503 Service Unavailable");
    // The test cannot tell which of the workers accepted the job `t0`.
    for worker in 1..=8 {
        scheduler
            .send_job_status(&format!(r#"{{"id":"t0","from":"s-{worker}","state":"done","result":"r"}}"#));
    }
    assert_eq!(clients[0].read_message().line, "HTTP/1.1 200 OK");
}

#[test]
fn admin_interface_answers_despite_silent_connections() {
    let mut scheduler = Scheduler::start("admin-metrics");
    let silent: Vec<_> = (0..40).map(|_| TcpStream::connect(scheduler.admin_addr).unwrap()).collect();
    assert!(scheduler.admin_accepts("GET /healthcheck"));
    let cases = [("GET /nothing", "404"), ("GET /healthcheck/fail", "405"), ("nonsense", "400")];
    cases
        .into_iter()
        .for_each(|(line, status)| assert_eq!(scheduler.admin_request(line).status, status, "{line}"));
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    let served_job = r#""served":{"render":1}"#;
    let job_in_flight = r#""attempts":1,"in_flight":1,"workers_known":1"#;
    assert!(scheduler.admin_request("GET /stats").body.contains(job_in_flight));
    worker.send(ACCEPTED);
    scheduler.finish_job("t1");
    client.read_message();
    assert!(scheduler.admin_request("GET /stats").body.contains(served_job));
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reloaded: discovery=");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("admin-metrics.json");
    std::fs::write(&path, "{").unwrap();
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reload failed: error=");
    let reload_counts =
        r#""in_flight":0,"workers_known":1,"workers_excluded":0,"reloads_ok":1,"reloads_failed":1"#;
    assert!(scheduler.admin_request("GET /stats").body.contains(reload_counts));
    drop(silent);
}

#[test]
fn silent_and_endless_clients_are_disconnected() {
    let scheduler = Scheduler::start("misbehaving-clients");
    let _watch = scheduler.confirm_list();
    let mut silent = scheduler.connect();
    let mut partial = scheduler.connect();
    let mut endless = scheduler.connect();
    partial.send("POST /render HTTP/1.1\r\nContent-Le");
    endless.send("nonsense\r\n\r\n");
    let mut flood = endless.reader.get_ref().try_clone().unwrap();
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut client = scheduler.connect();
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    assert_eq!(endless.read_message().line, "HTTP/1.1 400 Bad Request");
    assert_eq!(partial.read_message().line, "HTTP/1.1 408 Request Timeout");
    assert!(partial.reads_eof() && silent.reads_eof());
    sender.join().unwrap();
    // A client that is idle between two requests stays connected.
    client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
}

#[test]
fn disabled_worker_gets_no_jobs_until_enabled() {
    let mut scheduler = Scheduler::start("disabled");
    let mut client = scheduler.connect();
    // No worker has the id `s-9`. A repeated request to disable a worker is accepted.
    assert!(
        !scheduler.admin_accepts("PUT /workers/s-9/maint")
            && !scheduler.admin_accepts("PUT /workers/s-9/ready")
    );
    assert!(
        scheduler.admin_accepts("PUT /workers/s-1/maint")
            && scheduler.admin_accepts("PUT /workers/s-1/maint")
    );
    assert!(scheduler.admin_request("GET /stats").body.contains(r#""workers_known":1,"workers_excluded":1"#));
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reloaded: discovery=");
    client.send_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(scheduler.admin_accepts("PUT /workers/s-1/ready"));
    assert!(scheduler.admin_request("GET /stats").body.contains(r#""workers_excluded":0"#));
    client.send_job("t2");
    assert!(scheduler.accept_worker_connection().read_message().head.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn operator_drain_closes_client_connections_until_ended() {
    let mut scheduler = Scheduler::start("operator-drain");
    let _watch = scheduler.confirm_list();
    let mut idle = scheduler.connect();
    let mut client = scheduler.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.read_message();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    assert!(
        scheduler.admin_accepts("PUT /healthcheck/fail") && scheduler.admin_accepts("PUT /healthcheck/fail")
    );
    assert!(!scheduler.is_ready() && !scheduler.admin_accepts("GET /healthcheck"));
    assert!(idle.reads_eof()); // idle connections are closed after a while; jobs in flight continue
    let mut rejected = scheduler.connect();
    rejected.send_job("t2");
    let Message { line, head, .. } = rejected.read_message();
    assert!(
        line == "HTTP/1.1 503 Service Unavailable"
            && head.contains("Connection: close\r\n")
            && rejected.reads_eof()
    );
    scheduler.finish_job("t1");
    let Message { line, head, .. } = client.read_message();
    assert!(line == "HTTP/1.1 200 OK" && head.contains("Connection: close\r\n"));
    assert!(scheduler
        .admin_request("GET /stats")
        .body
        .contains(r#""served":{"render":1},"refused":{"render":1}"#));
    assert!(
        scheduler.admin_accepts("PUT /healthcheck/ok")
            && scheduler.is_ready()
            && scheduler.admin_accepts("GET /healthcheck")
    );
    assert!(scheduler.process.try_wait().unwrap().is_none());
    let mut later_client = scheduler.connect();
    later_client.send_job("t3");
    assert!(worker.read_message().head.contains("X-Trace-Id: t3\r\n"));
}

#[test]
fn sigterm_waits_for_jobs_in_flight() {
    let mut scheduler = Scheduler::start("drained");
    let _watch = scheduler.confirm_list();
    let mut client = scheduler.connect();
    let mut up_client = scheduler.connect();
    up_client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up_client.read_message().line, "HTTP/1.1 200 OK");
    client.send_job("t1");
    let mut worker = Some(scheduler.accept_worker_connection());
    worker.as_mut().unwrap().read_message();
    worker.as_mut().unwrap().send(ACCEPTED);
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    up_client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up_client.read_message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(up_client.reads_eof());
    scheduler.finish_job("t1");
    let Message { line, head, body } = client.read_message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    // The connection stays open: in a rolling restart, no other scheduler may be ready for the client yet.
    assert!(!head.contains("Connection: close\r\n"));
    // A new job that does not end is answered before a planned restart would kill the process, long before
    // the job's deadline.
    client.send_job("t2");
    assert_eq!(scheduler.next_request(&mut worker).read_message().line, "POST /render/x?y=1 HTTP/1.1");
    let Message { line, head, .. } = client.read_message();
    // The job may have run, but its class is repeatable, so both statuses are correct.
    assert!(["HTTP/1.1 503 Service Unavailable", "HTTP/1.1 504 Gateway Timeout"].contains(&line.as_str()));
    assert!(head.contains("Connection: close\r\n") && client.reads_eof());
    assert!(scheduler.process.wait().unwrap().success());
}

#[test]
fn bad_configuration_fails_with_a_one_line_error() {
    let run = |args: &[&str]| Command::new(env!("CARGO_BIN_EXE_postusher")).args(args).output().unwrap();
    for command in ["serve", "check-config"] {
        let output = run(&[command, "--config", "no/such/file"]);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && error.lines().count() == 1, "{error}");
        assert!(error.contains("no/such/file"));
    }
    let valid_config = write_config("good", ([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into(), 1);
    assert!(run(&["check-config", "--config", valid_config.to_str().unwrap()]).status.success());
    assert!(String::from_utf8(run(&["version"]).stdout).unwrap().starts_with("postusher "));
}
