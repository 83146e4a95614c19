//! Names in the platform's protocol between clients, this scheduler and workers. The path, the body and most
//! headers of a client's request are forwarded to a worker, so both sides use the same names.

/// Header: the trace id of a job, which the client assigns.
pub const TRACE_ID_HEADER: &str = "X-Trace-Id";
/// Header: the name of a job's class, which must agree with the path.
pub const CLASS_HEADER: &str = "X-Qos";
/// Header: the key of a job, which identifies the object that the job concerns.
pub const KEY_HEADER: &str = "X-Object";
/// Header: the time, with a unit, within which the client has to be answered.
pub const EXPIRY_HEADER: &str = "X-Expires-In";
/// Header: the client's estimate of the running time, in microseconds if it has no unit.
pub const SIZE_HINT_HEADER: &str = "X-Size-Hint";
/// Header: further properties of a job, as comma-separated `name=value` pairs.
pub const PROPERTIES_HEADER: &str = "X-Props";
/// Property with the number of slots that a job takes.
pub const SLOTS_PROPERTY: &str = "slots";
/// Header: the name of the customer to whose quota a job counts.
pub const CUSTOMER_HEADER: &str = "X-Customer";
/// Header: the key by which workers recognize repetitions of a job.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
/// Header of a worker's rejection of an attempt: `1` if the job has not run at the worker.
pub const NEVER_RAN_HEADER: &str = "X-Never-Ran";
/// Header of a worker's response: its load report.
pub const LOAD_REPORT_HEADER: &str = "Endpoint-Load-Metrics";

/// Path for readiness checks, by which clients find out whether this scheduler accepts jobs.
pub const READINESS_PATH: &str = "/up";
/// Path to which workers send job status updates.
pub const JOB_STATUS_PATH: &str = "/_jobs/news";
/// Path for health checks of workers that send no load reports.
pub const HEALTH_PATH: &str = "/alive";
/// Path at which a worker returns its load report.
pub const LOAD_PATH: &str = "/metrics/load";

/// Returns the path of a job at its worker; a `DELETE` request to it cancels the job.
pub fn job_path(trace_id: &str) -> String {
    format!("/jobs/{trace_id}")
}
