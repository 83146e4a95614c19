//! Decodes input frames.

use super::codes::{attempt_result, endpoint_state, list_update, RecordCode, UnknownCode};
use super::error::{WireError, WireErrorKind};
use super::reader::Reader;
use super::{Batch, InstanceId, Record};
use postusher_decision::{AttemptId, AttemptOutcome, AttemptResult, Endpoint, Event, Job, JobId, WorkerId};

/// Size of an entry of the endpoint list in bytes.
const ENDPOINT_BYTES: usize = 23;
/// Maximum number of slots of a job; larger numbers are clamped.
const MAX_SLOTS: f64 = 65_535.0;
/// Bit of a job's flags that is set if the client gave a size hint.
const HAS_SIZE_HINT: u8 = 1;
/// Code of the job status update for a started job.
const STATUS_STARTED: u8 = 1;
/// Code of the job status update with a job's progress.
const STATUS_PROGRESS: u8 = 2;

/// Decodes one complete frame, its length field included.
///
/// # Errors
/// Returns an error for the first field that is truncated or has an undefined value, and if the length field
/// differs from the frame's length.
pub fn decode(frame: &[u8]) -> Result<Batch, WireError> {
    let mut reader = Reader::new(frame);
    let length = reader.u32("frame length")? as usize;
    if length != frame.len() {
        let kind = WireErrorKind::WrongLength { length, actual: frame.len() };
        return Err(WireError { kind, offset: 0 });
    }
    let now = reader.millis("clock")?;
    let mut records = Vec::new();
    while !reader.is_at_end() {
        records.push(read_record(&mut reader)?);
    }
    Ok(Batch { now, records })
}

fn read_record(reader: &mut Reader) -> Result<(InstanceId, Record), WireError> {
    let offset = reader.offset();
    let code = RecordCode::try_from(reader.u16("record code")?).map_err(|UnknownCode(code)| WireError {
        kind: WireErrorKind::UnknownCode { field: "record code", code },
        offset,
    })?;
    let instance = reader.u16("I")?;
    let record = match code {
        RecordCode::JobStatusUpdate => read_job_status_update(reader)?,
        RecordCode::AnswerStreaming => Record::Event(read_answer_streaming(reader)?),
        RecordCode::Launch => read_launch(reader)?,
        RecordCode::HealthCheckEnded => Record::Event(read_health_check_ended(reader)?),
        RecordCode::EndpointList => Record::Event(read_endpoint_list(reader)?),
        RecordCode::JobArrived => Record::Event(read_job_arrived(reader)?),
        RecordCode::AttemptEnded => Record::Event(read_attempt_ended(reader)?),
        RecordCode::ClientDisconnected => Record::Event(Event::ClientDisconnected(read_job_id(reader)?)),
        RecordCode::PeerMessage => skip_peer_message(reader)?,
        RecordCode::Kill => Record::Kill,
        RecordCode::TimerExpired => Record::Event(Event::TimerExpired(reader.u64("Cookie")?)),
    };
    Ok((instance, record))
}

fn read_job_id(reader: &mut Reader) -> Result<JobId, WireError> {
    Ok(JobId(reader.u32("Job")?))
}

fn read_attempt_id(reader: &mut Reader) -> Result<AttemptId, WireError> {
    Ok(AttemptId(reader.u8("Leg")?))
}

fn read_worker_id(reader: &mut Reader) -> Result<WorkerId, WireError> {
    Ok(WorkerId(reader.u32("Worker")?))
}

fn read_attempt_result(reader: &mut Reader) -> Result<AttemptResult, WireError> {
    let code = reader.u16("Ending")?;
    attempt_result(code).map_err(|error| unknown_code(reader, "Ending", error))
}

fn unknown_code(reader: &Reader, field: &'static str, UnknownCode(code): UnknownCode) -> WireError {
    reader.error(WireErrorKind::UnknownCode { field, code })
}

