//! The link between the two processes of an upgrade when the predecessor exits or stops reading. A test plays
//! the predecessor, so that the order of events is certain.

use super::predecessor::{migrated_job, Predecessor};
use super::*;

/// Accepts the next connection to a worker and accepts the job on it.
fn accept_job(scheduler: &Scheduler) -> Connection {
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    worker
}

/// Clients must not be lost with the link: the successor writes to the link as it adopts the first connection,
/// and the predecessor has exited by then.
#[test]
fn connections_that_arrived_before_a_failed_write_are_adopted() {
    let predecessor = Predecessor::listen(40);
    let (mut successor, link) = predecessor.start_successor("link-failed-write", &[]);
    let _watch = successor.send_complete_list();
    successor.wait_for_log("accepting clients: role=successor");
    successor.signal("-STOP");
    let mut clients = Vec::new();
    for n in 0..3 {
        let (client, accepted) = predecessor.accept_client();
        let mut client = Connection::new(client);
        client.send_job(&format!("t{n}"));
        link.migrate(accepted, None);
        clients.push(client);
    }
    drop(link);
    successor.signal("-CONT");
    successor.wait_for_log("upgrade peer exited");
    let _workers: Vec<Connection> = clients.iter().map(|_| accept_job(&successor)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        successor.finish_job(&format!("t{n}"));
        assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    }
}

/// A result must not be lost with the predecessor: it arrives at the successor, which forwards it while the
/// predecessor migrates the job, and the predecessor exits before it has read the result.
#[test]
fn result_that_the_predecessor_has_not_read_reaches_the_client() {
    let predecessor = Predecessor::listen(41);
    // Before the successor accepts clients, as it would then accept this one from the shared listener.
    let (client, accepted) = predecessor.accept_client();
    let (mut successor, link) = predecessor.start_successor("link-unread-result", &["t1"]);
    let _watch = successor.send_complete_list();
    successor.wait_for_log("accepting clients: role=successor");
    successor.finish_job("t1");
    link.migrate(accepted, Some(migrated_job("t1")));
    drop(link);
    let Message { line, body, .. } = Connection::new(client).read_message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
}

/// A predecessor that no longer reads must not stop its successor, which drops the link at some point.
#[test]
fn successor_serves_alone_when_the_predecessor_stops_reading() {
    const UPDATE_BYTES: usize = 60_000;
    const QUEUE_LIMIT_BYTES: usize = 16 * 1024 * 1024;
    let predecessor = Predecessor::listen(42);
    let (mut successor, mut link) = predecessor.start_successor("link-stuck", &["t1"]);
    let _watch = successor.send_complete_list();
    successor.wait_for_log("accepting clients: role=successor");
    let result = "x".repeat(UPDATE_BYTES);
    let update = format!(r#"{{"id":"t1","from":"s-1","state":"done","result":"{result}"}}"#);
    for _ in 0..=QUEUE_LIMIT_BYTES / UPDATE_BYTES + 10 {
        successor.send_job_status(&update);
    }
    successor.wait_for_log("upgrade link shut down: unsent_bytes=");
    successor.wait_for_log("upgrade peer exited");
    assert!(link.is_closed());
    let mut client = successor.connect();
    client.send_job("t2");
    let _worker = accept_job(&successor);
    successor.finish_job("t2");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
}

/// A request of an operator must not be lost because it arrives in one read with the end of a large state: a worker
/// that is disabled in that moment would get jobs.
#[test]
fn messages_that_arrive_with_the_end_of_a_large_state_are_handled() {
    const OPEN_JOBS: usize = 1_200;
    let predecessor = Predecessor::listen(43);
    let ids: Vec<String> = (0..OPEN_JOBS).map(|n| format!("{n:0>100}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let disable = serde_json::json!({"called": {"take_out": "s-1"}});
    let job_started = serde_json::json!({"open": "t1"});
    let (mut successor, _link) =
        predecessor.start_successor_with("link-large-state", &ids, &[disable, job_started]);
    let _watch = successor.send_complete_list();
    successor.wait_for_log("accepting clients: role=successor");
    assert!(successor.admin_request("GET /stats").body.contains(r#""workers_excluded":1"#));
    let mut duplicate = successor.connect();
    duplicate.send_job("t1");
    assert_eq!(duplicate.read_message().line, "HTTP/1.1 409 Conflict");
}
