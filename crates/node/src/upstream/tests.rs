use super::*;
use crate::http;

#[test]
fn a_connection_is_used_again_once_it_has_been_quiet_and_the_last_of_those_first() {
    let (worker, mut pool) = (WorkerId(1), Pool::default());
    let mut c = Connection::new(worker);
    c.connected();
    assert_eq!(c.usable_from(100.0), 100.0); // it has brought no answer yet
    c.start(Task::HealthCheck(worker));
    c.write(b"x");
    c.outbox.sent(1);
    assert!(c.receive(&http::response(200, &[], b"", true)).is_some());
    assert_eq!(c.usable_from(100.0), 100.0 + REUSE_DELAY);
    [(1, 120.0), (2, 121.0), (3, 125.0)]
        .into_iter()
        .for_each(|(key, from)| pool.put(worker, ConnectionId::test(key), from));
    assert!(pool.take(worker, 119.0).is_none());
    assert_eq!(pool.take(worker, 122.0), Some(ConnectionId::test(2)));
    assert_eq!(pool.take(worker, 122.0), Some(ConnectionId::test(1)));
    assert_eq!((pool.take(worker, 122.0), pool.take_all(worker)), (None, vec![ConnectionId::test(3)]));
}

#[test]
fn a_second_answer_closes_the_connection_that_it_comes_on() {
    let answer = http::response(202, &[], b"", true);
    for second in [&answer[..], &answer[..5], b"x"] {
        let mut c = Connection::new(WorkerId(1));
        c.connected();
        c.start(Task::Attempt(JobId(1), AttemptId(0)));
        c.write(b"x");
        c.outbox.sent(1);
        assert!(c.receive(&answer).is_some() && c.is_idle());
        assert!(c.receive(second).is_none() && c.is_closed());
    }
}
