//! Checks a run against the rules. The evidence is what the mock components and the test bed observed. The
//! reports of the schedulers about themselves do not count, except for their membership views.

use crate::journal::{Entry, Observation};
use crate::plan::Job;
use crate::runner::Run;
use crate::scenario::Effect;
use crate::schedulers::SHUTDOWN_GRACE_MS;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

mod clients;
mod copies;
mod drains;
mod members;
mod memory;
mod starts;
#[cfg(test)]
mod tests;

/// Maximum number of attempts for one job.
const MAX_ATTEMPTS: usize = 5;
/// Time that the test bed needs to catch up after it stalled, in milliseconds.
const STALL_RECOVERY_MS: f64 = 250.0;
/// Maximum delay between the exit of a process and its journal entry, in milliseconds.
const EXIT_RECORDING_DELAY_MS: f64 = 10.0;
/// Maximum number of examples that are kept for each broken rule.
const MAX_EXAMPLES: usize = 5;

/// A rule that every run must keep.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each accepted job gets exactly one final answer, before its client times out.
    OneAnswer,
    /// Each served result was made by a worker for that job.
    OwnResult,
    /// A draining worker gets no new jobs.
    #[serde(rename = "drains")]
    DrainGrace,
    /// A worker in slow start is not overloaded.
    #[serde(rename = "cold")]
    SlowStartLoad,
    /// A job that may have run is retried only where its class allows that.
    #[serde(rename = "repeats")]
    RetryPolicy,
    /// A deferred job does not reach a worker before its start time and its dependencies.
    #[serde(rename = "early")]
    StartWhenReady,
    /// A job whose dependency was not served never reaches a worker.
    #[serde(rename = "doomed")]
    DependencyServed,
    /// No attempt is started for a client that has disconnected.
    #[serde(rename = "left")]
    ClientConnected,
    /// The time left that is sent to a worker does not exceed the time that the client still waits.
    #[serde(rename = "time_told")]
    TimeLeft,
    /// Members remove exactly the members that fail, once for each fault; at the end of the run all of them
    /// believe all members to be alive.
    #[serde(rename = "members")]
    Membership,
    /// No scheduler uses more memory than its limit.
    #[serde(rename = "memory")]
    MemoryLimit,
    /// No job has two attempts at once where the settings do not allow it.
    #[serde(rename = "copies")]
    SecondCopies,
}

impl fmt::Debug for Rule {
    /// Writes the name under which the console shows the rule.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "OneAnswer",
            Rule::OwnResult => "OwnResult",
            Rule::DrainGrace => "Drains",
            Rule::SlowStartLoad => "Cold",
            Rule::RetryPolicy => "Repeats",
            Rule::StartWhenReady => "Early",
            Rule::DependencyServed => "Doomed",
            Rule::ClientConnected => "Left",
            Rule::TimeLeft => "TimeTold",
            Rule::Membership => "Members",
            Rule::MemoryLimit => "Memory",
            Rule::SecondCopies => "Copies",
        })
    }
}

/// The breaches of one rule in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The broken rule.
    pub rule: Rule,
    /// The number of breaches.
    pub count: usize,
    /// Descriptions of the first few breaches.
    pub examples: Vec<String>,
}

/// Returns the breaches of all rules; empty if the run keeps them.
pub fn check(run: &Run) -> Vec<Breach> {
    let mut breaches = BTreeMap::<Rule, (usize, Vec<String>)>::new();
    let mut add = |rule: Rule, example: String| {
        let (count, examples) = breaches.entry(rule).or_default();
        *count += 1;
        if examples.len() < MAX_EXAMPLES {
            examples.push(example);
        }
    };
    let index = RunIndex::new(run);
    check_answers(&index, &mut add);
    check_attempts(&index, &mut add);
    drains::check_drains(&index, &mut add);
    starts::check_slow_start(&index, &mut add);
    starts::check_deferred_starts(&index, &mut add);
    clients::check_disconnects(&index, &mut add);
    clients::check_time_left(&index, &mut add);
    members::check_membership(run, &mut add);
    memory::check_memory(run, &mut add);
    copies::check_copies(&index, &mut add);
    breaches.into_iter().map(|(rule, (count, examples))| Breach { rule, count, examples }).collect()
}

