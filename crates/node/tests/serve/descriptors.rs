//! Clients that hold descriptors while others need them.

use super::*;
use std::time::Instant;

/// Number of clients that stop within a request: more than the scheduler has connections for.
const PARTIAL_CLIENTS: usize = 60;
/// Time within which an ordinary job must be accepted beside them, far less than the time after which they would
/// get an error by themselves.
const MAX_DELAY: Duration = Duration::from_millis(1_000);

#[test]
fn partial_requests_make_room_for_complete_ones_when_descriptors_run_short() {
    // Guards against jobs that wait in the accept queue until their deadline while clients that stopped within a
    // request hold all connections.
    let scheduler = Scheduler::start("partial-descriptors");
    let mut known_client = scheduler.connect();
    known_client.send("GET /up HTTP/1.1\r\n\r\n");
    known_client.read_message();
    let mut partial_clients = Vec::new();
    for _ in 0..PARTIAL_CLIENTS {
        let mut client = scheduler.connect();
        client.send("POST /render/x HTTP/1.1\r\nX-Trace-Id: partial\r\nContent-Length: 10\r\n\r\nab");
        partial_clients.push(client);
    }
    let sent_at = Instant::now();
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    assert!(sent_at.elapsed() < MAX_DELAY, "the job was accepted after {:?}", sent_at.elapsed());
    worker.send(ACCEPTED);
    scheduler.finish_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    let first = partial_clients[0].read_message().line;
    assert_eq!(first, "HTTP/1.1 503 Service Unavailable", "the one without a byte for the longest time");
    // A client that had an answer keeps its connection.
    known_client.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(known_client.read_message().line, "HTTP/1.1 200 OK");
}
