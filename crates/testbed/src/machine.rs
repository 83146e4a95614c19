//! A worker's inside, without sockets or clock: slots, a queue served in order, jobs that share nothing, and a start
//! from cold.

use std::collections::VecDeque;

/// A job at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The client's id.
    pub id: String,
    /// Slots that it takes.
    pub slots: u32,
    /// What is left of it, in milliseconds at speed 1.
    pub left: f64,
}

/// What a worker does with a job that is brought to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is in the queue or at work.
    Yes,
    /// It is here already.
    Twice,
    /// There is no room.
    Full,
}

/// The inside of a worker.
#[derive(Clone, Debug)]
pub struct Machine {
    slots: u32,
    queue_limit: usize,
    speed: f64,
    cold_from: f64,
    warm_ms: f64,
    running: Vec<Work>,
    queue: VecDeque<Work>,
    /// When it last started cold; `None`: long ago.
    started: Option<f64>,
    now: f64,
    /// Divides its speed.
    pub slower: f64,
    /// It does nothing with what it has.
    pub hangs: bool,
}

impl Machine {
    /// A warm one that has nothing to do.
    pub fn new(slots: u32, queue_limit: usize, speed: f64, cold_from: f64, warm_ms: f64) -> Machine {
        let (running, queue, started, now, slower, hangs) =
            (Vec::new(), VecDeque::new(), None, 0.0, 1.0, false);
        Machine { slots, queue_limit, speed, cold_from, warm_ms, running, queue, started, now, slower, hangs }
    }

    /// The part of its capacity that it has by now.
    pub fn warmth(&self, now: f64) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |at| now - at);
        (self.cold_from + (1.0 - self.cold_from) * age / self.warm_ms).min(1.0)
    }

    /// Lets time pass, in steps short against its jobs; gives what has begun and what is done since, in order.
    pub fn advance(&mut self, now: f64) -> (Vec<String>, Vec<String>) {
        let (mut begun, mut done) = (Vec::new(), Vec::new());
        let passed = (now - self.now).max(0.0);
        self.now = now;
        if self.hangs {
            return (begun, done);
        }
        let worked = passed * self.speed * self.warmth(now) / self.slower;
        for work in &mut self.running {
            work.left -= worked;
        }
        self.running.retain(|work| {
            if work.left <= 0.0 {
                done.push(work.id.clone());
            }
            work.left > 0.0
        });
        self.begin(&mut begun);
        (begun, done)
    }

    fn begin(&mut self, begun: &mut Vec<String>) {
        // The first waits until it fits.
        while let Some(first) = self.queue.front() {
            if self.in_use() + first.slots > self.slots && !self.running.is_empty() {
                return;
            }
            begun.push(first.id.clone());
            self.running.extend(self.queue.pop_front());
        }
    }

    /// A job is brought. It begins with the next step, if it fits.
    pub fn bring(&mut self, work: Work) -> Taken {
        if self.running.iter().chain(&self.queue).any(|w| w.id == work.id) {
            return Taken::Twice;
        }
        if self.queue.len() >= self.queue_limit {
            return Taken::Full;
        }
        self.queue.push_back(work);
        Taken::Yes
    }

    /// A job is given up: what waits is dropped, what runs goes on.
    pub fn give_up(&mut self, id: &str) {
        self.queue.retain(|w| w.id != id);
    }

    /// It dies, and starts cold at this time with nothing; gives what is lost.
    pub fn crash(&mut self, now: f64) -> Vec<String> {
        let lost = self.running.drain(..).chain(self.queue.drain(..)).map(|w| w.id).collect();
        (self.started, self.now, self.slower, self.hangs) = (Some(now), now, 1.0, false);
        lost
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        self.running.iter().map(|w| w.slots).sum()
    }

    /// Slots that are free, as it reports them.
    pub fn free(&self) -> u32 {
        let waiting: u32 = self.queue.iter().map(|w| w.slots).sum();
        self.slots.saturating_sub(self.in_use() + waiting)
    }

    /// Jobs here, and those of them that wait.
    pub fn jobs(&self) -> (usize, usize) {
        (self.running.len() + self.queue.len(), self.queue.len())
    }

    /// Whether a job is here.
    pub fn has(&self, id: &str) -> bool {
        self.running.iter().chain(&self.queue).any(|w| w.id == id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn work(id: &str, slots: u32, left: f64) -> Work {
        Work { id: id.into(), slots, left }
    }

    #[test]
    fn jobs_begin_in_order_and_a_cold_machine_is_slower() {
        let mut m = Machine::new(2, 2, 2.0, 0.5, 1_000.0);
        assert_eq!(m.bring(work("a", 1, 100.0)), Taken::Yes);
        assert_eq!(m.bring(work("a", 1, 100.0)), Taken::Twice);
        m.advance(0.0);
        m.bring(work("b", 2, 100.0));
        m.bring(work("c", 1, 100.0));
        assert_eq!(m.bring(work("d", 1, 1.0)), Taken::Full);
        // b does not fit, and c does not pass it.
        assert_eq!(m.advance(10.0), (vec![], vec![]));
        assert_eq!((m.free(), m.jobs()), (0, (3, 2)));
        assert_eq!(m.advance(50.0), (vec!["b".into()], vec!["a".into()]));
        assert_eq!(m.crash(100.0), ["b", "c"]);
        m.bring(work("e", 4, 100.0)); // larger than the machine: alone
        m.advance(100.0);
        assert_eq!(m.advance(150.0).1, Vec::<String>::new());
        assert!((m.warmth(150.0) - 0.525).abs() < 1e-9);
        assert_eq!(m.advance(199.0).1, ["e"]);
    }

    proptest! {
        #[test]
        fn nothing_is_lost_or_done_twice(steps in prop::collection::vec((0u8..4, 1u32..4, 1u32..80), 1..120)) {
            let mut m = Machine::new(4, 8, 1.0, 0.4, 500.0);
            let (mut now, mut here, mut n) = (0.0, std::collections::BTreeSet::new(), 0);
            for (what, slots, time) in steps {
                match what {
                    0 | 1 => {
                        n += 1;
                        if m.bring(work(&n.to_string(), slots, time.into())) == Taken::Yes {
                            here.insert(n.to_string());
                        }
                    }
                    2 => {
                        now += f64::from(time);
                        for id in m.advance(now).1 {
                            prop_assert!(here.remove(&id), "{id} is done, yet was not here");
                        }
                    }
                    _ => {
                        let lost: std::collections::BTreeSet<_> = m.crash(now).into_iter().collect();
                        prop_assert_eq!(&lost, &here);
                        here.clear();
                    }
                }
                prop_assert_eq!(m.jobs().0, here.len());
                prop_assert!(m.in_use() <= 4 && m.jobs().1 <= 8);
            }
        }
    }
}