/// The observations of one job. Times are in milliseconds from the start of the journal.
#[derive(Default)]
pub struct JobHistory<'a> {
    /// When the client first sent it.
    pub sent: Option<f64>,
    /// How often the client sent it.
    pub send_count: usize,
    /// Its outcomes as observed by the client, with their times.
    pub outcomes: Vec<(f64, &'a Observation)>,
    /// Its arrivals at workers: time, worker, status of the worker's answer, and whether the job may have
    /// run.
    pub arrivals: Vec<(f64, usize, u16, bool)>,
    /// When workers finished it.
    pub done: Vec<f64>,
}

impl JobHistory<'_> {
    /// Returns the status of the client's first answer; `None` if it got none.
    pub fn status(&self) -> Option<u16> {
        self.outcomes.iter().find_map(|(_, outcome)| {
            if let Observation::Answered { status, .. } = outcome {
                Some(*status)
            } else {
                None
            }
        })
    }

    /// Returns the time of the client's first answer, in milliseconds; `None` if it got none.
    pub fn answered_at(&self) -> Option<f64> {
        self.outcomes.iter().find(|(_, end)| matches!(end, Observation::Answered { .. })).map(|(at, _)| *at)
    }
}

/// The observations of a run, indexed by job.
pub struct RunIndex<'a> {
    /// The indexed run.
    pub run: &'a Run,
    /// The history of each job, by the client's trace id.
    pub histories: HashMap<&'a str, JobHistory<'a>>,
}

impl<'a> RunIndex<'a> {
    /// Indexes the observations of a run by job.
    pub fn new(run: &'a Run) -> RunIndex<'a> {
        let mut histories = HashMap::<&str, JobHistory>::new();
        for Entry { at, observation } in &run.entries {
            match observation {
                Observation::Sent { job } => {
                    let history = histories.entry(job).or_default();
                    history.sent.get_or_insert(*at);
                    history.send_count += 1;
                }
                Observation::Answered { job, .. }
                | Observation::ConnectionLost { job, .. }
                | Observation::ClientLeft { job }
                | Observation::TimedOut { job } => {
                    histories.entry(job).or_default().outcomes.push((*at, observation))
                }
                Observation::JobReceived { job, worker, status, may_run, .. } => {
                    histories.entry(job).or_default().arrivals.push((*at, *worker, *status, *may_run));
                }
                Observation::JobDone { job, .. } => histories.entry(job).or_default().done.push(*at),
                _ => {}
            }
        }
        RunIndex { run, histories }
    }

    /// Returns the planned jobs that were observed, with their histories.
    pub fn jobs(&self) -> impl Iterator<Item = (&'a Job, &JobHistory<'a>)> + '_ {
        let run = self.run;
        run.plan.jobs.iter().filter_map(|job| Some((job, self.histories.get(job.id.as_str())?)))
    }

    /// Returns when a job became ready: the latest of its submission, its start time and the answers to its
    /// dependencies. `None` if it never became ready.
    pub fn ready_at(&self, job: &Job, history: &JobHistory) -> Option<f64> {
        let mut ready = job.start_at.unwrap_or(0.0).max(history.sent?);
        for (id, takes_any_answer) in &job.dependencies {
            let dependency = self.histories.get(id.as_str())?;
            if !takes_any_answer && dependency.status() != Some(200) {
                return None;
            }
            ready = ready.max(dependency.answered_at()?);
        }
        Some(ready)
    }

