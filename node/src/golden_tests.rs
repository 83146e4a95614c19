//! Golden files: the bytes that this program writes to others stay as the fixtures have them, and what an older
//! version wrote is still read. `UPDATE_GOLDEN=1` writes the fixtures anew, for a deliberate change of a format.

use crate::answer::{Answer, Failure};
use crate::config::tests::config;
use crate::discovery;
use crate::figures::{Figures, Final, Gauges, WaitingGauges};
use crate::handover::How;
use crate::handover::{Learned, Link, Message, Moved, MovedJob, MovedLeg, MovedWait, State, Word};
use crate::intake::tests::job_of;
use crate::management::Call;
use crate::members::{json, Exchange, MembersGauges};
use postusher::{Memory, WorkerId};
use postusher_members::{Config, Members};
use std::path::PathBuf;

/// Compares bytes with a fixture.
fn check(name: &str, actual: &[u8]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, actual).unwrap();
    }
    let expected = std::fs::read(&path).unwrap();
    assert_eq!(String::from_utf8_lossy(actual), String::from_utf8_lossy(&expected), "{name}");
    assert_eq!(actual, expected, "{name}");
}

fn learned() -> Learned {
    let health =
        postusher::Health { slots: 5, others: 0.5, reported: Some(9), strain: 1.5, avoided: 7, strikes: 2 };
    let memory = Memory {
        fleet: vec![Some(1.5), None],
        lay: 2.5,
        recent: vec![0.5, -0.5],
        classes: vec![(Some(0.1), None, 0.2)],
        kinds: vec![(1, Some(0.3)), (2, None)],
        accounts: vec![1.5, -2.0],
        workers: vec![(WorkerId(7), health), (WorkerId(8), postusher::Health::default())],
    };
    Learned::from(memory, |id| Some(format!("s-{}", id.0)))
}

fn upgrade_messages() -> Vec<Message> {
    let ended = |id: &str, how| Word { id: id.into(), how };
    let attempt = |worker: &str, out, ran| MovedLeg { target: worker.into(), age: 7.25, out, ran };
    let wait = MovedWait {
        after: vec![("t8".into(), true), ("t9".into(), false)],
        start_in: Some(2.5),
        ready_for: None,
        grace_left: 1.5,
    };
    let job = |attempts, held| MovedJob { request: vec![0, 255, b'\n'], last: true, legs: attempts, held };
    let moved = |job| Message::Moved(Moved { age: 1.5, has_served: true, job });
    vec![
        Message::State(State {
            taken_out: vec!["s-1".into()],
            drained: true,
            open: vec!["9b".into()],
            ended: vec![ended("t0", How::Left), ended("t1", How::Refused)],
            settings: Some(u64::MAX),
        }),
        Message::State(State::default()),
        Message::Ready,
        Message::Called(Call::Healthcheck),
        Message::Called(Call::Stats),
        Message::Called(Call::Members),
        Message::Called(Call::TakeOut("s-2".into())),
        Message::Called(Call::TakeBack("s-2".into())),
        Message::Called(Call::Drain),
        Message::Called(Call::EndDrain),
        Message::News("{\"id\":\"9b\"}\n".into()),
        Message::Open("t1".into()),
        Message::Over("t1".into()),
        Message::Ended(ended("t9", How::Served)),
        Message::Ended(ended("t9", How::Failed)),
        Message::Learned(learned()),
        moved(None),
        moved(Some(job(vec![attempt("s-1", true, true), attempt("s-2", false, false)], None))),
        moved(Some(job(Vec::new(), Some(wait)))),
    ]
}

#[test]
fn messages_between_the_processes_of_an_upgrade_keep_their_bytes() {
    let messages = upgrade_messages();
    let mut from = Link::default();
    messages.iter().for_each(|message| from.tell(message));
    check("upgrade-messages.jsonl", from.outbox.unsent());
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/upgrade-messages.jsonl");
    assert_eq!(Link::default().receive(&std::fs::read(path).unwrap()), messages);
}

