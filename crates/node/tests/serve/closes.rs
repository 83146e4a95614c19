//! Clients that leave, and what is under way for them just then.

use super::*;

/// Waits until so many requests are under way.
pub fn in_flight(s: &Scheduler, n: usize) {
    while !s.call("GET /stats").1.contains(&format!(r#""in_flight":{n},"#)) {}
}

#[test]
fn a_client_that_sends_much_behind_its_request_and_leaves_is_seen_to_leave() {
    // Guards against: reading rests while the buffer is full, and the end of the connection stands behind what is not read.
    let s = Scheduler::start("sends-much");
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send(TAKEN);
    s.news(r#"{"id":"t1","from":"s-1","state":"running","share":0.1}"#);
    // More than the scheduler reads ahead, and no more than the system takes in besides: then the end comes through.
    for n in 0..2 {
        client.send(&format!("POST /render HTTP/1.1\r\nX-Trace-Id: p{n}\r\nContent-Length: 60000\r\n\r\n"));
        client.send(&"x".repeat(60_000));
    }
    drop(client);
    let mut kept = Some(worker);
    assert_eq!(s.next_request(&mut kept).message().0, "DELETE /jobs/t1 HTTP/1.1");
    in_flight(&s, 0);
    // None of what stood behind it was begun.
    let mut next = s.connect();
    next.job("t2");
    assert!(s.next_request(&mut kept).message().1.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn a_result_that_crosses_the_withdrawal_of_its_job_disturbs_nobody() {
    let s = Scheduler::start("withdrawal-crosses");
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Some(Peer::new(s.target.accept().unwrap().0));
    worker.as_mut().unwrap().message();
    worker.as_mut().unwrap().send(TAKEN);
    s.news(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    drop(client);
    assert_eq!(s.next_request(&mut worker).message().0, "DELETE /jobs/t1 HTTP/1.1");
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    worker.as_mut().unwrap().send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    in_flight(&s, 0);
    // The id may come again.
    let mut again = s.connect();
    again.job("t1");
    assert!(s.next_request(&mut worker).message().1.contains("X-Trace-Id: t1\r\n"));
}

#[test]
fn a_client_that_leaves_before_its_attempt_fails_gets_no_further_one() {
    let s = Scheduler::with("leaves-before-retry", 2);
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send(TAKEN);
    s.news(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    s.news(r#"{"id":"t1","from":"s-2","state":"started"}"#);
    drop(client);
    in_flight(&s, 0);
    s.news(r#"{"id":"t1","from":"s-1","state":"lost"}"#);
    s.news(r#"{"id":"t1","from":"s-2","state":"lost"}"#);
    let mut next = s.connect();
    next.job("t2");
    let mut kept = Some(worker);
    loop {
        let (line, head, _) = s.next_request(&mut kept).message();
        if head.contains("X-Trace-Id: t2\r\n") {
            break;
        }
        assert_eq!(line, "DELETE /jobs/t1 HTTP/1.1");
    }
}

#[test]
fn idle_clients_that_hold_all_descriptors_do_not_keep_discovery_from_being_called() {
    let s = Scheduler::start("crowded");
    let mut watch = s.listed();
    // 82 descriptors, 39 of them for connections from outside.
    let mut idle: Vec<Peer> = (0..39).map(|_| s.connect()).collect();
    for client in &mut idle {
        client.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    }
    let _more: Vec<Peer> = (0..39).map(|_| s.connect()).collect();
    for _ in 0..3 {
        drop(watch);
        watch = Peer::new(s.discovery.accept().unwrap().0);
        assert!(watch.message().0.contains("after=41&wait_ms=0 "));
    }
    watch.list(r#"{"version":42,"full":false,"servers":[]}"#);
    assert!(watch.message().0.contains("after=42&"));
    // And a new client's job finds its way all the same.
    let mut client = s.connect();
    client.job("t1");
    Peer::new(s.target.accept().unwrap().0).message();
}