    /// Returns whether the test bed stalled at a time or just before it. The recorded event may then have
    /// happened earlier, by up to the length of the stall.
    fn is_near_stall(&self, at: f64) -> bool {
        let stalls = self.run.entries.iter().filter_map(|entry| match entry.observation {
            Observation::TestBedStalled { ms } => Some((entry.at - ms, entry.at)),
            _ => None,
        });
        stalls.into_iter().any(|(from, to)| at >= from && at <= to + STALL_RECOVERY_MS)
    }

    /// Returns whether a job may be lost with its scheduler. `sent` is when the job was sent, and `ended`
    /// when its connection ended. The job may be lost if the scheduler was killed by SIGKILL in between.
    /// But a job that was sent later than the shutdown grace after a SIGTERM must be answered.
    fn may_be_lost(&self, scheduler: usize, sent: f64, ended: f64) -> bool {
        let mut terminated_at = None;
        for entry in self.run.entries.iter().filter(|entry| entry.at <= ended) {
            match entry.observation {
                Observation::SchedulerTerminated { scheduler: s } if s == scheduler => {
                    terminated_at.get_or_insert(entry.at);
                }
                // The terminated process has exited, or its replacement is up.
                Observation::SchedulerUp { scheduler: s }
                | Observation::SchedulerExited { scheduler: s, .. }
                    if s == scheduler =>
                {
                    terminated_at = None;
                }
                _ => {}
            }
        }
        let had_to_answer = terminated_at.is_some_and(|at| sent > at + SHUTDOWN_GRACE_MS);
        !had_to_answer && self.was_killed(scheduler, sent, ended)
    }

    /// Returns the longest time from a request on a connection that had ended to the journal entry of the exit
    /// of its scheduler, in milliseconds. The exiting process and the test bed, which records the exit, may have
    /// to wait for a processor meanwhile.
    fn max_exit_delay(&self, scheduler: usize, sent: f64) -> f64 {
        let until = sent + 2.0 * EXIT_RECORDING_DELAY_MS;
        let (mut process_wait, mut own_wait) = (0.0, 0.0f64);
        for entry in self.run.entries.iter().filter(|entry| entry.at >= sent && entry.at <= until) {
            match entry.observation {
                Observation::SchedulerWaited { scheduler: s, ms } if s == scheduler => process_wait += ms,
                Observation::TestBedWaited { ms } => own_wait = own_wait.max(ms),
                _ => {}
            }
        }
        EXIT_RECORDING_DELAY_MS + process_wait + own_wait
    }

    /// Returns whether a scheduler's process had exited or been killed by a time, and no other one was up.
    fn has_exited(&self, scheduler: usize, at: f64) -> bool {
        let is_exit = |observation: &Observation| match observation {
            Observation::SchedulerUp { scheduler: s } if *s == scheduler => Some(false),
            Observation::SchedulerExited { scheduler: s, .. }
            | Observation::SchedulerKilled { scheduler: s }
                if *s == scheduler =>
            {
                Some(true)
            }
            _ => None,
        };
        let entries = self.run.entries.iter().filter(|entry| entry.at <= at);
        entries.filter_map(|entry| is_exit(&entry.observation)).next_back().unwrap_or(false)
    }

    /// Returns whether a scheduler was killed by SIGKILL, or was not up again after that, at some moment from
    /// `from` to `to`. Jobs sent between the kill and the exit of the process are lost too.
    fn was_killed(&self, scheduler: usize, from: f64, to: f64) -> bool {
        let mut killed_at = None;
        for entry in &self.run.entries {
            match entry.observation {
                Observation::SchedulerKilled { scheduler: s } if s == scheduler => killed_at = Some(entry.at),
                Observation::SchedulerUp { scheduler: s }
                    if s == scheduler && killed_at.take().is_some_and(|at| at <= to && entry.at >= from) =>
                {
                    return true;
                }
                _ => {}
            }
        }
        killed_at.is_some_and(|at| at <= to)
    }
}

