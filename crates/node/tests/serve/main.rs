//! The program as a whole, on loopback: a client, one target and discovery are played by hand.

use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

mod closes;
mod discovery;
mod golden;
mod large_lists;
mod late_connections;
mod lists;
mod members;
mod rig;
mod shutdown;
mod upgrades;
mod waiting;
mod workers;

use rig::*;

#[test]
fn a_job_is_forwarded_and_its_result_served_and_connections_are_used_again() {
    let s = Scheduler::start("served");
    let (mut client, mut kept) = (s.connect(), None);
    let mut used = Vec::new();
    // A connection has to be quiet for a moment before it is used again.
    for id in (1..).map(|n| format!("t{n}")) {
        client.job(&id);
        let target = s.next_request(&mut kept);
        let (line, head, body) = target.message();
        assert_eq!((line.as_str(), body.as_str()), ("POST /render/x?y=1 HTTP/1.1", "ab"));
        assert!(head.contains(&format!("X-Trace-Id: {id}\r\n")) && head.contains("X-Expires-In: "));
        target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        let done = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"made for {id}"}}"#);
        s.news(&done);
        let (line, _, body) = client.message();
        assert_eq!((line.as_str(), body), ("HTTP/1.1 200 OK", format!("made for {id}")));
        s.news(&done); // late and repeated: answered and dropped
        let from = target.0.get_ref().peer_addr().unwrap();
        if used.contains(&from) {
            return;
        }
        used.push(from);
        std::thread::sleep(Duration::from_millis(30));
        assert!(used.len() < 100, "no connection is used again");
    }
}

