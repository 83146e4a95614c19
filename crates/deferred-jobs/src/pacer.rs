//! How many ready jobs are released at once: as many as the fleet has room for, less what is reserved for others.

use crate::Millis;

#[cfg(test)]
mod tests;

/// The fleet's capacity, as the decision module counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FreeCapacity {
    /// Slots at which a job would start at once.
    pub free: u32,
    /// All slots that are in service, free ones included.
    pub total: u32,
    /// The most free slots at a single worker.
    pub largest_free: u32,
}

/// The pause of all releases after a released job was rejected. It only has to keep a loop from spinning, as the
/// decision module's count of its capacity is seconds old at worst.
const PAUSE_AFTER_REJECTION: Millis = 20.0;
/// The pause of all releases after a job that was not deferred was rejected.
const PAUSE_FOR_ARRIVALS: Millis = 25.0;
/// The backoff of a job after its first rejection; it doubles with each further one.
const FIRST_BACKOFF: Millis = 20.0;
/// The longest backoff of a job.
const MAX_BACKOFF: Millis = 320.0;
/// Keeps the shift that doubles the backoff within its type; the backoff has reached its maximum long before.
const MAX_DOUBLINGS: u32 = 8;
/// The most releases in one turn of the host's loop, so that new arrivals come between them.
const MAX_RELEASES_PER_TURN: u32 = 64;
/// The release rate is a mean over about this time.
const RATE_WINDOW: Millis = 5_000.0;
/// Keeps the estimate of a time finite before the first release, in releases per millisecond.
const MIN_RATE: f64 = 1e-6;
/// The shortest time that is estimated for any number of releases.
const MIN_ESTIMATE: Millis = 1_000.0;
/// The longest time that is estimated for any number of releases.
const MAX_ESTIMATE: Millis = 60_000.0;

/// How much may be released now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReleaseAllowance {
    /// The most slots that the released jobs may need together.
    pub slots: u32,
    /// The most jobs.
    pub jobs: u32,
}

/// The pace of releases: a window that doubles while all goes well and starts anew after a rejection.
#[derive(Debug)]
pub struct ReleasePacer {
    window: u32,
    paused_until: Millis,
    /// Jobs were released in the last turn.
    released_in_last_turn: bool,
    /// Releases per millisecond.
    rate: f64,
    rate_updated_at: Millis,
}

impl ReleasePacer {
    /// A pacer that has released nothing yet.
    pub fn new() -> ReleasePacer {
        ReleasePacer {
            window: 1,
            paused_until: 0.0,
            released_in_last_turn: false,
            rate: 0.0,
            rate_updated_at: 0.0,
        }
    }

    /// Begins a turn: returns how much may be released in it.
    pub fn begin_turn(
        &mut self,
        capacity: FreeCapacity,
        reserved_share: f64,
        now: Millis,
    ) -> ReleaseAllowance {
        if now < self.paused_until || capacity.total == 0 {
            return ReleaseAllowance::default();
        }
        if self.released_in_last_turn {
            self.released_in_last_turn = false;
            self.window = (self.window * 2).min(MAX_RELEASES_PER_TURN);
        }
        ReleaseAllowance {
            slots: capacity.free.saturating_sub(reserved_slots(capacity, reserved_share)),
            jobs: self.window,
        }
    }

    /// The slots that must be free for a job: its own, but no more than deferred jobs may ever take.
    pub fn required_slots(slots: u32, capacity: FreeCapacity, reserved_share: f64) -> u32 {
        slots.min(capacity.total - reserved_slots(capacity, reserved_share)).max(1)
    }

    /// Counts a release.
    pub fn record_release(&mut self, now: Millis) {
        self.released_in_last_turn = true;
        let elapsed = (now - self.rate_updated_at).max(0.0);
        self.rate = self.rate * (-elapsed / RATE_WINDOW).exp() + 1.0 / RATE_WINDOW;
        self.rate_updated_at = now;
    }

    /// The decision module rejected a released job: the window starts anew after a pause.
    pub fn record_rejection(&mut self, now: Millis) {
        self.window = 1;
        self.released_in_last_turn = false;
        self.paused_until = now + PAUSE_AFTER_REJECTION;
    }

    /// Pauses all releases for a moment, so that jobs which are not deferred come first.
    pub fn yield_to_arrivals(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now + PAUSE_FOR_ARRIVALS);
    }

    /// The backoff of a job after so many rejections.
    pub fn backoff(rejections: u32) -> Millis {
        let doublings = (rejections.max(1) - 1).min(MAX_DOUBLINGS);
        (FIRST_BACKOFF * f64::from(1u32 << doublings)).min(MAX_BACKOFF)
    }

    /// Until when nothing is released.
    pub fn paused_until(&self) -> Millis {
        self.paused_until
    }

    /// An estimate of the time until so many jobs have been released.
    pub fn time_to_release(&self, jobs: usize) -> Millis {
        (jobs as f64 / self.rate.max(MIN_RATE)).clamp(MIN_ESTIMATE, MAX_ESTIMATE)
    }
}

/// Slots that are left to other jobs: a share of all, rounded up, but never all of them.
fn reserved_slots(capacity: FreeCapacity, reserved_share: f64) -> u32 {
    let share = (f64::from(capacity.total) * reserved_share).ceil() as u32;
    share.min(capacity.total.saturating_sub(1))
}