fn check_answers(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    for (job, history) in index.jobs() {
        let id = &job.id;
        let answers =
            history.outcomes.iter().filter(|(_, end)| matches!(end, Observation::Answered { .. })).count();
        if answers > 1 {
            add(Rule::OneAnswer, format!("{id} has {answers} answers"));
        }
        if history.sent.is_some() && history.outcomes.is_empty() {
            add(Rule::OneAnswer, format!("{id} has no outcome"));
        }
        for (at, outcome) in &history.outcomes {
            match outcome {
                Observation::TimedOut { .. } => {
                    add(Rule::OneAnswer, format!("{id} has no answer when its client times out"));
                }
                Observation::ConnectionLost { scheduler, stale: true, .. } => {
                    let is_lost = |sent: &f64| {
                        // The process had exited and the job never reached a worker: the scheduler has not
                        // read the request, as its connection had ended.
                        let exited_by = *sent + index.max_exit_delay(*scheduler, *sent);
                        let was_never_read =
                            index.has_exited(*scheduler, exited_by) && history.arrivals.is_empty();
                        !was_never_read && !index.may_be_lost(*scheduler, *sent, *at)
                    };
                    if let Some(sent) = history.sent.filter(is_lost) {
                        add(
                            Rule::OneAnswer,
                            format!("{id} is lost: sent at {sent:.0} ms, no scheduler listens at {at:.0} ms"),
                        );
                    }
                }
                Observation::ConnectionLost { scheduler, .. } => {
                    // A job that was never sent was not accepted; one whose scheduler was killed may be lost.
                    if let Some(sent) = history.sent.filter(|sent| !index.may_be_lost(*scheduler, *sent, *at))
                    {
                        add(
                            Rule::OneAnswer,
                            format!("{id} is lost: sent at {sent:.0} ms, its connection ended at {at:.0} ms"),
                        );
                    }
                }
                Observation::Answered { status: 200, is_own_result: false, .. } => {
                    add(Rule::OwnResult, format!("{id} is served with a body that is not its result"));
                }
                Observation::Answered { status: 200, .. } if history.done.is_empty() => {
                    add(Rule::OwnResult, format!("{id} is served though no worker has finished it"));
                }
                _ => {}
            }
        }
    }
    for entry in &index.run.entries {
        if let Observation::UnexpectedBytes { scheduler, bytes } = entry.observation {
            add(
                Rule::OneAnswer,
                format!("{bytes} bytes from scheduler {scheduler} after an answer, at {:.0} ms", entry.at),
            );
        }
    }
}

fn check_attempts(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    let cell = index.run.scenario.fleet.cell.max(1);
    for (job, history) in index.jobs() {
        let class = &index.run.scenario.class[job.class];
        let window_ms = class.deduplication_window_ms;
        if history.arrivals.len() > MAX_ATTEMPTS {
            add(Rule::RetryPolicy, format!("{} reached workers {} times", job.id, history.arrivals.len()));
        }
        let Some(first) = history.arrivals.iter().position(|(.., may_run)| *may_run) else { continue };
        let (at, worker, ..) = history.arrivals[first];
        for (next_at, next, ..) in &history.arrivals[first + 1..] {
            // If its scheduler is killed during a request on a reused connection, the client itself may
            // resend it.
            let by_client = history.send_count > 1 && index.was_killed(job.scheduler, at, *next_at);
            let allowed = by_client
                || match class.effect {
                    Effect::Repeatable => true,
                    Effect::Once => false,
                    Effect::ByKey => {
                        let is_in_time = next_at - at < window_ms || index.is_near_stall(*next_at);
                        next / cell == worker / cell && is_in_time
                    }
                };
            if !allowed {
                add(
                    Rule::RetryPolicy,
                    format!("{} reached worker {worker} at {at:.0} and {next} at {next_at:.0} ms", job.id),
                );
            }
        }
    }
}
