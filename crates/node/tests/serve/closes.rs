//! Clients that disconnect while one of their jobs is in flight, and clients that stay idle.

use super::*;

/// Waits until the scheduler reports this number of requests in flight.
pub fn wait_for_in_flight(scheduler: &Scheduler, count: usize) {
    while !scheduler.admin_request("GET /stats").body.contains(&format!(r#""in_flight":{count},"#)) {}
}

#[test]
fn disconnect_behind_unread_pipelined_data_is_detected() {
    // While the scheduler's read buffer is full, it reads nothing, so it cannot detect the disconnect by a
    // read: the end of the connection follows the unread data.
    let scheduler = Scheduler::start("unread-pipelined");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"running","share":0.1}"#);
    // More data than the scheduler reads ahead, but little enough that the socket buffers hold the rest and
    // the end of the connection arrives.
    for n in 0..2 {
        client.send(&format!("POST /render HTTP/1.1\r\nX-Trace-Id: p{n}\r\nContent-Length: 60000\r\n\r\n"));
        client.send(&"x".repeat(60_000));
    }
    drop(client);
    let mut keep_alive = Some(worker);
    assert_eq!(scheduler.next_request(&mut keep_alive).read_message().line, "DELETE /jobs/t1 HTTP/1.1");
    wait_for_in_flight(&scheduler, 0);
    // Neither of the pipelined requests has reached the worker.
    let mut next_client = scheduler.connect();
    next_client.send_job("t2");
    assert!(scheduler.next_request(&mut keep_alive).read_message().head.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn result_sent_before_the_cancellation_arrives_is_ignored() {
    let scheduler = Scheduler::start("cancel-crosses");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = Some(scheduler.accept_worker_connection());
    worker.as_mut().unwrap().read_message();
    worker.as_mut().unwrap().send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    drop(client);
    assert_eq!(scheduler.next_request(&mut worker).read_message().line, "DELETE /jobs/t1 HTTP/1.1");
    scheduler.finish_job("t1");
    worker.as_mut().unwrap().send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    wait_for_in_flight(&scheduler, 0);
    // The trace id of a cancelled job may be used again.
    let mut resubmitter = scheduler.connect();
    resubmitter.send_job("t1");
    assert!(scheduler.next_request(&mut worker).read_message().head.contains("X-Trace-Id: t1\r\n"));
}

#[test]
fn job_of_a_disconnected_client_is_not_retried() {
    let scheduler = Scheduler::with_workers("disconnect-before-retry", 2);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    // Both workers have the same address: the test cannot tell which one has the job, so it reports for each.
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-2","state":"started"}"#);
    drop(client);
    wait_for_in_flight(&scheduler, 0);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"lost"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-2","state":"lost"}"#);
    let mut next_client = scheduler.connect();
    next_client.send_job("t2");
    let mut keep_alive = Some(worker);
    loop {
        let Message { line, head, .. } = scheduler.next_request(&mut keep_alive).read_message();
        if head.contains("X-Trace-Id: t2\r\n") {
            break;
        }
        assert_eq!(line, "DELETE /jobs/t1 HTTP/1.1");
    }
}

#[test]
fn idle_clients_holding_all_descriptors_do_not_block_discovery_calls() {
    let scheduler = Scheduler::start("idle-clients");
    let mut watch = scheduler.confirm_list();
    // Of the 82 descriptors, 39 are for downstream connections.
    let mut idle: Vec<Connection> = (0..39).map(|_| scheduler.connect()).collect();
    for client in &mut idle {
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    }
    let _excess: Vec<Connection> = (0..39).map(|_| scheduler.connect()).collect();
    for _ in 0..3 {
        drop(watch);
        watch = scheduler.accept_discovery_connection();
        assert!(watch.read_message().line.contains("after=41&wait_ms=0 "));
    }
    watch.send_ok(r#"{"version":42,"full":false,"servers":[]}"#);
    assert!(watch.read_message().line.contains("after=42&"));
    // A new client's job is still placed.
    let mut client = scheduler.connect();
    client.send_job("t1");
    scheduler.accept_worker_connection().read_message();
}

/// A worker that reports a result and resets its connection must not take the result with it: the answer to
/// its previous update can no longer be written by the time the result is read.
#[test]
fn result_before_a_reset_of_the_workers_connection_is_served() {
    const PADDING_BYTES: usize = 60_000;
    const WARM_UP_UPDATES: usize = 100;
    let status_request = |update: &str| {
        format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{update}", update.len())
    };
    let scheduler = Scheduler::start("status-then-reset");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    let padding = "x".repeat(PADDING_BYTES);
    let mut status = scheduler.connect();
    // The system enlarges the receive window, so that both updates arrive while the process is stopped.
    for _ in 0..WARM_UP_UPDATES {
        status.send(&status_request(&format!(
            r#"{{"id":"t0","from":"s-1","state":"started","padding":"{padding}"}}"#
        )));
        assert_eq!(status.read_message().line, "HTTP/1.1 200 OK");
    }
    scheduler.signal("-STOP");
    let running =
        format!(r#"{{"id":"t1","from":"s-1","state":"running","share":0.1,"padding":"{padding}"}}"#);
    let done = format!(r#"{{"id":"t1","from":"s-1","state":"done","result":"r","padding":"{padding}"}}"#);
    for update in [running, done] {
        status.send(&status_request(&update));
    }
    std::thread::sleep(Duration::from_millis(50));
    let socket = socket2::SockRef::from(status.reader.get_ref());
    socket.set_linger(Some(Duration::ZERO)).unwrap();
    drop(status);
    scheduler.signal("-CONT");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
}
