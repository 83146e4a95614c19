use super::*;
use serde_json::json;

fn list(full: bool, servers: serde_json::Value) -> List {
    List::read(&json!({"version": 43, "full": full, "servers": servers}).to_string()).unwrap()
}

fn connection() -> Connection {
    Connection::new(1_000_000)
}

#[test]
fn a_bad_entry_is_left_out_and_a_bad_list_is_an_error() {
    assert_eq!(
        list(true, json!([{"id": "s-1"}, {"id": "s-2", "addr": "127.0.0.1:9", "state": "up"}])).entries.len(),
        1
    );
    assert!(List::read(&json!({"version": 1}).to_string()).is_err());
}

#[test]
fn an_answer_is_a_list_or_a_failure() {
    let answer = |status: u16, body: &[u8]| connection().receive(&http::response(status, &[], body, true));
    let body = json!({"version": 7, "full": false, "servers": []}).to_string();
    assert!(answer(200, body.as_bytes()).unwrap().is_ok_and(|a| a.list.version == Some(7) && a.keep_alive));
    assert_eq!(answer(503, b"").unwrap().err(), Some(DiscoveryError::Status(503)));
    assert!(answer(200, b"{").unwrap().is_err());
    assert!(connection().receive(b"HTTP/1.1 200 OK\r\nContent-Le").is_none());
    assert_eq!(connection().end().err(), Some(DiscoveryError::Ended));
}

/// What discovery has written counts as told, whether it arrives or not; a refusal tells nothing.
#[test]
fn an_answer_that_was_begun_and_is_not_known_is_told_from_no_answer() {
    let ends_after = |bytes: &[u8]| {
        let mut connection = connection();
        assert!(connection.receive(bytes).is_none());
        let stalled = connection.timed_out();
        (connection.end().unwrap_err().hides_list(), stalled.hides_list())
    };
    assert_eq!(ends_after(b""), (false, false));
    assert_eq!(ends_after(b"HTTP"), (false, false));
    assert_eq!(ends_after(b"HTTP/1.1 200"), (true, true));
    assert_eq!(ends_after(b"HTTP/1.1 503 Service Unav"), (false, false));
    assert_eq!(ends_after(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"), (true, true));
    assert_eq!(ends_after(b"HTTP/1.1 200 OK\r\n\r\n{\"servers\":["), (true, true));
    assert_eq!(ends_after(b"HTTP/1.1 503 No\r\nContent-Length: 10\r\n\r\n{"), (false, false));
    let mut small = Connection::new(100);
    let long = small.receive(&http::response(200, &[], &[b' '; 101], true)).unwrap().unwrap_err();
    assert!(long == DiscoveryError::TooLong(100) && long.hides_list());
}

#[test]
fn a_call_is_given_up_late_enough_for_a_busy_discovery_and_in_time_for_a_silent_one() {
    // Guards against: calls made again while a crowded discovery still has the first in its queue, which keeps it crowded;
    // and a silent watch that is asked again only after what it had to tell counts as told, 2 s after the wait.
    for wait in [0.0, WAIT] {
        let limit = Call { after: Some(1), wait }.limit();
        assert!((4_000.0..=WAIT + 1_500.0).contains(&limit));
    }
    // After a move the list counts as told 4 s later: a lost call is made again before that, and not while it may be queued.
    let limit = Call { after: None, wait: 0.0 }.limit();
    assert!((2_000.0..4_000.0 - 500.0).contains(&limit));
}
