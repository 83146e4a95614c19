//! The program as a whole, on loopback: the tests play a client, its workers and discovery.

use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

mod closes;
mod connection;
mod discovery;
mod golden;
mod harness;
mod large_lists;
mod late_connections;
mod lists;
mod members;
mod shutdown;
mod upgrades;
mod waiting;
mod workers;

use connection::{Connection, Message, SlowListener};
use harness::{config, listen, Scheduler, ACCEPTED, TEST_TIMEOUT};

#[test]
fn a_job_is_forwarded_and_its_result_served_and_connections_are_used_again() {
    let scheduler = Scheduler::start("served");
    let mut client = scheduler.connect();
    let mut kept = None;
    let mut used = Vec::new();
    // A connection has to be quiet for a moment before it is used again.
    for id in (1..).map(|n| format!("t{n}")) {
        client.send_job(&id);
        let worker = scheduler.next_request(&mut kept);
        let Message { line, head, body } = worker.message();
        assert_eq!((line.as_str(), body.as_str()), ("POST /render/x?y=1 HTTP/1.1", "ab"));
        assert!(head.contains(&format!("X-Trace-Id: {id}\r\n")) && head.contains("X-Expires-In: "));
        worker.send(ACCEPTED);
        let done = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"made for {id}"}}"#);
        scheduler.send_job_status(&done);
        let Message { line, body, .. } = client.message();
        assert_eq!((line.as_str(), body), ("HTTP/1.1 200 OK", format!("made for {id}")));
        scheduler.send_job_status(&done); // late and repeated: answered and dropped
        let from = worker.reader.get_ref().peer_addr().unwrap();
        if used.contains(&from) {
            return;
        }
        used.push(from);
        std::thread::sleep(Duration::from_millis(30));
        assert!(used.len() < 100, "no connection is used again");
    }
}

#[test]
fn a_client_that_leaves_has_its_job_cancelled() {
    let scheduler = Scheduler::start("withdrawn");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"running","share":0.1}"#);
    drop(client);
    assert_eq!(worker.message().line, "DELETE /jobs/t1 HTTP/1.1");
}