#[test]
fn messages_of_versions_before_some_fields_are_read() {
    let older = concat!(
        r#"{"state":{"taken_out":[],"drained":false,"open":["a"]}}"#,
        "\n",
        r#"{"moved":{"age":1.0,"has_served":false,"job":{"request":[1],"last":false,"legs":[]}}}"#,
        "\n",
        r#"{"learned":{"fleet":[],"lay":1.0,"recent":[],"classes":[],"kinds":[],"targets":[]}}"#,
        "\n",
    );
    assert_eq!(Link::default().receive(older.as_bytes()).len(), 3);
}

#[test]
fn calls_to_discovery_keep_their_bytes() {
    let host = ([10, 2, 0, 1], 8500).into();
    let calls = [
        discovery::Call { after: None, wait: 0.0 },
        discovery::Call { after: Some(41), wait: 0.0 },
        discovery::Call { after: Some(41), wait: 4_000.0 },
    ];
    let bytes: Vec<u8> = calls.iter().flat_map(|call| call.bytes(host)).collect();
    check("discovery-calls.txt", &bytes);
}

#[test]
fn final_answers_keep_their_bytes() {
    let answers = [
        Answer::Served(b"result".to_vec()),
        Answer::Refused { retry_after: 0.0 },
        Answer::Refused { retry_after: 1_234.5 },
        Answer::Failed(Failure::Expired),
        Answer::Failed(Failure::Rejected),
        Answer::Failed(Failure::Forward),
        Answer::Failed(Failure::Dependency),
        Answer::Failed(Failure::Circle),
        Answer::Failed(Failure::TooLate),
    ];
    let both = answers.iter().flat_map(|answer| [answer.bytes(true), answer.bytes(false)]);
    check(
        "final-answers.txt",
        &both.flat_map(|bytes| [bytes, b"\n---\n".to_vec()].concat()).collect::<Vec<_>>(),
    );
}

#[test]
fn the_request_that_a_worker_gets_keeps_its_bytes() {
    let job = job_of(
        "POST /fund/x?y=1 HTTP/1.1\r\nHost: o.svc\r\nX-Trace-Id: 9b1f\r\nX-Qos: fund\r\nX-Object: 7f3a9c21e0b4d655\r\n\
         Idempotency-Key: k\r\nX-Expires-In: 480m\r\nX-Size-Hint: 2500\r\nX-Props: slots=4,memory=0.5\r\n\
         X-Customer: zeta\r\nX-Second-Try: 1\r\nX-Start-In: 5m\r\nConnection: keep-alive, X-Hop, X-Trace-Id\r\nX-Hop: 1\r\n\
         Accept: */*\r\nContent-Length: 2\r\n\r\nab",
    );
    check("worker-request.txt", &job.unwrap().payload.request(250.0));
}

fn gauges(view: &Members) -> MembersGauges {
    MembersGauges::new(&view.view(), view.figures())
}

fn member() -> Members {
    let config = Config::new("c", "a1", "lamia", "127.0.0.11:7946".parse().unwrap());
    let mut member = Members::new(config, 1, 0.0);
    member.wake(0.0, &mut Vec::new());
    member
}

#[test]
fn what_operators_get_keeps_its_bytes() {
    let site = config().site;
    let mut figures = Figures::new(&site.classes, &site.customers);
    figures.ended(0, 0, Final::Served);
    figures.ended(1, 1, Final::Refused);
    figures.ended(1, 9, Final::Failed);
    (figures.attempts, figures.reloads_ok, figures.reloads_failed) = (5, 1, 2);
    let member = member();
    let all = Gauges {
        in_flight: 3,
        workers_known: 12,
        workers_excluded: 1,
        over_share: vec![0, 7],
        members: Some(gauges(&member)),
        waiting: Some(WaitingGauges { held: 5, released: 7, longest_wait_ms: 250 }),
    };
    let shown = [figures.json(Gauges::default()), figures.json(all), json(&member.view())];
    check("operators.jsonl", (shown.join("\n") + "\n").as_bytes());
}

#[test]
fn the_frame_of_an_exchanged_state_keeps_its_bytes() {
    let mut exchange = Exchange::new(true);
    exchange.give(b"state");
    check("exchange-frame.bin", exchange.outbox.unsent());
}
