//! The names on the wire between clients, this scheduler and workers. A worker gets a client's request with
//! its path, body and most of its headers, so that both protocols have the same names.

/// Header: the client's id for a job.
pub const TRACE_ID_HEADER: &str = "X-Trace-Id";
/// Header: the name of a job's class, which the path has, too.
pub const CLASS_HEADER: &str = "X-Qos";
/// Header: the key of a job, which is the object that it concerns.
pub const KEY_HEADER: &str = "X-Object";
/// Header: the time within which the client wants its answer, with a unit.
pub const EXPIRY_HEADER: &str = "X-Expires-In";
/// Header: the client's estimate of the running time, in microseconds if it has no unit.
pub const SIZE_HINT_HEADER: &str = "X-Size-Hint";
/// Header: further properties of a job, `name=value` with commas between them.
pub const PROPERTIES_HEADER: &str = "X-Props";
/// The property with the number of slots that a job takes.
pub const SLOTS_PROPERTY: &str = "slots";
/// Header: the name of the customer that a job counts for.
pub const CUSTOMER_HEADER: &str = "X-Customer";
/// Header: the key by which workers drop repeats of a job.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
/// Header of a worker that rejects an attempt: `1` if the job has not run there.
pub const NEVER_RAN_HEADER: &str = "X-Never-Ran";
/// Header of a worker's answers: its load report.
pub const LOAD_REPORT_HEADER: &str = "Endpoint-Load-Metrics";

/// Path at which clients ask whether this scheduler takes jobs.
pub const READINESS_PATH: &str = "/up";
/// Path at which workers send job status updates.
pub const JOB_STATUS_PATH: &str = "/_jobs/news";
/// Path at which a worker that sends no load reports shows that it lives.
pub const HEALTH_PATH: &str = "/alive";
/// Path at which a worker sends its load report.
pub const LOAD_PATH: &str = "/metrics/load";

/// Path of a job at its worker; `DELETE` cancels the job there.
pub fn job_path(trace_id: &str) -> String {
    format!("/jobs/{trace_id}")
}
