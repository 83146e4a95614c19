//! The waiting room: jobs that start only once others have ended or a time has come.
//!
//! A [`Room`] is a plain state machine without I/O, clock or threads. Its host tells it of jobs, of how jobs end and
//! of the time, and carries out the [`Decision`]s. It decides only *when* a job goes on to the decision module;
//! which worker it gets, whether it is tried again and what is turned away is decided there. All times are
//! milliseconds on the host's one clock.
//!
//! ```
//! use postusher_deferred_jobs::*;
//!
//! let mut room = Room::new(Limits::default());
//! room.opened("first");
//! let wish = Wish { after: vec![After::served("first")], start: None };
//! room.hold(Newcomer::new(JobId(2), "second", 60_000.0, wish), 0.0).unwrap();
//! let plenty = FreeCapacity { free: 8, total: 8, largest_free: 8 };
//! room.release(plenty, 5.0);
//! assert_eq!(room.decisions(), []);
//! room.ended("first", JobEndStatus::Served, 10.0);
//! room.release(plenty, 10.0);
//! assert_eq!(room.decisions(), [Decision::Release(JobId(2))]);
//! ```
#![forbid(unsafe_code)]

mod names;
mod pace;
mod room;

pub use pace::FreeCapacity;
pub use room::{Count, Room};

use std::rc::Rc;

/// A point in time or a length of time, in milliseconds.
pub type Millis = f64;

/// The most jobs that one job may name.
pub const MOST_NAMES: usize = 16;

/// The host's number for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u32);

/// A job that another waits for.
#[derive(Clone, Debug, PartialEq)]
pub struct After {
    /// The client's id of it.
    pub name: Rc<str>,
    /// Any answer will do; else it has to be served.
    pub any: bool,
}

impl After {
    /// To start once this job has been served.
    pub fn served(name: &str) -> After {
        After { name: name.into(), any: false }
    }

    /// To start once this job has had its answer, whatever that was.
    pub fn any(name: &str) -> After {
        After { name: name.into(), any: true }
    }
}

/// What a job waits for; of several things the last counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wish {
    /// Jobs that have to end first.
    pub after: Vec<After>,
    /// Not to start before this time.
    pub start: Option<Millis>,
}

/// A job that is to wait.
#[derive(Clone, Debug)]
pub struct Newcomer {
    /// The host's number for it, unique among the jobs here.
    pub id: JobId,
    /// The client's id, by which others may name it.
    pub name: Rc<str>,
    /// Whose it is: each client may have so many here.
    pub client: u64,
    /// Its class, by number.
    pub class: u16,
    /// Slots that it takes.
    pub slots: u32,
    /// Memory that it holds while it waits.
    pub bytes: usize,
    /// When its client gives up.
    pub expires: Millis,
    /// What it waits for.
    pub wish: Wish,
    /// It was held by another process of this host before.
    pub carried: Option<Carried>,
}

/// What goes along with a job that one process hands to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Carried {
    /// For how long it has been ready; `None`: it is not.
    pub ready_for: Option<Millis>,
    /// For how long names that nobody knows may still turn up.
    pub grace_left: Millis,
}

impl Newcomer {
    /// A job of one slot of the first class, of no size.
    pub fn new(id: JobId, name: &str, expires: Millis, wish: Wish) -> Newcomer {
        let (client, class, slots, bytes) = (0, 0, 1, 0);
        Newcomer { id, name: name.into(), client, class, slots, bytes, expires, wish, carried: None }
    }
}

/// How a job ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEndStatus {
    /// With a result.
    Served,
    /// Turned away.
    Rejected,
    /// It failed.
    Failed,
    /// Its client went away before it had an answer: it never had one, whatever answer would have done.
    Disconnected,
}

/// Why a job is not held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum No {
    /// It would wait for itself, directly or through others.
    Circle,
    /// A job that it names has ended, and not as it wishes.
    Doomed,
    /// No room; it may come again after this time.
    Full {
        /// Which bound was met.
        bound: Bound,
        /// An estimate of when there is room.
        retry_after: Millis,
    },
    /// The room is closed: the host ends.
    Closed,
}

/// What limits the jobs here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Their number.
    Jobs,
    /// The bytes that they hold.
    Bytes,
    /// The number of one client's.
    Client,
}

/// What the host is to do with a job. Each job that is held gets one in the end, unless its host ends it; one that
/// was released and came back gets another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It goes on to the decision module.
    Release(JobId),
    /// A job that it waits for will not end as it wishes (424). It was never sent.
    Fail(JobId),
    /// It cannot be started in time (503). It was never sent.
    Reject {
        /// Which.
        id: JobId,
        /// When trying again makes sense; 0 gives no advice.
        retry_after: Millis,
    },
}

/// All bounds, as the setup file gives them.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most jobs held.
    pub jobs: usize,
    /// The most bytes that they hold.
    pub bytes: usize,
    /// The most jobs of one client.
    pub per_client: usize,
    /// Outcomes of ended jobs that are remembered, at most.
    pub remembered: usize,
    /// And for how long.
    pub remember_for: Millis,
    /// For so long a job that is named may still arrive.
    pub grace: Millis,
    /// A job that is ready is sent on or refused within this time.
    pub longest: Millis,
    /// A job of weight 1 gives way to those that get ready this long after it, if their weight is above all bounds.
    pub ageing: Millis,
    /// Weights of classes by number; 1 where there is none. A job of weight w ages w times as fast.
    pub weights: Vec<f64>,
    /// The part of the fleet's slots that jobs from here leave free for others.
    pub reserve: f64,
    /// So long before its client gives up, a job that has not started is refused, so that the answer gets there.
    pub lead: Millis,
}

impl Default for Limits {
    /// What the setup file has where it says nothing.
    fn default() -> Self {
        Limits {
            jobs: 100_000,
            bytes: 64 << 20,
            per_client: 1_000,
            remembered: 10_000,
            remember_for: 600_000.0,
            grace: 5_000.0,
            longest: 60_000.0,
            ageing: 2_000.0,
            weights: Vec::new(),
            reserve: 0.15,
            lead: 50.0,
        }
    }
}

impl Limits {
    /// How long a job of a class gives way to others that get ready after it, at most.
    pub fn lag(&self, class: u16) -> Millis {
        self.ageing / self.weights.get(usize::from(class)).copied().unwrap_or(1.0)
    }
}
