//! Stand-in clients: open-loop, so that a slow scheduler gets no less to do; they keep their connections and read on
//! after each answer for what should not be there.

use crate::journal::{Journal, Observation};
use crate::plan::{Job, Plan};
use crate::scenario::{Effect, Scenario};
use crate::wire::{self, Wire};
use crate::workers::result_of;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// After its time is over a client listens on for so long, to tell a late answer from none, in milliseconds.
const LISTENS_ON: f64 = 200.0;
/// Connections of all clients together, at most.
const MOST_CONNECTIONS: usize = 20_000;

/// All clients of one run.
pub struct Clients {
    schedulers: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<Wire>>>,
    classes: Vec<(String, Effect)>,
    journal: Journal,
    room: Arc<Semaphore>,
}

impl Clients {
    /// Clients of these schedulers.
    pub fn new(scenario: &Scenario, schedulers: Vec<SocketAddr>, journal: Journal) -> Arc<Clients> {
        let idle = schedulers.iter().map(|_| Mutex::new(Vec::new())).collect();
        let classes = scenario.class.iter().map(|c| (c.name.clone(), c.effect)).collect();
        let room = Arc::new(Semaphore::new(MOST_CONNECTIONS));
        Arc::new(Clients { schedulers, idle, classes, journal, room })
    }

    fn idle(&self, scheduler: usize) -> MutexGuard<'_, Vec<Wire>> {
        match self.idle[scheduler].lock() {
            Ok(idle) => idle,
            Err(poisoned) => poisoned.into_inner(), // a panic elsewhere; the run fails by that
        }
    }

    /// Brings all jobs of a plan at their times; ends when the last has ended.
    pub async fn run(self: Arc<Clients>, plan: Arc<Plan>) {
        let mut all = tokio::task::JoinSet::new();
        for n in 0..plan.jobs.len() {
            let at = self.journal.moment(plan.jobs[n].at);
            tokio::time::sleep_until(at.into()).await;
            let (clients, plan) = (self.clone(), plan.clone());
            all.spawn(async move {
                let Ok(_room) = clients.room.clone().acquire_owned().await else { return };
                clients.bring(&plan.jobs[n]).await;
            });
            while all.try_join_next().is_some() {}
        }
        while all.join_next().await.is_some() {}
    }

    async fn bring(&self, job: &Job) {
        let (id, scheduler) = (|| job.id.clone(), job.home);
        let (mut wire, kept) = match self.idle(scheduler).pop() {
            Some(wire) => (Some(wire), true),
            None => (None, false),
        };
        let request = self.request(job);
        // A connection that the scheduler has closed between requests is no fault: once more on a new one.
        for again in [kept, false] {
            if wire.is_none() {
                match TcpStream::connect(self.schedulers[scheduler]).await {
                    Ok(stream) => wire = Some(Wire::new(stream)),
                    Err(_) => {
                        let unheard = kept && !again;
                        return self.journal.write(Observation::Broken { job: id(), scheduler, unheard });
                    }
                }
            }
            let Some(mut w) = wire.take() else { return };
            if w.send(&request).await.is_err() {
                if again {
                    continue;
                }
                return self.journal.write(Observation::Broken { job: id(), scheduler, unheard: false });
            }
            let sent = self.journal.now();
            self.journal.write(Observation::Sent { job: id() });
            let limit = job.leaves.unwrap_or(job.patience + LISTENS_ON);
            let answer = tokio::time::timeout(Duration::from_secs_f64(limit / 1e3), w.message()).await;
            match answer {
                Err(_) if job.leaves.is_some() => return self.journal.write(Observation::Left { job: id() }),
                Err(_) => return self.journal.write(Observation::Unanswered { job: id() }),
                Ok(Ok(Some(message))) => {
                    let status = message.status();
                    let own = message.body == result_of(&job.id).as_bytes();
                    let retry_after = message.header("Retry-After").and_then(|v| v.parse().ok());
                    self.journal.write(Observation::Answered { job: id(), status, own, retry_after });
                    // What should not be there shows at once, if it was sent with the answer.
                    tokio::task::yield_now().await;
                    let bytes = w.surplus();
                    if bytes > 0 {
                        self.journal.write(Observation::Surplus { scheduler, bytes });
                    } else if !message.closes() {
                        self.idle(scheduler).push(w);
                    }
                    return;
                }
                Ok(_) if again && self.journal.now() - sent < 50.0 => continue,
                Ok(_) => {
                    return self.journal.write(Observation::Broken { job: id(), scheduler, unheard: false })
                }
            }
        }
    }

    fn request(&self, job: &Job) -> Vec<u8> {
        let (class, effect) = &self.classes[job.class];
        let (expires, slots) = (format!("{}m", job.patience.round()), format!("slots={}", job.slots));
        let hint = format!("{}", (job.hint * 1e3).round());
        let mut headers = vec![
            ("Host", "s".to_string()),
            ("X-Trace-Id", job.id.clone()),
            ("X-Qos", class.clone()),
            ("X-Expires-In", expires),
            ("X-Size-Hint", hint),
            ("X-Props", slots),
        ];
        if *effect == Effect::ByKey {
            headers.push(("Idempotency-Key", format!("key-{}", job.id)));
        }
        if !job.after.is_empty() {
            let names = job.after.iter().map(|(n, any)| format!("{n}{}", if *any { ";any" } else { "" }));
            headers.push(("X-Start-After", names.collect::<Vec<_>>().join(", ")));
        }
        if let Some(start) = job.start {
            headers.push(("X-Start-In", format!("{}m", (start - self.journal.now()).max(0.0).round())));
        }
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        wire::message(&format!("POST /{class}/job HTTP/1.1\r\n"), &headers, b"{\"invoice\":1}")
    }
}
