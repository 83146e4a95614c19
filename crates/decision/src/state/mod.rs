//! What a dispatcher keeps in mind: plain data, the token bucket as a container and the random generator.
//! Nothing is decided here; that is done in `src/rules/`.

mod bucket;
mod figures;
mod lookup;
mod memory;
mod request;
mod worker;

pub use bucket::{Bucket, Ring, Shelf};
pub use figures::{Account, Budget, Learned, Loads, Mean, Recent, Rng, Shares};
pub use request::{Attempt, AttemptState, Cookie, Request};
pub use worker::Worker;

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;

/// A map by id. Its order is never looked at where it could matter; hashing does not depend on the process.
pub type ById<K, V> = HashMap<K, V, BuildHasherDefault<IdHasher>>;

/// Spreads ids by one multiplication.
#[derive(Default)]
pub struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u32(u32::from(*b)));
    }

    fn write_u32(&mut self, id: u32) {
        self.write_u64(u64::from(id));
    }

    fn write_u64(&mut self, id: u64) {
        self.0 = (self.0 ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(32);
    }
}

/// How far the list of workers can be gone by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListTrust {
    /// Discovery has said what is held, as far as is known.
    #[default]
    Confirmed,
    /// It is of before the start of this process, and discovery has not answered since.
    Unconfirmed { since: Micros },
    /// Discovery has begun a newer answer that is not known yet; what is held can be gone by until then.
    Replaced { until: Micros },
}

/// One dispatcher: tokens, health of the workers it knows, and the jobs it owes an answer.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) set: Settings,
    pub(crate) classes: Vec<Arc<Class>>,
    /// Some class is bound to zones or kinds; some class's repeats are dropped in a cell.
    pub(crate) placed: bool,
    pub(crate) celled: bool,
    pub(crate) rng: Rng,
    pub(crate) now: Micros,
    pub(crate) workers: ById<WorkerId, Worker>,
    /// Taken out by an operator, listed or not.
    pub(crate) taken_out: BTreeSet<WorkerId>,
    pub(crate) bucket: Bucket,
    pub(crate) requests: ById<JobId, Request>,
    /// Workers that hosts wish for jobs, and whether no other will do.
    pub(crate) wishes: ById<JobId, (WorkerId, bool)>,
    /// Jobs that are not over, in order of arrival, by key, for classes that keep order.
    pub(crate) lines: BTreeMap<u64, VecDeque<JobId>>,
    /// Keys whose next job may have its turn.
    pub(crate) due: Vec<u64>,
    pub(crate) learned: Vec<Learned>,
    /// What customers have left of their shares, by number.
    pub(crate) accounts: Vec<Account>,
    /// Running time over what is expected, as a logarithm, by kind of machine.
    pub(crate) kinds: BTreeMap<u16, Mean>,
    pub(crate) scheduler_count: f64,
    /// Most free slots that were reported, by kind of machine; a single high report counts in part.
    pub(crate) widest: BTreeMap<u16, f64>,
    /// Most slots that any job asked for.
    pub(crate) most_slots: i64,
    /// Mean time for which a slot is held.
    pub(crate) run: Mean,
    pub(crate) retries: Budget,
    pub(crate) list_failures: u32,
    pub(crate) trust: ListTrust,
    /// Jobs that wait until the list can be gone by, as they came.
    pub(crate) held: Vec<JobId>,
    /// When the list was last said to be kept elsewhere.
    pub(crate) list_moved: Option<Micros>,
    /// Strain of the latest outcomes, of whichever worker.
    pub(crate) recent: Recent,
    /// Workers that time alone changes: those that hold attempts, lie out or are on trial, and those cold.
    pub(crate) watched: BTreeSet<WorkerId>,
    pub(crate) cold: VecDeque<WorkerId>,
    /// Workers that take jobs, in order of their numbers, and by hashes where keys matter.
    pub(crate) round: Vec<WorkerId>,
    pub(crate) ring: Ring,
    /// Workers whose reports came last.
    pub(crate) lately: VecDeque<WorkerId>,
    /// Slots of a job, in the mean.
    pub(crate) mean_k: Mean,
    /// Slots of a worker, in the mean of all reports.
    pub(crate) mean_slots: Mean,
    pub(crate) loads: Loads,
    /// What others usually take in the middle of the workers, where most were heard of lately.
    pub(crate) middle: Option<f64>,
    /// Most were heard of so lately that their reports can be gone by.
    pub(crate) current: bool,
    /// Reports tell of what waits, or leave it out although starts are told.
    pub(crate) told: bool,
    pub(crate) hides: bool,
    /// Probes are allowed and carry load.
    pub(crate) asks: bool,
    /// And nothing else does: a job waits for fresh ones.
    pub(crate) scouts: bool,
    pub(crate) probes: Budget,
    /// The keys of the latest jobs.
    pub(crate) asked: Shares,
    /// Usual time to a start where nothing waits: on a held or a new (1) connection, in this or another zone (2).
    pub(crate) starts: [Mean; 4],
    /// Mean time for which jobs lay at workers before their start, beyond that.
    pub(crate) lay: f64,
}