#[test]
fn a_job_that_its_worker_does_not_accept_goes_to_another() {
    let scheduler = Scheduler::with_workers("silent", 2);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut silent = scheduler.accept_worker_connection();
    silent.message();
    let mut other = scheduler.accept_worker_connection();
    assert!(other.message().head.contains("X-Trace-Id: t1\r\n") && silent.reaches_end());
    other.send(ACCEPTED);
    (1..=2).for_each(|n| {
        scheduler.send_job_status(&format!(r#"{{"id":"t1","from":"s-{n}","state":"done","result":"r"}}"#))
    });
    assert_eq!(client.message().line, "HTTP/1.1 200 OK");
}

#[test]
fn a_kept_connection_that_breaks_under_a_job_is_replaced_by_a_new_one() {
    let scheduler = Scheduler::start("stale");
    let mut client = scheduler.connect();
    let mut kept = None;
    let mut used = Vec::new();
    for id in (1..).map(|n| format!("t{n}")) {
        client.send_job(&id);
        let mut worker = scheduler.next_request(&mut kept);
        let from = worker.reader.get_ref().peer_addr().unwrap();
        let again = used.contains(&from);
        if again {
            worker.message(); // it has the job, and ends without a word
            kept = None;
            worker = scheduler.next_request(&mut kept);
        }
        assert!(worker.message().head.contains(&format!("X-Trace-Id: {id}\r\n")));
        worker.send(ACCEPTED);
        scheduler.send_job_status(&format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"r"}}"#));
        assert_eq!(client.message().line, "HTTP/1.1 200 OK");
        if again {
            return;
        }
        used.push(from);
        std::thread::sleep(Duration::from_millis(30));
        assert!(used.len() < 100, "no connection is used again");
    }
}

#[test]
fn a_worker_that_refuses_connections_leads_to_a_rejection_and_bad_input_to_its_status() {
    let mut scheduler = Scheduler::start("refused");
    scheduler.worker_listener = listen(); // the one of the list is closed now
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    let cases = [
        ("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Length: 99999\r\n\r\n", "413"),
        ("POST /other HTTP/1.1\r\nX-Trace-Id: t2\r\n\r\n", "404"),
        ("nonsense\r\n\r\n", "400"),
    ];
    for (text, status) in cases {
        let mut client = scheduler.connect();
        client.send(text);
        assert_eq!(client.message().line.split(' ').nth(1), Some(status));
        assert!(client.reaches_end());
    }
}

#[test]
fn job_status_updates_come_through_when_clients_hold_all_other_descriptors() {
    // 82 descriptors: 13 of its own, 18 for operators, 12 for workers, 9 of the other 39 for job status updates, so that 30 jobs fill
    // the rest.
    let scheduler = Scheduler::with_workers("full", 8);
    let (took, taken) = std::sync::mpsc::channel();
    let worker_listener = scheduler.worker_listener.try_clone().unwrap();
    std::thread::spawn(move || {
        for stream in worker_listener.incoming().map_while(Result::ok) {
            let mut peer = Connection::new(stream);
            let took = took.clone();
            std::thread::spawn(move || {
                while peer.reader.fill_buf().is_ok_and(|b| !b.is_empty()) {
                    peer.message();
                    peer.send(ACCEPTED);
                    let _ = took.send(()); // the test may be over
                }
            });
        }
    });
    let mut clients = Vec::new();
    for n in 0..30 {
        let mut client = scheduler.connect();
        client.send_job(&format!("t{n}"));
        taken.recv_timeout(TEST_TIMEOUT).unwrap();
        clients.push(client);
    }
    let mut one_more = scheduler.connect();
    one_more.send_job("t30");
    assert_eq!(one_more.message().line, "HTTP/1.1 503 Service Unavailable");
    for worker in 1..=8 {
        scheduler
            .send_job_status(&format!(r#"{{"id":"t0","from":"s-{worker}","state":"done","result":"r"}}"#));
    }
    assert_eq!(clients[0].message().line, "HTTP/1.1 200 OK");
}

#[test]
fn operators_get_metrics_and_errors_while_others_hold_silent_connections() {
    let mut scheduler = Scheduler::start("figures");
    let silent: Vec<_> = (0..40).map(|_| TcpStream::connect(scheduler.admin_addr).unwrap()).collect();
    assert!(scheduler.admin_accepts("GET /healthcheck"));
    let cases = [("GET /nothing", "404"), ("GET /healthcheck/fail", "405"), ("nonsense", "400")];
    cases
        .into_iter()
        .for_each(|(line, status)| assert_eq!(scheduler.admin_request(line).status, status, "{line}"));
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    let served = r#""served":{"render":1}"#;
    let flying = r#""attempts":1,"in_flight":1,"workers_known":1"#;
    assert!(scheduler.admin_request("GET /stats").body.contains(flying));
    worker.send(ACCEPTED);
    scheduler.finish_job("t1");
    client.message();
    assert!(scheduler.admin_request("GET /stats").body.contains(served));
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reloaded: discovery=");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("figures.json");
    std::fs::write(&path, "{").unwrap();
    scheduler.signal("-HUP");
    scheduler.wait_for_log("configuration reload failed: error=");
    let last = r#""in_flight":0,"workers_known":1,"workers_excluded":0,"reloads_ok":1,"reloads_failed":1"#;
    assert!(scheduler.admin_request("GET /stats").body.contains(last));
    drop(silent);
}

#[test]
fn silent_and_endless_clients_are_closed_and_keep_nobody_waiting() {
    let scheduler = Scheduler::start("rude");
    let _watch = scheduler.confirm_list();
    let mut silent = scheduler.connect();
    let mut half = scheduler.connect();
    let mut endless = scheduler.connect();
    half.send("POST /render HTTP/1.1\r\nContent-Le");
    endless.send("nonsense\r\n\r\n");
    let mut flood = endless.reader.get_ref().try_clone().unwrap();
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut good = scheduler.connect();
    good.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(good.message().line, "HTTP/1.1 200 OK");
    assert_eq!(endless.message().line, "HTTP/1.1 400 Bad Request");
    assert_eq!(half.message().line, "HTTP/1.1 408 Request Timeout");
    assert!(half.reaches_end() && silent.reaches_end());
    sender.join().unwrap();
    // One that stands idle between its requests may stay.
    good.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(good.message().line, "HTTP/1.1 200 OK");
}

#[test]
fn a_disabled_worker_gets_nothing_until_it_is_enabled() {
    let mut scheduler = Scheduler::start("taken-out");
    let mut client = scheduler.connect();
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
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(scheduler.admin_accepts("PUT /workers/s-1/ready"));
    assert!(scheduler.admin_request("GET /stats").body.contains(r#""workers_excluded":0"#));
    client.send_job("t2");
    assert!(scheduler.accept_worker_connection().message().head.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn an_operator_drain_sends_clients_away_step_by_step_and_is_undone() {
    let mut scheduler = Scheduler::start("drained-by-call");
    let _watch = scheduler.confirm_list();
    let mut idle = scheduler.connect();
    let mut client = scheduler.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.message();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    assert!(
        scheduler.admin_accepts("PUT /healthcheck/fail") && scheduler.admin_accepts("PUT /healthcheck/fail")
    );
    assert!(!scheduler.is_ready() && !scheduler.admin_accepts("GET /healthcheck"));
    assert!(idle.reaches_end()); // in the end; what is under way goes on
    let mut late = scheduler.connect();
    late.send_job("t2");
    let Message { line, head, .. } = late.message();
    assert!(
        line == "HTTP/1.1 503 Service Unavailable"
            && head.contains("Connection: close\r\n")
            && late.reaches_end()
    );
    scheduler.finish_job("t1");
    let Message { line, head, .. } = client.message();
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
    late = scheduler.connect();
    late.send_job("t3");
    assert!(worker.message().head.contains("X-Trace-Id: t3\r\n"));
}

#[test]
fn sigterm_lets_work_end_before_the_program_does() {
    let mut scheduler = Scheduler::start("drained");
    let _watch = scheduler.confirm_list();
    let mut client = scheduler.connect();
    let mut up = scheduler.connect();
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().line, "HTTP/1.1 200 OK");
    client.send_job("t1");
    let mut worker = Some(scheduler.accept_worker_connection());
    worker.as_mut().unwrap().message();
    worker.as_mut().unwrap().send(ACCEPTED);
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(up.reaches_end());
    scheduler.finish_job("t1");
    let Message { line, head, body } = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    // For a while it may be that no other scheduler takes its clients: their connections stay open.
    assert!(!head.contains("Connection: close\r\n"));
    // What comes now and finds no end has an answer before the process is killed, long before its deadline.
    client.send_job("t2");
    assert_eq!(scheduler.next_request(&mut worker).message().line, "POST /render/x?y=1 HTTP/1.1");
    let Message { line, head, .. } = client.message();
    // It may have run, and may be repeated: both are true of it.
    assert!(["HTTP/1.1 503 Service Unavailable", "HTTP/1.1 504 Gateway Timeout"].contains(&line.as_str()));
    assert!(head.contains("Connection: close\r\n") && client.reaches_end());
    assert!(scheduler.process.wait().unwrap().success());
}

#[test]
fn a_bad_configuration_is_one_line_and_a_failure() {
    let run = |args: &[&str]| Command::new(env!("CARGO_BIN_EXE_postusher")).args(args).output().unwrap();
    for command in ["serve", "check-config"] {
        let output = run(&[command, "--config", "no/such/file"]);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && error.lines().count() == 1, "{error}");
        assert!(error.contains("no/such/file"));
    }
    let good = config("good", ([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into(), 1);
    assert!(run(&["check-config", "--config", good.to_str().unwrap()]).status.success());
    assert!(String::from_utf8(run(&["version"]).stdout).unwrap().starts_with("postusher "));
}
