//! How many jobs that are ready go on at once: as many as the fleet has room for, less what is kept for others.

use crate::Millis;

/// What the fleet has room for, by the decision module's own count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FreeCapacity {
    /// Slots at which a job would start at once.
    pub free: u32,
    /// All slots that are in service, free ones included.
    pub total: u32,
    /// The most free slots at a single worker.
    pub largest_free: u32,
}

/// After a job was turned away all rest so long. The fleet's count of its room is seconds old at worst, so this is
/// only to keep a loop from spinning.
const REST: Millis = 20.0;
/// After a job at the door was refused, those from here stay back so long.
const GIVES_WAY: Millis = 25.0;
/// A job that was turned away rests so long the first time, twice as long each time after that ...
const FIRST_REST: Millis = 20.0;
/// ... up to this.
pub const LONGEST_REST: Millis = 320.0;
/// At most so many jobs go on in one turn of the host's loop, so that fresh ones come between them.
const MOST_AT_ONCE: u32 = 64;

/// The pace of release: a slow start that doubles while all goes well and begins anew when a job is turned away.
pub struct Pace {
    window: u32,
    rests_until: Millis,
    /// Jobs were released in the last turn.
    tried: bool,
    /// Releases in a while, to tell how fast it goes.
    rate: f64,
    counted: Millis,
}

impl Pace {
    /// Nothing released yet.
    pub fn new() -> Pace {
        Pace { window: 1, rests_until: 0.0, tried: false, rate: 0.0, counted: 0.0 }
    }

    /// How many slots and jobs may go on now.
    pub fn open(&mut self, capacity: FreeCapacity, reserve: f64, now: Millis) -> (u32, u32) {
        if now < self.rests_until || capacity.total == 0 {
            return (0, 0);
        }
        if std::mem::take(&mut self.tried) {
            self.window = (self.window * 2).min(MOST_AT_ONCE);
        }
        (capacity.free.saturating_sub(kept(capacity, reserve)), self.window)
    }

    /// Slots that must be free for a job: its own, or of a job that is larger than what may ever be taken, all of that.
    pub fn needs(slots: u32, capacity: FreeCapacity, reserve: f64) -> u32 {
        slots.min(capacity.total - kept(capacity, reserve)).max(1)
    }

    /// A job has gone on.
    pub fn released(&mut self, now: Millis) {
        self.tried = true;
        let gap = (now - self.counted).max(0.0);
        // A mean over about five seconds.
        self.rate = self.rate * (-gap / 5_000.0).exp() + 1.0 / 5_000.0;
        self.counted = now;
    }

    /// The module had no room for a job that went on after all.
    pub fn turned_away(&mut self, now: Millis) {
        (self.window, self.tried) = (1, false);
        self.rests_until = now + REST;
    }

    /// A job that waits for nothing was refused for want of room.
    pub fn crowded(&mut self, now: Millis) {
        self.rests_until = self.rests_until.max(now + GIVES_WAY);
    }

    /// How long a job rests after it was turned away so many times.
    pub fn rest(times: u32) -> Millis {
        (FIRST_REST * f64::from(1u32 << (times.max(1) - 1).min(8))).min(LONGEST_REST)
    }

    /// When jobs may go on again.
    pub fn rests_until(&self) -> Millis {
        self.rests_until
    }

    /// How long it takes until so many jobs have gone on, at the present rate; at least a second, a minute at most.
    pub fn time_for(&self, jobs: usize) -> Millis {
        (jobs as f64 / self.rate.max(1e-6)).clamp(1_000.0, 60_000.0)
    }
}

/// Slots that are left to others: a part of all, rounded up, but never all of them.
fn kept(capacity: FreeCapacity, reserve: f64) -> u32 {
    ((f64::from(capacity.total) * reserve).ceil() as u32).min(capacity.total.saturating_sub(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reserve_stays_free_and_a_small_fleet_still_gets_work() {
        let mut pace = Pace::new();
        let of = |free, total| FreeCapacity { free, total, largest_free: free };
        assert_eq!(pace.open(of(20, 40), 0.15, 0.0), (14, 1));
        assert_eq!(pace.open(of(6, 40), 0.15, 0.0).0, 0);
        assert_eq!(pace.open(of(1, 1), 0.15, 0.0).0, 1);
        assert_eq!(pace.open(of(0, 0), 0.15, 0.0), (0, 0));
        assert_eq!(Pace::needs(4, of(2, 3), 0.15), 2); // four slots will never be free of three
        assert_eq!(Pace::needs(4, of(2, 40), 0.15), 4);
    }

    #[test]
    fn the_window_doubles_while_all_goes_well_and_starts_anew_after_a_refusal() {
        let (mut pace, all) = (Pace::new(), FreeCapacity { free: 99, total: 99, largest_free: 9 });
        let window = |pace: &mut Pace, now| {
            let (_, window) = pace.open(all, 0.0, now);
            pace.released(now);
            window
        };
        let seen: Vec<u32> = (0..8).map(|_| window(&mut pace, 0.0)).collect();
        assert_eq!(seen, [1, 2, 4, 8, 16, 32, 64, 64]);
        pace.turned_away(10.0);
        assert_eq!((pace.open(all, 0.0, 29.0), pace.open(all, 0.0, 30.0)), ((0, 0), (99, 1)));
        assert_eq!([1, 2, 5, 9, 40].map(Pace::rest), [20.0, 40.0, 320.0, 320.0, 320.0]);
    }
}
