//! Mock clients. They are open-loop: they submit jobs at the planned times, even if the scheduler is slow.
//! They reuse connections, and after each answer they check for bytes that do not belong to it.

use crate::journal::{Journal, Observation};
use crate::plan::{Job, Plan};
use crate::scenario::{Effect, Scenario};
use crate::wire::{self, Connection, Message};
use crate::workers::result_of;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// How long a client listens after its timeout, to tell a late answer from a missing one, in milliseconds.
const LATE_ANSWER_WAIT_MS: f64 = 200.0;
/// If a reused connection ends within this time after a request, in milliseconds, the scheduler is assumed to
/// have closed the connection before the request.
const STALE_CONNECTION_MS: f64 = 50.0;
/// Maximum number of connections on which all clients together submit jobs at a time; idle ones do not count.
const MAX_ACTIVE_CONNECTIONS: usize = 20_000;

/// The result of sending a request on a connection.
enum Exchange {
    /// The outcome of the job is recorded.
    Recorded,
    /// The scheduler had closed the connection before the request.
    StaleConnection,
}

/// All clients of one run.
pub struct Clients {
    /// The address of each scheduler.
    schedulers: Vec<SocketAddr>,
    /// The idle connections to each scheduler.
    idle: Vec<Mutex<Vec<Connection>>>,
    /// The name and the effect of each class.
    classes: Vec<(String, Effect)>,
    journal: Journal,
    connection_permits: Arc<Semaphore>,
}

impl Clients {
    /// Creates clients of the schedulers at the given addresses.
    pub fn new(scenario: &Scenario, schedulers: Vec<SocketAddr>, journal: Journal) -> Arc<Clients> {
        let idle = schedulers.iter().map(|_| Mutex::new(Vec::new())).collect();
        let classes = scenario.class.iter().map(|class| (class.name.clone(), class.effect)).collect();
        let connection_permits = Arc::new(Semaphore::new(MAX_ACTIVE_CONNECTIONS));
        Arc::new(Clients { schedulers, idle, classes, journal, connection_permits })
    }

