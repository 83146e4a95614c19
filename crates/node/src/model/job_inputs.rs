//! Inputs of the job model: endpoint lists, answers and job status updates.

use crate::config::tests::sample;
use crate::discovery::List;
use crate::http::{self, Decoder};
use crate::job_status::{JobStatus, JobStatusUpdate};
use crate::upstream::TaskOutcome;
use crate::worker_protocol::NEVER_RAN_HEADER;

/// Returns a job status update that says that the worker has finished the job.
pub fn done_update(trace_id: &str, worker: &str) -> JobStatusUpdate {
    JobStatusUpdate {
        trace_id: trace_id.into(),
        worker: worker.into(),
        status: JobStatus::Done(b"r".to_vec()),
        report: Ok(Vec::new()),
    }
}

/// Returns a complete list of `count` workers, the last of them in state `last_state`.
pub fn complete_list(count: u32, last_state: &str) -> List {
    let mut servers = Vec::new();
    for number in 0..count {
        let mut entry = sample()["known"]["servers"][0].clone();
        entry["id"] = format!("s-{number}").into();
        entry["state"] = if number + 1 == count { last_state } else { "up" }.into();
        servers.push(entry);
    }
    List::read(&serde_json::json!({"version": 1, "full": true, "servers": servers}).to_string()).unwrap()
}

/// Returns the outcome of a request with an attempt that its worker has not accepted, selected by `choice`.
pub fn sending_failure(choice: u8) -> TaskOutcome {
    match choice % 4 {
        0 if choice >= 128 => TaskOutcome::Stale { sent: choice >= 192 },
        0 => TaskOutcome::NotSent,
        1 => TaskOutcome::Broken,
        2 => worker_answer(500, choice),
        _ => worker_answer(503, choice),
    }
}

/// Returns the status in a job status update, selected by `choice`.
pub fn status(choice: u8) -> JobStatus {
    match choice % 8 {
        0 => JobStatus::Failed,
        1 => JobStatus::Returned,
        2 => JobStatus::Lost,
        3 => JobStatus::Running(0.5),
        4 => JobStatus::Started,
        _ => JobStatus::Done(b"r".to_vec()),
    }
}

/// Returns a worker's answer to an attempt. For every third `choice`, it has the header that says that the
/// job has not run.
pub fn worker_answer(status: u16, choice: u8) -> TaskOutcome {
    let never_ran = [(NEVER_RAN_HEADER, "1".to_string())];
    let headers: &[_] = if choice.is_multiple_of(3) { &never_ran } else { &[] };
    let mut decoder = Decoder::new();
    decoder.feed(&http::response(status, headers, b"", true));
    TaskOutcome::Answer(decoder.next().unwrap().unwrap())
}
