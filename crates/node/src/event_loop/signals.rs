//! Handling of SIGTERM and SIGHUP, and logging of the counters.

use super::EventLoop;
use crate::invariant;
use crate::metrics::FinalStatus;
use signal_hook::consts::SIGHUP;
use std::fmt;

/// Occasion on which the counters are logged.
#[derive(Clone, Copy, Debug)]
pub(super) enum CounterOccasion {
    /// At a regular interval.
    Periodic,
    /// When the process exits.
    Exit,
}

impl fmt::Display for CounterOccasion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            CounterOccasion::Periodic => "periodic",
            CounterOccasion::Exit => "exit",
        })
    }
}

impl EventLoop {
    /// Handles all pending signals.
    pub(super) fn handle_signals(&mut self) {
        let pending: Vec<_> = self.signals.pending().collect();
        for signal in pending {
            match signal {
                SIGHUP => self.reload_configuration(),
                _ => self.start_shutdown(), // SIGTERM
            }
        }
    }

    /// Starts the shutdown. A shutdown that is already in progress keeps its deadline.
    pub(super) fn start_shutdown(&mut self) {
        if !self.drain.is_shutting_down() {
            log::info!("shutdown started: unanswered_jobs={}", self.dispatch.unanswered_jobs());
        }
        self.drain.start_shutdown(self.clock.now());
        if self.drain.has_successor() {
            // The successor takes over the membership, and open jobs migrate to it.
            return;
        }
        if self.membership.as_ref().is_some_and(|membership| membership.termination_reason.is_none()) {
            self.leave_membership();
        }
        if let Some(deadline) = self.drain.shutdown_deadline() {
            self.dispatch.set_shutdown_deadline(deadline);
        }
        self.dispatch.close_deferral();
    }

    /// Reloads the configuration files and applies all changes that need no restart, without disturbing work
    /// in progress. If a file contains any error, nothing changes.
    fn reload_configuration(&mut self) {
        let config = match self.reload.read() {
            Ok(config) => config,
            Err(e) => {
                self.dispatch.metrics.reloads_failed += 1;
                return log::error!("configuration reload failed: error={e}");
            }
        };
        self.dispatch.metrics.reloads_ok += 1;
        self.limits.set_descriptors(config.max_descriptors);
        self.divide_limits();
        if let Some(limits) = config.deferral_limits {
            self.dispatch.set_deferral_limits(limits);
        }
        let has_moved = self.watch.has_moved_to(config.discovery);
        log::info!("configuration reloaded: discovery={} moved={has_moved}", config.discovery);
        if !config.restart_required.is_empty() {
            log::warn!("restart needed: changed={}", config.restart_required.join(", "));
        }
        if has_moved {
            self.restart_watch_at(config.discovery);
        }
    }

    /// Logs the counters and the number of violations of each invariant.
    pub(super) fn log_counters(&self, occasion: CounterOccasion) {
        let metrics = &self.dispatch.metrics;
        let accepted = metrics.accepted;
        let served = metrics.job_count(FinalStatus::Served);
        let rejected = metrics.job_count(FinalStatus::Rejected);
        let failed = metrics.job_count(FinalStatus::Failed);
        let disconnected = metrics.disconnected;
        let attempts = metrics.attempts;
        let descriptor_shortages = metrics.descriptor_shortages;
        let memory_shortages = metrics.memory_shortages;
        let invalid_reports = metrics.invalid_reports;
        let buffered_bytes = self.buffered_bytes();
        let connections = self.sockets.len();
        let timers = self.timer_count();
        let denials = metrics.denial_fields();
        let violations = invariant::violations();
        log::info!(
            "counters: occasion={occasion} accepted={accepted} served={served} rejected={rejected} \
             failed={failed} disconnected={disconnected} attempts={attempts} \
             descriptor_shortages={descriptor_shortages} memory_shortages={memory_shortages} \
             invalid_reports={invalid_reports} buffered_bytes={buffered_bytes} connections={connections} \
             timers={timers}{denials}{violations}"
        );
    }
}
