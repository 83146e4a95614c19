//! Clients that disconnect, and what is under way for them just then.

use super::*;

/// Waits until so many requests are under way.
pub fn in_flight(scheduler: &Scheduler, n: usize) {
    while !scheduler.admin_request("GET /stats").body.contains(&format!(r#""in_flight":{n},"#)) {}
}

#[test]
fn a_client_that_sends_much_behind_its_request_and_leaves_is_seen_to_leave() {
    // Nothing is read while the buffer is full, and the end of the connection stands behind what is not read.
    let scheduler = Scheduler::start("sends-much");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"running","share":0.1}"#);
    // More than the scheduler reads ahead, and no more than the system takes in besides: then the end comes through.
    for n in 0..2 {
        client.send(&format!("POST /render HTTP/1.1\r\nX-Trace-Id: p{n}\r\nContent-Length: 60000\r\n\r\n"));
        client.send(&"x".repeat(60_000));
    }
    drop(client);
    let mut kept = Some(worker);
    assert_eq!(scheduler.next_request(&mut kept).message().line, "DELETE /jobs/t1 HTTP/1.1");
    in_flight(&scheduler, 0);
    // None of what stood behind it was begun.
    let mut next = scheduler.connect();
    next.send_job("t2");
    assert!(scheduler.next_request(&mut kept).message().head.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn a_result_that_crosses_the_cancellation_of_its_job_disturbs_nobody() {
    let scheduler = Scheduler::start("withdrawal-crosses");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = Some(scheduler.accept_worker_connection());
    worker.as_mut().unwrap().message();
    worker.as_mut().unwrap().send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    drop(client);
    assert_eq!(scheduler.next_request(&mut worker).message().line, "DELETE /jobs/t1 HTTP/1.1");
    scheduler.finish_job("t1");
    worker.as_mut().unwrap().send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    in_flight(&scheduler, 0);
    // The id may come again.
    let mut again = scheduler.connect();
    again.send_job("t1");
    assert!(scheduler.next_request(&mut worker).message().head.contains("X-Trace-Id: t1\r\n"));
}

#[test]
fn a_client_that_leaves_before_its_attempt_fails_gets_no_further_one() {
    let scheduler = Scheduler::with_workers("leaves-before-retry", 2);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-2","state":"started"}"#);
    drop(client);
    in_flight(&scheduler, 0);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"lost"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-2","state":"lost"}"#);
    let mut next = scheduler.connect();
    next.send_job("t2");
    let mut kept = Some(worker);
    loop {
        let Message { line, head, .. } = scheduler.next_request(&mut kept).message();
        if head.contains("X-Trace-Id: t2\r\n") {
            break;
        }
        assert_eq!(line, "DELETE /jobs/t1 HTTP/1.1");
    }
}

#[test]
fn idle_clients_that_hold_all_descriptors_do_not_keep_discovery_from_being_called() {
    let scheduler = Scheduler::start("crowded");
    let mut watch = scheduler.confirm_list();
    // 82 descriptors, 39 of them for connections from outside.
    let mut idle: Vec<Connection> = (0..39).map(|_| scheduler.connect()).collect();
    for client in &mut idle {
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.message().line, "HTTP/1.1 200 OK");
    }
    let _more: Vec<Connection> = (0..39).map(|_| scheduler.connect()).collect();
    for _ in 0..3 {
        drop(watch);
        watch = scheduler.accept_discovery_connection();
        assert!(watch.message().line.contains("after=41&wait_ms=0 "));
    }
    watch.send_list(r#"{"version":42,"full":false,"servers":[]}"#);
    assert!(watch.message().line.contains("after=42&"));
    // And a new client's job finds its way all the same.
    let mut client = scheduler.connect();
    client.send_job("t1");
    scheduler.accept_worker_connection().message();
}
