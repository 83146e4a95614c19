//! Workers whose answers and news come early, late, twice, cut short or never.

use super::*;

fn unsafe_to_repeat(text: String) -> String {
    text.replace(r#""Effect": "repeatable""#, r#""Effect": "once""#)
}

/// The worker resets its connection once it has read the whole request.
fn reset(worker: Peer) {
    let socket = socket2::Socket::from(worker.0.into_inner());
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

#[test]
fn a_reset_after_the_last_byte_repeats_a_job_only_where_its_class_allows() {
    for (name, change, again) in [
        ("reset-safe", (|text| text) as fn(String) -> String, true),
        ("reset-unsafe", unsafe_to_repeat, false),
    ] {
        let s = Scheduler::changed(name, 2, change);
        let mut client = s.connect();
        client.job("t1");
        let mut worker = Peer::new(s.target.accept().unwrap().0);
        worker.message();
        reset(worker);
        if again {
            let mut other = Peer::new(s.target.accept().unwrap().0);
            assert!(other.message().1.contains("X-Trace-Id: t1\r\n"));
        } else {
            assert_eq!(client.message().0, "HTTP/1.1 502 Bad Gateway");
        }
    }
}

#[test]
fn an_answer_cut_short_counts_as_one_that_may_have_run() {
    let s = Scheduler::changed("cut-answer", 2, unsafe_to_repeat);
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send("HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Len");
    drop(worker);
    assert_eq!(client.message().0, "HTTP/1.1 502 Bad Gateway");
}

#[test]
fn a_refusal_that_never_ran_sends_an_unsafe_job_elsewhere() {
    let s = Scheduler::changed("never-ran", 2, unsafe_to_repeat);
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send("HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
    let mut other = Peer::new(s.target.accept().unwrap().0);
    assert!(other.message().1.contains("X-Trace-Id: t1\r\n"));
}

#[test]
fn news_count_once_whenever_they_come_and_only_from_the_worker_that_has_the_job() {
    let s = Scheduler::start("news-order");
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    // From one that does not have it; then before the 202, and twice; then after the end.
    s.news(r#"{"id":"t1","from":"s-9","state":"done","result":"of another"}"#);
    s.news(r#"{"id":"t1","from":"s-1","state":"started"}"#);
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"first"}"#);
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"second"}"#);
    worker.send(TAKEN);
    s.news(r#"{"id":"t1","from":"s-1","state":"failed"}"#);
    let (line, _, body) = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "first"));
    assert!(s.call("GET /stats").1.contains(r#""served":{"render":1}"#));
    client.job("t2");
    let mut kept = Some(worker);
    assert!(s.next_request(&mut kept).message().1.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn news_that_cannot_be_read_are_refused_and_floods_of_them_end() {
    let s = Scheduler::start("odd-news");
    for text in [
        "",
        "{",
        "[]",
        r#"{"id":1,"from":"s-1","state":"done"}"#,
        r#"{"id":"t1","from":"s-1","state":"odd"}"#,
    ] {
        let mut peer = s.connect();
        peer.send(&format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
        assert_eq!(peer.message().0, "HTTP/1.1 400 Bad Request", "{text}");
    }
    let mut flood = s.connect();
    flood.send("POST /_jobs/news HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
    assert_eq!(flood.message().0, "HTTP/1.1 413 Content Too Large");
    let mut client = s.connect();
    client.job("t1");
    Peer::new(s.target.accept().unwrap().0).message();
}

#[test]
fn a_worker_that_answers_without_an_end_loses_the_job_to_another() {
    let s = Scheduler::with("endless-answer", 2);
    let mut client = s.connect();
    client.job("t1");
    let mut worker = Peer::new(s.target.accept().unwrap().0);
    worker.message();
    worker.send("HTTP/1.1 202 Accepted\r\nX-Endless: ");
    let mut flood = worker.0.get_ref().try_clone().unwrap();
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut other = Peer::new(s.target.accept().unwrap().0);
    assert!(other.message().1.contains("X-Trace-Id: t1\r\n"));
    sender.join().unwrap();
}
