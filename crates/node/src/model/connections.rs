//! Connections of clients and to workers: whatever comes in whatever pieces, each keeps its turns.

use super::fixed;
use crate::downstream::{self, State as Side};
use crate::http::{self, Decoder, StatusLine};
use crate::upstream::{self, End, Task};
use postusher_decision::{AttemptId, JobId, WorkerId};
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed(256))]

    /// Whatever comes in whatever pieces: requests are handed on whole, in order, one at a time, and what
    /// goes out is their answers in the same order and nothing after the last.
    #[test]
    fn a_listener_keeps_its_turns(steps in prop::collection::vec((0u8..5, 1usize..90, any::<bool>()), 1..120)) {
        let one = |n: usize| format!("POST /render/{n} HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
        let all: String = (0..200).map(one).collect();
        let (mut c, mut fed, mut taken, mut out) = (downstream::Connection::new(0.0), 0, 0, Vec::new());
        let (mut expected, mut side, mut whole) = (String::new(), Side::Open, 0);
        for (what, n, keep) in steps {
            match what {
                0 => {
                    c.receive(&all.as_bytes()[fed..fed + n], 1.0);
                    fed += if side == Side::Last { 0 } else { n };
                    whole = (0..200).scan(0, |end, i| { *end += one(i).len(); Some(*end) }).filter(|e| *e <= fed).count();
                }
                1 => {
                    let next = c.next().map(|r| r.unwrap().line.target);
                    let due = side == Side::Open && taken < whole;
                    prop_assert_eq!(next, due.then(|| format!("/render/{taken}")));
                    if due {
                        (side, taken) = (Side::Busy, taken + 1);
                    }
                }
                2 => {
                    let answer = format!("answer {taken} {keep};");
                    c.answer(answer.as_bytes(), keep, 2.0);
                    if side == Side::Busy {
                        expected += &answer;
                        side = if keep { Side::Open } else { Side::Last };
                    }
                }
                // Another process goes on with it.
                3 if c.may_move() => {
                    let job = (c.state() == Side::Busy).then(|| c.is_last());
                    c = downstream::Connection::moved(3.0, c.age(3.0), c.has_served(), job);
                }
                _ => {
                    let n = n.min(c.outbox.unsent().len());
                    out.extend_from_slice(&c.outbox.unsent()[..n]);
                    c.outbox.sent(n);
                }
            }
            prop_assert_eq!(c.state(), side);
            prop_assert_eq!(c.is_idle(), side == Side::Open && out.len() == expected.len() && fed == one_end(&all, taken));
        }
        out.extend_from_slice(c.outbox.unsent());
        prop_assert_eq!(String::from_utf8(out).unwrap(), expected);
    }

    /// A task ends once, by an answer, by a break before its last byte or by one after; a connection is idle
    /// only when it is up and has none, and closed for good.
    #[test]
    fn a_forward_ends_as_its_bytes_tell(steps in prop::collection::vec((0u8..6, 1usize..40, any::<bool>()), 1..80)) {
        let task = Task::Attempt(JobId(1), AttemptId(0));
        let (mut c, mut up, mut open) = (upstream::Connection::new(WorkerId(1)), false, true);
        let (mut busy, mut left, mut begun, mut come, mut kept) = (false, 0usize, false, 0usize, false);
        for (what, n, keep) in steps {
            let whole = http::response(202, &[], b"", keep);
            match what {
                0 if open => { c.connected(); up = true; }
                1 if open && !busy && come == 0 => {
                    c.start(task);
                    c.write(&vec![b'x'; n]);
                    (busy, left, begun) = (true, n, false);
                }
                2 if open && up => {
                    let n = n.min(left);
                    c.outbox.sent(n);
                    (left, begun) = (left - n, begun || n > 0);
                    begun &= left > 0;
                }
                3 if open && up && keep => {
                    let part = &whole[come..(come + n).min(whole.len())];
                    come += part.len();
                    let ended = c.receive(part);
                    if !busy {
                        open = false;
                    } else if come == whole.len() {
                        prop_assert!(matches!(ended, Some((t, End::Answer(ref m))) if t == task && m.line.status == 202));
                        (busy, open, come, kept) = (false, left == 0, 0, true);
                        if !open { left = 0; }
                    } else {
                        prop_assert!(ended.is_none());
                    }
                }
                4 if open => {
                    let ended = c.broken();
                    prop_assert_eq!(ended.is_some(), busy);
                    let (new, sent) = (busy && !kept, left == 0);
                    prop_assert_eq!(new && !sent, matches!(ended, Some((_, End::NotSent))));
                    prop_assert_eq!(new && sent, matches!(ended, Some((_, End::Broken))));
                    prop_assert_eq!(busy && kept, matches!(ended, Some((_, End::Stale { sent: s })) if s == sent));
                    (busy, open) = (false, false);
                }
                5 if open => {
                    c.give_up();
                    open &= !busy || left > 0 && !begun;
                    (busy, left) = (false, 0);
                }
                _ => {}
            }
            prop_assert_eq!(c.is_closed(), !open);
            prop_assert_eq!(c.is_idle(), open && up && !busy);
            prop_assert_eq!(c.task().is_some(), busy);
        }
    }

    /// Whatever comes is read or refused with a status that HTTP has for it, and never more than a body's limit.
    #[test]
    fn any_input_is_read_or_refused(parts in prop::collection::vec("[ -~\r\n]{0,60}|HTTP/1.1 200 OK\r\n|POST / HTTP/1.1\r\n|Content-Length: [0-9]{1,6}\r\n|Transfer-Encoding: chunked\r\n|\r\n", 0..12)) {
        let (mut answers, mut requests) = (Decoder::<StatusLine>::new(), downstream::Connection::new(0.0));
        for part in parts {
            answers.feed(part.as_bytes());
            requests.receive(part.as_bytes(), 0.0);
            let (answer, request) = (answers.next(), requests.next().transpose());
            if let Ok(Some(message)) = &answer {
                prop_assert!(message.body.len() <= http::MAX_BODY);
            }
            for fault in [answer.as_ref().err(), request.as_ref().err()].into_iter().flatten() {
                prop_assert!([400, 413, 431, 501].contains(&fault.0), "{fault:?}");
            }
            if matches!(request, Ok(None)) {
                prop_assert_eq!(requests.state(), Side::Open);
            } else {
                prop_assert_eq!((requests.state(), requests.next().is_none()), (Side::Busy, true));
                requests.answer(b"", true, 0.0);
            }
            if answer.is_err() || request.is_err() {
                break;
            }
        }
    }
}

/// Where the `n`th request ends in the text of all.
fn one_end(all: &str, n: usize) -> usize {
    all.match_indices("abc").nth(n.wrapping_sub(1)).map_or(0, |(at, _)| at + 3)
}