    fn idle(&self, scheduler: usize) -> MutexGuard<'_, Vec<Connection>> {
        match self.idle[scheduler].lock() {
            Ok(idle) => idle,
            Err(poisoned) => poisoned.into_inner(), // the panic of the other task fails the run
        }
    }

    /// Submits all jobs of a plan at their times, and returns after the last outcome.
    pub async fn run(self: Arc<Clients>, plan: Arc<Plan>) {
        let mut submissions = tokio::task::JoinSet::new();
        for index in 0..plan.jobs.len() {
            let submit_at = self.journal.moment(plan.jobs[index].submit_at);
            tokio::time::sleep_until(submit_at.into()).await;
            let (clients, plan) = (self.clone(), plan.clone());
            submissions.spawn(async move {
                let Ok(_permit) = clients.connection_permits.clone().acquire_owned().await else { return };
                clients.submit(&plan.jobs[index]).await;
            });
            // Frees the tasks that have finished.
            while submissions.try_join_next().is_some() {}
        }
        while submissions.join_next().await.is_some() {}
    }

    /// Submits a job and records its outcome.
    async fn submit(&self, job: &Job) {
        let reused = self.idle(job.scheduler).pop();
        let is_reused = reused.is_some();
        let submitted_at = self.journal.now();
        if let Some(connection) = reused {
            match self.exchange(job, submitted_at, connection, true).await {
                Exchange::Recorded => return,
                // The scheduler may close a connection between requests; the request is sent again on a new
                // one.
                Exchange::StaleConnection => {}
            }
        }
        match TcpStream::connect(self.schedulers[job.scheduler]).await {
            Ok(stream) => {
                self.exchange(job, submitted_at, Connection::new(stream), false).await;
            }
            Err(_) => self.record_connection_loss(job, is_reused),
        }
    }

    /// Sends a request and records its outcome. If the connection is reused and had ended before the request,
    /// no outcome is recorded, so that the caller can repeat the request. The client's time counts from
    /// `submitted_at`.
    async fn exchange(
        &self,
        job: &Job,
        submitted_at: f64,
        mut connection: Connection,
        is_reused: bool,
    ) -> Exchange {
        let elapsed = self.journal.now() - submitted_at;
        if connection.send(&self.request(job, elapsed)).await.is_err() {
            if is_reused {
                return Exchange::StaleConnection;
            }
            self.record_connection_loss(job, false);
            return Exchange::Recorded;
        }
        let sent = self.journal.now();
        self.journal.record(Observation::Sent { job: job.id.clone() });
        let limit_ms = job.disconnects_after.unwrap_or(job.client_timeout + LATE_ANSWER_WAIT_MS);
        let limit_ms = (limit_ms - elapsed).max(0.0);
        let answer =
            tokio::time::timeout(Duration::from_secs_f64(limit_ms / 1e3), connection.message()).await;
        match answer {
            Err(_) if job.disconnects_after.is_some() => {
                self.journal.record(Observation::ClientLeft { job: job.id.clone() })
            }
            Err(_) => self.journal.record(Observation::TimedOut { job: job.id.clone() }),
            Ok(Ok(Some(message))) => self.record_answer(job, message, connection).await,
            Ok(_) if is_reused && self.journal.now() - sent < STALE_CONNECTION_MS => {
                return Exchange::StaleConnection;
            }
            Ok(_) => self.record_connection_loss(job, false),
        }
        Exchange::Recorded
    }

    /// Records an answer, and keeps the connection for reuse unless it ends or more bytes arrive on it.
    async fn record_answer(&self, job: &Job, message: Message, mut connection: Connection) {
        self.journal.record(Observation::Answered {
            job: job.id.clone(),
            status: message.status(),
            is_own_result: message.body == result_of(&job.id).as_bytes(),
            retry_after: message.header("Retry-After").and_then(|value| value.parse().ok()),
        });
        // Lets the runtime notice bytes that were sent by mistake together with the answer.
        tokio::task::yield_now().await;
        let bytes = connection.unexpected_bytes();
        if bytes > 0 {
            self.journal.record(Observation::UnexpectedBytes { scheduler: job.scheduler, bytes });
        } else if !message.closes() {
            self.idle(job.scheduler).push(connection);
        }
    }

    fn record_connection_loss(&self, job: &Job, stale: bool) {
        let job_id = job.id.clone();
        self.journal.record(Observation::ConnectionLost { job: job_id, scheduler: job.scheduler, stale });
    }

    /// Returns the request of a job for a client that has waited for `elapsed` milliseconds already.
    fn request(&self, job: &Job, elapsed: f64) -> Vec<u8> {
        let time_left = (job.client_timeout - elapsed).max(0.0);
        let (class, effect) = &self.classes[job.class];
        let mut headers = vec![
            ("Host", "s".to_string()),
            ("X-Trace-Id", job.id.clone()),
            ("X-Qos", class.clone()),
            ("X-Expires-In", format!("{}m", time_left.round())),
            ("X-Size-Hint", (job.size_hint * 1e3).round().to_string()),
            ("X-Props", format!("slots={}", job.slots)),
        ];
        if *effect == Effect::ByKey {
            headers.push(("Idempotency-Key", format!("key-{}", job.id)));
        }
        if !job.dependencies.is_empty() {
            let dependencies = job.dependencies.iter().map(|(id, takes_any_answer)| {
                let suffix = if *takes_any_answer { ";any" } else { "" };
                format!("{id}{suffix}")
            });
            headers.push(("X-Start-After", dependencies.collect::<Vec<_>>().join(", ")));
        }
        if let Some(start) = job.start_at {
            headers.push(("X-Start-In", format!("{}m", (start - self.journal.now()).max(0.0).round())));
        }
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        wire::message(&format!("POST /{class}/job HTTP/1.1\r\n"), &headers, b"{\"invoice\":1}")
    }
}
