//! Workers whose answers and job status updates come early, late, twice, cut short or never.

use super::*;

fn unsafe_to_repeat(text: String) -> String {
    text.replace(r#""Effect": "repeatable""#, r#""Effect": "once""#)
}

/// The worker resets its connection once it has read the whole request.
fn reset(worker: Connection) {
    let socket = socket2::Socket::from(worker.reader.into_inner());
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

#[test]
fn a_reset_after_the_last_byte_repeats_a_job_only_where_its_class_allows() {
    for (name, change, again) in [
        ("reset-safe", (|text| text) as fn(String) -> String, true),
        ("reset-unsafe", unsafe_to_repeat, false),
    ] {
        let scheduler = Scheduler::with_config(name, 2, change);
        let mut client = scheduler.connect();
        client.send_job("t1");
        let mut worker = scheduler.accept_worker_connection();
        worker.message();
        reset(worker);
        if again {
            let mut other = scheduler.accept_worker_connection();
            assert!(other.message().head.contains("X-Trace-Id: t1\r\n"));
        } else {
            assert_eq!(client.message().line, "HTTP/1.1 502 Bad Gateway");
        }
    }
}

#[test]
fn an_answer_cut_short_counts_as_one_that_may_have_run() {
    let scheduler = Scheduler::with_config("cut-answer", 2, unsafe_to_repeat);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send("HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Len");
    drop(worker);
    assert_eq!(client.message().line, "HTTP/1.1 502 Bad Gateway");
}

#[test]
fn a_refusal_that_never_ran_sends_an_unsafe_job_elsewhere() {
    let scheduler = Scheduler::with_config("never-ran", 2, unsafe_to_repeat);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send("HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
    let mut other = scheduler.accept_worker_connection();
    assert!(other.message().head.contains("X-Trace-Id: t1\r\n"));
}

#[test]
fn job_status_updates_count_once_whenever_they_come_and_only_from_the_worker_that_has_the_job() {
    let scheduler = Scheduler::start("news-order");
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    // From one that does not have it; then before the 202, and twice; then after the end.
    scheduler.send_job_status(r#"{"id":"t1","from":"s-9","state":"done","result":"of another"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"done","result":"first"}"#);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"done","result":"second"}"#);
    worker.send(ACCEPTED);
    scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"failed"}"#);
    let Message { line, body, .. } = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "first"));
    assert!(scheduler.admin_request("GET /stats").body.contains(r#""served":{"render":1}"#));
    client.send_job("t2");
    let mut kept = Some(worker);
    assert!(scheduler.next_request(&mut kept).message().head.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn job_status_updates_that_cannot_be_read_are_rejected_and_floods_of_them_end() {
    let scheduler = Scheduler::start("odd-news");
    for text in [
        "",
        "{",
        "[]",
        r#"{"id":1,"from":"s-1","state":"done"}"#,
        r#"{"id":"t1","from":"s-1","state":"odd"}"#,
    ] {
        let mut peer = scheduler.connect();
        peer.send(&format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
        assert_eq!(peer.message().line, "HTTP/1.1 400 Bad Request", "{text}");
    }
    let mut flood = scheduler.connect();
    flood.send("POST /_jobs/news HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
    assert_eq!(flood.message().line, "HTTP/1.1 413 Content Too Large");
    let mut client = scheduler.connect();
    client.send_job("t1");
    scheduler.accept_worker_connection().message();
}

#[test]
fn a_worker_that_answers_without_an_end_loses_the_job_to_another() {
    let scheduler = Scheduler::with_workers("endless-answer", 2);
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.message();
    worker.send("HTTP/1.1 202 Accepted\r\nX-Endless: ");
    let mut flood = worker.reader.get_ref().try_clone().unwrap();
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut other = scheduler.accept_worker_connection();
    assert!(other.message().head.contains("X-Trace-Id: t1\r\n"));
    sender.join().unwrap();
}
