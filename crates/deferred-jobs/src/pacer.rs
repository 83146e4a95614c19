//! Pacing of releases: limits them to the free capacity of the fleet, less the share reserved for other jobs.

use crate::Millis;

#[cfg(test)]
mod tests;

/// The fleet's capacity, as counted by the decision module.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FreeCapacity {
    /// Number of slots at which a job would start immediately.
    pub free_slots: u32,
    /// Number of free slots and of slots that this scheduler's own pending attempts occupy.
    pub total_slots: u32,
    /// Largest number of free slots at a single worker.
    pub max_free_slots: u32,
}

/// The pause of all releases after a released job was rejected. It only has to prevent a busy loop: the
/// decision module's count of free slots is at most a few seconds old, so a wrong count is soon corrected.
const PAUSE_AFTER_REJECTION: Millis = 20.0;
/// The pause of all releases after the decision module has rejected a job that is not requeued, such as one
/// that was never deferred.
const PAUSE_FOR_ARRIVALS: Millis = 25.0;
/// The backoff of a job after its first rejection, which is doubled with each further rejection.
const FIRST_BACKOFF: Millis = 20.0;
/// The longest backoff of a job.
const MAX_BACKOFF: Millis = 320.0;
/// Maximum number of doublings of the backoff, so that the shift does not overflow. [`MAX_BACKOFF`] is
/// reached with fewer doublings.
const MAX_DOUBLINGS: u32 = 8;
/// Maximum number of releases per turn, that is, per iteration of the host's event loop, so that new arrivals
/// are handled between turns.
const MAX_RELEASES_PER_TURN: u32 = 64;
/// Time constant of the exponential moving average of the release rate.
const RATE_WINDOW: Millis = 5_000.0;
/// Minimum release rate in releases per millisecond; keeps time estimates finite before the first release.
const MIN_RATE: f64 = 1e-6;
/// Lower bound of the result of [`ReleasePacer::time_to_release`].
const MIN_ESTIMATE: Millis = 1_000.0;
/// Upper bound of the result of [`ReleasePacer::time_to_release`].
const MAX_ESTIMATE: Millis = 60_000.0;

/// The jobs that may be released in a turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReleaseAllowance {
    /// Maximum number of slots that the released jobs may require in total.
    pub slots: u32,
    /// Maximum number of jobs.
    pub jobs: u32,
}

/// Paces releases by a window that doubles after each turn with releases and is reset to 1 after a rejection.
#[derive(Debug)]
pub struct ReleasePacer {
    /// Maximum number of jobs released in a turn.
    window: u32,
    paused_until: Millis,
    /// Whether jobs were released in the last turn.
    released_in_last_turn: bool,
    /// Average release rate, in releases per millisecond.
    rate: f64,
    rate_updated_at: Millis,
}

impl ReleasePacer {
    /// Creates a pacer that has not released any jobs.
    pub fn new() -> ReleasePacer {
        ReleasePacer {
            window: 1,
            paused_until: 0.0,
            released_in_last_turn: false,
            rate: 0.0,
            rate_updated_at: 0.0,
        }
    }

    /// Begins a turn and returns the allowance for it.
    pub fn begin_turn(
        &mut self,
        capacity: FreeCapacity,
        reserved_share: f64,
        now: Millis,
    ) -> ReleaseAllowance {
        if now < self.paused_until || capacity.total_slots == 0 {
            return ReleaseAllowance::default();
        }
        if self.released_in_last_turn {
            self.released_in_last_turn = false;
            self.window = (self.window * 2).min(MAX_RELEASES_PER_TURN);
        }
        ReleaseAllowance {
            slots: capacity.free_slots.saturating_sub(reserved_slots(capacity, reserved_share)),
            jobs: self.window,
        }
    }

    /// Returns the number of slots that must be free, besides the reserved ones, for the release of a job
    /// that occupies `slots` slots. It is limited to the slots that deferred jobs may use in total, because
    /// more are never free.
    pub fn required_slots(slots: u32, capacity: FreeCapacity, reserved_share: f64) -> u32 {
        slots.min(capacity.total_slots - reserved_slots(capacity, reserved_share)).max(1)
    }

    /// Records a release.
    pub fn record_release(&mut self, now: Millis) {
        self.released_in_last_turn = true;
        let elapsed = (now - self.rate_updated_at).max(0.0);
        self.rate = self.rate * (-elapsed / RATE_WINDOW).exp() + 1.0 / RATE_WINDOW;
        self.rate_updated_at = now;
    }

    /// Records that the decision module rejected a released job: pauses releases and resets the window.
    pub fn record_rejection(&mut self, now: Millis) {
        self.window = 1;
        self.released_in_last_turn = false;
        self.paused_until = now + PAUSE_AFTER_REJECTION;
    }

    /// Pauses all releases for a short time, so that jobs that are not deferred go first.
    pub fn yield_to_arrivals(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now + PAUSE_FOR_ARRIVALS);
    }

    /// Returns the backoff of a job after the given number of rejections.
    pub fn backoff(rejections: u32) -> Millis {
        let doublings = (rejections.max(1) - 1).min(MAX_DOUBLINGS);
        (FIRST_BACKOFF * f64::from(1u32 << doublings)).min(MAX_BACKOFF)
    }

    /// Returns the end of the current pause of releases.
    pub fn paused_until(&self) -> Millis {
        self.paused_until
    }

    /// Estimates the time until the given number of jobs have been released.
    pub fn time_to_release(&self, jobs: usize) -> Millis {
        (jobs as f64 / self.rate.max(MIN_RATE)).clamp(MIN_ESTIMATE, MAX_ESTIMATE)
    }
}

/// Returns the number of slots reserved for other jobs: the given share, rounded up, but never all slots.
fn reserved_slots(capacity: FreeCapacity, reserved_share: f64) -> u32 {
    let reserved = (f64::from(capacity.total_slots) * reserved_share).ceil() as u32;
    reserved.min(capacity.total_slots.saturating_sub(1))
}