#[test]
fn a_client_that_leaves_has_its_job_withdrawn() {
    let s = Scheduler::start("withdrawn");
    let mut client = s.connect();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    s.news(r#"{"id":"t1","from":"s-1","state":"running","share":0.1}"#);
    drop(client);
    assert_eq!(target.message().0, "DELETE /jobs/t1 HTTP/1.1");
}

#[test]
fn a_job_that_its_target_does_not_take_goes_to_another() {
    let s = Scheduler::with("silent", 2);
    let mut client = s.connect();
    client.job("t1");
    let mut silent = Peer::new(s.target.accept().unwrap().0);
    silent.message();
    let mut other = Peer::new(s.target.accept().unwrap().0);
    assert!(other.message().1.contains("X-Trace-Id: t1\r\n") && silent.ends());
    other.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    (1..=2).for_each(|n| s.news(&format!(r#"{{"id":"t1","from":"s-{n}","state":"done","result":"r"}}"#)));
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
}

#[test]
fn a_kept_connection_that_breaks_under_a_job_is_replaced_by_a_new_one() {
    let s = Scheduler::start("stale");
    let (mut client, mut kept, mut used) = (s.connect(), None, Vec::new());
    for id in (1..).map(|n| format!("t{n}")) {
        client.job(&id);
        let mut target = s.next_request(&mut kept);
        let from = target.0.get_ref().peer_addr().unwrap();
        let again = used.contains(&from);
        if again {
            target.message(); // it has the job, and ends without a word
            kept = None;
            target = s.next_request(&mut kept);
        }
        assert!(target.message().1.contains(&format!("X-Trace-Id: {id}\r\n")));
        target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        s.news(&format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"r"}}"#));
        assert_eq!(client.message().0, "HTTP/1.1 200 OK");
        if again {
            return;
        }
        used.push(from);
        std::thread::sleep(Duration::from_millis(30));
        assert!(used.len() < 100, "no connection is used again");
    }
}

#[test]
fn a_target_that_refuses_connections_leads_to_a_refusal_and_bad_input_to_its_status() {
    let mut s = Scheduler::start("refused");
    s.target = TcpListener::bind("127.0.0.1:0").unwrap(); // the one of the list is closed now
    let mut client = s.connect();
    client.job("t1");
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    let cases = [
        ("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Length: 99999\r\n\r\n", "413"),
        ("POST /other HTTP/1.1\r\nX-Trace-Id: t2\r\n\r\n", "404"),
        ("nonsense\r\n\r\n", "400"),
    ];
    for (text, status) in cases {
        let mut client = s.connect();
        client.send(text);
        assert_eq!(client.message().0.split(' ').nth(1), Some(status));
        assert!(client.ends());
    }
}

#[test]
fn news_come_through_when_clients_hold_all_other_descriptors() {
    // 82 descriptors: 13 of its own, 18 for operators, 12 for targets, 9 of the other 39 for news, so that 30 jobs fill the rest.
    let s = Scheduler::with("full", 8);
    let (took, taken) = std::sync::mpsc::channel();
    let target = s.target.try_clone().unwrap();
    std::thread::spawn(move || {
        for stream in target.incoming().map_while(Result::ok) {
            let (mut peer, took) = (Peer::new(stream), took.clone());
            std::thread::spawn(move || {
                while peer.0.fill_buf().is_ok_and(|b| !b.is_empty()) {
                    peer.message();
                    peer.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                    let _ = took.send(()); // the test may be over
                }
            });
        }
    });
    let mut clients = Vec::new();
    for n in 0..30 {
        let mut client = s.connect();
        client.job(&format!("t{n}"));
        taken.recv_timeout(HANG).unwrap();
        clients.push(client);
    }
    let mut one_more = s.connect();
    one_more.job("t30");
    assert_eq!(one_more.message().0, "HTTP/1.1 503 Service Unavailable");
    for target in 1..=8 {
        s.news(&format!(r#"{{"id":"t0","from":"s-{target}","state":"done","result":"r"}}"#));
    }
    assert_eq!(clients[0].message().0, "HTTP/1.1 200 OK");
}

#[test]
fn operators_get_figures_and_a_no_to_what_is_none_whoever_else_says_nothing() {
    let mut s = Scheduler::start("figures");
    let silent: Vec<_> = (0..40).map(|_| TcpStream::connect(s.mgmt).unwrap()).collect();
    assert!(s.says_yes("GET /healthcheck"));
    let cases = [("GET /nothing", "404"), ("GET /healthcheck/fail", "405"), ("nonsense", "400")];
    cases.into_iter().for_each(|(line, status)| assert_eq!(s.call(line).0, status, "{line}"));
    let mut client = s.connect();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    let (served, flying) = (r#""served":{"render":1}"#, r#""attempts":1,"in_flight":1,"workers_known":1"#);
    assert!(s.call("GET /stats").1.contains(flying));
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    client.message();
    assert!(s.call("GET /stats").1.contains(served));
    s.signal("-HUP");
    s.logs("configuration reloaded: discovery=");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("figures.json");
    std::fs::write(&path, "{").unwrap();
    s.signal("-HUP");
    s.logs("configuration reload failed: error=");
    let last = r#""in_flight":0,"workers_known":1,"workers_excluded":0,"reloads_ok":1,"reloads_failed":1"#;
    assert!(s.call("GET /stats").1.contains(last));
    drop(silent);
}

#[test]
fn silent_and_endless_clients_are_closed_and_keep_nobody_waiting() {
    let s = Scheduler::start("rude");
    let _watch = s.listed();
    let (mut silent, mut half, mut endless) = (s.connect(), s.connect(), s.connect());
    half.send("POST /render HTTP/1.1\r\nContent-Le");
    endless.send("nonsense\r\n\r\n");
    let mut flood = endless.0.get_ref().try_clone().unwrap();
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut good = s.connect();
    good.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(good.message().0, "HTTP/1.1 200 OK");
    assert_eq!(endless.message().0, "HTTP/1.1 400 Bad Request");
    assert_eq!(half.message().0, "HTTP/1.1 408 Request Timeout");
    assert!(half.ends() && silent.ends());
    sender.join().unwrap();
    // One that stands idle between its requests may stay.
    good.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(good.message().0, "HTTP/1.1 200 OK");
}

#[test]
fn a_target_taken_out_gets_nothing_until_it_is_taken_back() {
    let mut s = Scheduler::start("taken-out");
    let mut client = s.connect();
    assert!(!s.says_yes("PUT /workers/s-9/maint") && !s.says_yes("PUT /workers/s-9/ready"));
    assert!(s.says_yes("PUT /workers/s-1/maint") && s.says_yes("PUT /workers/s-1/maint"));
    assert!(s.call("GET /stats").1.contains(r#""workers_known":1,"workers_excluded":1"#));
    s.signal("-HUP");
    s.logs("configuration reloaded: discovery=");
    client.job("t1");
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    assert!(s.says_yes("PUT /workers/s-1/ready"));
    assert!(s.call("GET /stats").1.contains(r#""workers_excluded":0"#));
    client.job("t2");
    assert!(Peer::new(s.target.accept().unwrap().0).message().1.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn a_drain_by_call_turns_clients_away_step_by_step_and_is_undone() {
    let mut s = Scheduler::start("drained-by-call");
    let _watch = s.listed();
    let is_up = |s: &Scheduler| {
        let mut up = s.connect();
        up.send("GET /up HTTP/1.1\r\n\r\n");
        up.message().0 == "HTTP/1.1 200 OK"
    };
    let (mut idle, mut client) = (s.connect(), s.connect());
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.message();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    assert!(s.says_yes("PUT /healthcheck/fail") && s.says_yes("PUT /healthcheck/fail"));
    assert!(!is_up(&s) && !s.says_yes("GET /healthcheck"));
    assert!(idle.ends()); // in the end; what is under way goes on
    let mut late = s.connect();
    late.job("t2");
    let (line, head, _) = late.message();
    assert!(
        line == "HTTP/1.1 503 Service Unavailable" && head.contains("Connection: close\r\n") && late.ends()
    );
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, _) = client.message();
    assert!(line == "HTTP/1.1 200 OK" && head.contains("Connection: close\r\n"));
    assert!(s.call("GET /stats").1.contains(r#""served":{"render":1},"refused":{"render":1}"#));
    assert!(s.says_yes("PUT /healthcheck/ok") && is_up(&s) && s.says_yes("GET /healthcheck"));
    assert!(s.process.try_wait().unwrap().is_none());
    late = s.connect();
    late.job("t3");
    assert!(target.message().1.contains("X-Trace-Id: t3\r\n"));
}

#[test]
fn sigterm_lets_work_end_before_the_program_does() {
    let mut s = Scheduler::start("drained");
    let _watch = s.listed();
    let (mut client, mut up) = (s.connect(), s.connect());
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().0, "HTTP/1.1 200 OK");
    client.job("t1");
    let mut target = Some(Peer::new(s.target.accept().unwrap().0));
    target.as_mut().unwrap().message();
    target.as_mut().unwrap().send(TAKEN);
    s.signal("-TERM");
    s.logs("shutdown started: unanswered_jobs=1");
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().0, "HTTP/1.1 503 Service Unavailable");
    assert!(up.ends());
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, body) = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    // For a while it may be that no other scheduler takes its clients: their connections stay open.
    assert!(!head.contains("Connection: close\r\n"));
    // What comes now and finds no end has an answer before the process is killed, long before its deadline.
    client.job("t2");
    assert_eq!(s.next_request(&mut target).message().0, "POST /render/x?y=1 HTTP/1.1");
    let (line, head, _) = client.message();
    // It may have run, and may be repeated: both are true of it.
    assert!(["HTTP/1.1 503 Service Unavailable", "HTTP/1.1 504 Gateway Timeout"].contains(&line.as_str()));
    assert!(head.contains("Connection: close\r\n") && client.ends());
    assert!(s.process.wait().unwrap().success());
}

const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

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