fn read_job_status_update(reader: &mut Reader) -> Result<Record, WireError> {
    let job = read_job_id(reader)?;
    let completed_share = reader.f32("Level")?;
    let status = reader.u8("What")?;
    let attempt = read_attempt_id(reader)?;
    read_worker_id(reader)?;
    Ok(match status {
        STATUS_STARTED => Record::Event(Event::JobStarted { job, attempt }),
        STATUS_PROGRESS => Record::Event(Event::JobProgressed { job, attempt, completed_share }),
        _ => Record::Ignored,
    })
}

fn read_answer_streaming(reader: &mut Reader) -> Result<Event, WireError> {
    let job = read_job_id(reader)?;
    let attempt = read_attempt_id(reader)?;
    reader.millis("LatencyMs")?;
    read_worker_id(reader)?;
    Ok(Event::AnswerStreaming { job, attempt })
}

fn read_launch(reader: &mut Reader) -> Result<Record, WireError> {
    let seed = reader.u64("Entropy")?;
    let length = reader.u32("ProfileData")? as usize;
    let settings = reader.bytes(length, "ProfileData")?.to_vec();
    Ok(Record::Launch { seed, settings })
}

fn read_health_check_ended(reader: &mut Reader) -> Result<Event, WireError> {
    let worker = read_worker_id(reader)?;
    let result = read_attempt_result(reader)?;
    reader.millis("LatencyMs")?;
    let report = reader.load_report()?;
    Ok(Event::HealthCheckEnded { worker, result, report })
}

fn read_endpoint_list(reader: &mut Reader) -> Result<Event, WireError> {
    let code = reader.u8("Kind")?;
    let update = list_update(code).map_err(|error| unknown_code(reader, "list Kind", error))?;
    reader.u32("Revision")?;
    let count = reader.u32("MembersList")? as usize;
    reader.check_count(count, ENDPOINT_BYTES, "MembersList")?;
    let mut endpoints = Vec::with_capacity(count);
    for _ in 0..count {
        endpoints.push(read_endpoint(reader)?);
    }
    Ok(Event::EndpointList { update, endpoints })
}

fn read_endpoint(reader: &mut Reader) -> Result<Endpoint, WireError> {
    let worker = read_worker_id(reader)?;
    let code = reader.u8("Readiness")?;
    let state = endpoint_state(code).map_err(|error| unknown_code(reader, "Readiness", error))?;
    Ok(Endpoint {
        worker,
        state,
        capacity_weight: reader.f32("Heft")?,
        cell: reader.u16("Group")?,
        started_at: reader.millis("UpSinceMs")?,
        kind: reader.u16("GenerationHw")?,
        zone: reader.u16("Dc")?,
    })
}

fn read_job_arrived(reader: &mut Reader) -> Result<Event, WireError> {
    let id = read_job_id(reader)?;
    let class = reader.u16("Type")?;
    let customer = reader.u16("Org")?;
    let key = reader.u64("NameKey")?;
    let deadline = reader.millis("ExpiresMs")?;
    let hint = reader.millis("CostGuessMs")?;
    let slots = reader.f32("Slots")?.clamp(0.0, MAX_SLOTS) as u32;
    reader.f32("Memory")?;
    let flags = reader.u8("Bitmap")?;
    let size_hint = if flags & HAS_SIZE_HINT == 0 { None } else { Some(hint) };
    Ok(Event::JobArrived(Job { id, class, deadline, size_hint, slots, key, customer }))
}

fn read_attempt_ended(reader: &mut Reader) -> Result<Event, WireError> {
    let job = read_job_id(reader)?;
    let attempt = read_attempt_id(reader)?;
    read_worker_id(reader)?;
    let result = read_attempt_result(reader)?;
    let latency = reader.millis("LatencyMs")?;
    let job_answered = reader.u8("DoneFlag")? != 0;
    reader.u8("Note")?;
    let report = reader.load_report()?;
    Ok(Event::AttemptEnded(AttemptOutcome { job, attempt, result, latency, job_answered, report }))
}

fn skip_peer_message(reader: &mut Reader) -> Result<Record, WireError> {
    reader.u16("By")?;
    let length = usize::from(reader.u16("Payload")?);
    reader.bytes(length, "Payload")?;
    Ok(Record::Ignored)
}
