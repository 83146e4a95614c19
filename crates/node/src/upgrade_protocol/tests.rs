//! Tests of messages that arrive in pieces, come from older versions or have no end.

use super::learned::class_estimates;
use super::link::MAX_QUEUED_BYTES;
use super::{
    socket_path, AdminRequest, JobEnd, JobEndStatus, LearnedSnapshot, Link, Message, MigratedAttempt,
    MigratedConnection, MigratedDeferral, MigratedJob, SchedulerState,
};
use postusher_decision::{LearnedState, WorkerHistory, WorkerId};

#[test]
fn messages_are_reassembled_and_unknown_ones_are_skipped() {
    let sent = [
        Message::State(SchedulerState {
            disabled_workers: vec!["s-1".into()],
            draining: true,
            open_jobs: vec!["9b\n".into()],
            ended_jobs: vec![JobEnd { trace_id: "t0".into(), status: JobEndStatus::Disconnected }],
            settings_digest: Some(u64::MAX),
        }),
        Message::JobEnded(JobEnd { trace_id: "t9".into(), status: JobEndStatus::Served }),
        Message::Ready,
        Message::AdminRequest(AdminRequest::DisableWorker("s-2".into())),
        Message::JobStatus("{\"id\":\"9b\"}\n".into()),
        Message::JobStarted("t1".into()),
        Message::JobIdReleased("t1".into()),
        Message::ConnectionMigrated(MigratedConnection {
            age: 1.5,
            has_served: true,
            job: Some(MigratedJob {
                request: vec![0, 255, b'\n'],
                closes_connection: false,
                attempts: vec![MigratedAttempt {
                    worker: "s-1".into(),
                    age: 7.0,
                    pending: true,
                    may_have_run: true,
                }],
                deferral: Some(MigratedDeferral {
                    dependencies: vec![("t8".into(), true)],
                    start_in: Some(2.5),
                    ready_for: None,
                    grace_left: 1.5,
                }),
            }),
        }),
    ];
    let mut sender = Link::default();
    sender.write_buffer.append(b"{\"of a later version\":1}\n");
    for message in &sent {
        sender.send(message);
    }
    for chunk_size in 1..50 {
        let mut receiver = Link::default();
        let chunks = sender.write_buffer.unsent().chunks(chunk_size);
        let received: Vec<_> = chunks.flat_map(|chunk| receiver.receive(chunk)).collect();
        assert_eq!(received, sent);
    }
}

#[test]
fn learned_state_identifies_workers_by_name_and_may_lack_quotas() {
    let history = WorkerHistory {
        max_free_slots: 5,
        foreign_slots: 0.5,
        report_age: Some(9),
        health_score: 1.5,
        ejected_for: 7,
        consecutive_ejections: 2,
    };
    let state = LearnedState {
        fleet_means: vec![Some(1.5), None],
        queueing_delay: 2.5,
        recent_scores: vec![0.5, -0.5],
        classes: vec![class_estimates((Some(0.1), None, 0.2))],
        kinds: vec![(1, Some(0.3))],
        quota_balances: vec![1.5, -2.0],
        workers: vec![(WorkerId(7), history), (WorkerId(8), history)],
    };
    let learned = LearnedSnapshot::new(state.clone(), |id| (id.0 == 7).then(|| "s-7".to_string()));
    let mut older = serde_json::to_value(&learned).unwrap();
    older.as_object_mut().unwrap().remove("accounts");
    let older: LearnedSnapshot = serde_json::from_value(older).unwrap();
    assert!(
        older.into_state(|_| WorkerId(7)).quota_balances.is_empty(),
        "a message of a version without customers must be accepted"
    );
    let (mut sender, mut receiver) = (Link::default(), Link::default());
    sender.send(&Message::Learned(learned));
    let Some(Message::Learned(received)) = receiver.receive(sender.write_buffer.unsent()).pop() else {
        panic!()
    };
    let expected = LearnedState { workers: vec![(WorkerId(7), history)], ..state };
    assert_eq!(received.into_state(|name| WorkerId(u32::from(name == "s-7") * 7)), expected);
}

#[test]
fn link_is_stuck_after_unread_output_or_endless_line() {
    let (mut unread, mut endless) = (Link::default(), Link::default());
    assert!(!unread.is_write_stuck() && endless.receive(b"{").is_empty());
    for _ in 0..3 {
        unread.send(&Message::JobStatus("x".repeat(MAX_QUEUED_BYTES / 2)));
    }
    endless.receive(&vec![b'x'; MAX_QUEUED_BYTES]);
    assert!(unread.is_write_stuck() && endless.is_message_too_long());
    assert!(!unread.is_message_too_long() && !endless.is_write_stuck());
}

#[test]
fn each_fixed_port_has_its_own_socket_path() {
    let path_for = |port| socket_path(([127, 0, 0, 1], port).into());
    assert!(path_for(8080) == path_for(8080) && path_for(8080) != path_for(8081));
    assert!(path_for(0).is_none());
}
