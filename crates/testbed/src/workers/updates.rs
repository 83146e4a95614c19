//! Job status updates of workers, with their load reports.

use super::{result_of, trace_id, worker_name, SentJob, Step, Worker};
use crate::journal::Observation;
use crate::wire::{self, Connection};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of attempts to deliver a job status update.
const UPDATE_ATTEMPTS: usize = 10;
/// Pause after a failed attempt to deliver a job status update.
const UPDATE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Delay of job status updates under [`ActiveFaults::delays_updates`].
const UPDATE_DELAY: Duration = Duration::from_secs(1);
/// Number of free slots in an invalid load report: far more than any machine has, but few enough that schedulers
/// which believe it do not use up the memory of the machine that runs the test bed.
const INVALID_FREE_SLOTS: u32 = 500_000;

impl Worker {
    /// Returns the load report: the number of jobs (`inflight`) and of free slots (`x0`).
    pub(super) fn load_report(&self) -> String {
        let state = self.state();
        let is_invalid = state.faults.reports_invalid_load;
        let free_slots = if is_invalid { INVALID_FREE_SLOTS } else { state.machine.free_slots() };
        format!("inflight={}, x0={free_slots}", state.machine.jobs().0)
    }

    /// Records the results of a step and sends job status updates for them.
    pub(super) fn publish(&self, step: Step) {
        let from = worker_name(self.number);
        for SentJob { scheduler, id } in step.running {
            let id = trace_id(&id);
            let update = format!(r#"{{"id":"{id}","from":"{from}","state":"running","share":0.5}}"#);
            self.notify(scheduler, update);
        }
        for SentJob { scheduler, id } in step.started {
            let id = trace_id(&id);
            self.journal.record(Observation::JobStarted { job: id.into(), worker: self.number });
            self.notify(scheduler, format!(r#"{{"id":"{id}","from":"{from}","state":"started"}}"#));
        }
        let fails_jobs = self.state().faults.fails_jobs;
        for SentJob { scheduler, id: machine_id } in step.done {
            let id = trace_id(&machine_id);
            let is_broken = id != machine_id;
            if !is_broken {
                self.journal.record(Observation::AttemptEnded { job: id.into(), worker: self.number });
            }
            if fails_jobs || is_broken {
                self.notify(scheduler, format!(r#"{{"id":"{id}","from":"{from}","state":"failed"}}"#));
                continue;
            }
            self.journal.record(Observation::JobDone { job: id.into(), worker: self.number });
            let load = self.load_report().replace("inflight=", r#""inflight":"#).replace("x0=", r#""x0":"#);
            let result = result_of(id);
            let update = format!(
                r#"{{"id":"{id}","from":"{from}","state":"done","result":"{result}","load":{{{load}}}}}"#
            );
            self.notify(scheduler, update);
        }
    }

    /// Sends a job status update to a scheduler, in up to [`UPDATE_ATTEMPTS`] attempts until it is answered
    /// with 200, 204 or 400.
    pub(super) fn notify(&self, scheduler: usize, body: String) {
        let faults = self.state().faults;
        let Some(addr) = self.schedulers.get(scheduler).copied() else { return };
        tokio::spawn(async move {
            if faults.delays_updates {
                tokio::time::sleep(UPDATE_DELAY).await;
            }
            for _ in 0..=usize::from(faults.duplicates_updates) {
                for _ in 0..UPDATE_ATTEMPTS {
                    match send_update(addr, &body).await {
                        Ok(200 | 204 | 400) => break,
                        _ => tokio::time::sleep(UPDATE_RETRY_PAUSE).await,
                    }
                }
            }
        });
    }
}

async fn send_update(addr: SocketAddr, body: &str) -> std::io::Result<u16> {
    let exchange = async {
        let mut connection = Connection::new(TcpStream::connect(addr).await?);
        let headers = [("Host", "s"), ("Connection", "close")];
        connection.send(&wire::message("POST /_jobs/news HTTP/1.1\r\n", &headers, body.as_bytes())).await?;
        Ok(connection.message().await?.map_or(0, |m| m.status()))
    };
    tokio::time::timeout(Duration::from_secs(2), exchange).await?
}
