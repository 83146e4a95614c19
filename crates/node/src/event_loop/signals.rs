//! What the process does at SIGTERM and SIGHUP, and the counters that it logs.

use super::EventLoop;
use crate::invariant;
use crate::metrics::FinalStatus;
use signal_hook::consts::SIGHUP;

impl EventLoop {
    pub(super) fn signalled(&mut self) {
        for signal in self.signals.pending().collect::<Vec<_>>() {
            match signal {
                SIGHUP => self.reload(),
                _ => self.terminate(),
            }
        }
    }

    pub(super) fn terminate(&mut self) {
        if !self.drain.is_shutting_down() {
            log::info!("SIGTERM: {} requests to finish", self.dispatch.unanswered_jobs());
        }
        self.drain.start_shutdown(self.clock.now());
        if !self.drain.has_successor() {
            if self.members.as_ref().is_some_and(|m| m.taken.is_none()) {
                self.leave_members();
            }
            self.drain.shutdown_deadline().into_iter().for_each(|at| self.dispatch.set_shutdown_deadline(at));
            self.dispatch.close_deferral();
        }
    }

    /// Takes over what the configuration file says now, as far as that can be done without a restart; nothing
    /// under way is disturbed. A file that cannot be read changes nothing.
    fn reload(&mut self) {
        let new = match self.reload.read() {
            Ok(new) => new,
            Err(e) => {
                self.dispatch.metrics.reloads_failed += 1;
                return log::error!("SIGHUP: the configuration stays as it was: {e}");
            }
        };
        self.dispatch.metrics.reloads_ok += 1;
        self.descriptors = new.sockets;
        self.share();
        new.waiting.into_iter().for_each(|limits| self.dispatch.set_deferral_limits(limits));
        let moved = new.discovery != self.discovery;
        log::info!("SIGHUP: discovery at {}{}", new.discovery, if moved { "" } else { ", as before" });
        if !new.restart.is_empty() {
            log::warn!("SIGHUP: only a restart takes over another {}", new.restart.join(", "));
        }
        if moved {
            self.move_watch(new.discovery);
        }
    }

    pub(super) fn log_counters(&self, when: &str) {
        let (f, open, broken) = (&self.dispatch.metrics, self.sockets.len(), invariant::broken());
        let [served, refused, failed] =
            [FinalStatus::Served, FinalStatus::Rejected, FinalStatus::Failed].map(|how| f.total(how));
        let (taken, left, attempts, short) = (f.taken, f.left, f.attempts, f.short);
        log::info!(
            "{when}: taken={taken} served={served} refused={refused} failed={failed} left={left} \
             attempts={attempts} short={short} open={open}{}{broken}",
            f.denials()
        );
    }
}
