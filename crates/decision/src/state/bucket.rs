//! Free tokens in release order, and workers by hashes.

use super::{ById, Rng};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where free tokens are looked for: jobs bound to some workers have an order of their own to look in.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Shelf {
    /// Every worker.
    All,
    /// The workers of a zone and a machine kind.
    Place(u16, u16),
    /// The workers of a cell.
    Cell(u16),
}

/// A worker's free tokens, the longest-free first, by a number that rises with each release.
#[derive(Default)]
struct Free {
    tokens: VecDeque<u64>,
    shelves: Vec<Shelf>,
}

/// Free tokens in release order. The cost of a call does not depend on how many workers there are.
#[derive(Default)]
pub struct Bucket {
    free: ById<WorkerId, Free>,
    /// On each shelf, each worker's longest-free token.
    order: BTreeMap<Shelf, BTreeSet<(u64, WorkerId)>>,
    next: u64,
}

impl Bucket {
    /// The first `n` workers with free tokens on a shelf, by their longest-free one.
    pub fn on(&self, shelf: Shelf, n: usize) -> Vec<WorkerId> {
        self.order.get(&shelf).into_iter().flatten().take(n).map(|(_, id)| *id).collect()
    }

    /// The first `n` on those shelves of zones and kinds that are open.
    pub fn in_places(&self, open: impl Fn(u16, u16) -> bool, n: usize) -> Vec<WorkerId> {
        let places = self.order.range(Shelf::Place(0, 0)..=Shelf::Place(u16::MAX, u16::MAX));
        let open = places.filter(|(s, _)| matches!(s, Shelf::Place(zone, kind) if open(*zone, *kind)));
        let mut next: Vec<_> = open.flat_map(|(_, on)| on.iter().take(n)).collect();
        next.sort_unstable();
        next.into_iter().take(n).map(|(_, id)| *id).collect()
    }

    /// When the longest-free token of a worker that has `n` was released, as a number that rises.
    pub fn first(&self, worker: WorkerId, n: i64) -> Option<u64> {
        let tokens = &self.free.get(&worker)?.tokens;
        tokens.front().copied().filter(|_| tokens.len() as i64 >= n)
    }

    /// Free tokens of a worker.
    pub fn free(&self, worker: WorkerId) -> i64 {
        self.free.get(&worker).map_or(0, |f| f.tokens.len() as i64)
    }

    /// Says on which shelves the tokens of a worker lie.
    pub fn shelve(&mut self, worker: WorkerId, shelves: Vec<Shelf>) {
        let free = self.free.entry(worker).or_default();
        let first = free.tokens.front().copied();
        let old = std::mem::replace(&mut free.shelves, shelves);
        if let Some(first) = first {
            Self::reorder(&mut self.order, &old, worker, Some(first), None);
            Self::reorder(&mut self.order, &free.shelves, worker, None, Some(first));
        }
    }

    /// Forgets a worker.
    pub fn remove(&mut self, worker: WorkerId) {
        self.shrink(worker, i64::MAX);
        self.free.remove(&worker);
    }

    fn reorder(
        order: &mut BTreeMap<Shelf, BTreeSet<(u64, WorkerId)>>,
        shelves: &[Shelf],
        worker: WorkerId,
        old: Option<u64>,
        new: Option<u64>,
    ) {
        for shelf in shelves {
            let on = order.entry(*shelf).or_default();
            old.map(|old| on.remove(&(old, worker)));
            new.map(|new| on.insert((new, worker)));
            if on.is_empty() {
                order.remove(shelf);
            }
        }
    }

    /// Puts tokens of a worker at the back.
    pub fn release(&mut self, worker: WorkerId, tokens: i64) {
        let Some(free) = self.free.get_mut(&worker).filter(|_| tokens > 0) else { return };
        if free.tokens.is_empty() {
            Self::reorder(&mut self.order, &free.shelves, worker, None, Some(self.next));
        }
        let last = self.next + tokens as u64;
        free.tokens.extend(self.next..last);
        self.next = last;
    }

    /// Takes the longest-free tokens of a worker.
    pub fn seize(&mut self, worker: WorkerId, tokens: i64) {
        let Some(free) = self.free.get_mut(&worker) else { return };
        let tokens = tokens.clamp(0, free.tokens.len() as i64) as usize;
        let first = free.tokens.drain(..tokens).next();
        if first.is_some() {
            Self::reorder(&mut self.order, &free.shelves, worker, first, free.tokens.front().copied());
        }
    }

    /// Takes out the newest tokens of a worker.
    pub fn shrink(&mut self, worker: WorkerId, tokens: i64) {
        let Some(free) = self.free.get_mut(&worker).filter(|_| tokens > 0) else { return };
        let left = (free.tokens.len() as i64 - tokens).max(0);
        let first = free.tokens.front().copied().filter(|_| left == 0);
        free.tokens.truncate(left as usize);
        if first.is_some() {
            Self::reorder(&mut self.order, &free.shelves, worker, first, None);
        }
    }

    /// Gives a worker this many free tokens: the newest go first, new ones come in by chance, or last.
    pub fn resize(&mut self, worker: WorkerId, tokens: i64, chance: Option<&mut Rng>) {
        let more = tokens - self.free(worker);
        self.shrink(worker, -more);
        let Some(rng) = chance else { return self.release(worker, more) };
        let Some(free) = self.free.get_mut(&worker).filter(|_| more > 0) else { return };
        let oldest = self.order.get(&Shelf::All).and_then(|on| on.first()).map_or(self.next, |o| o.0);
        let old = free.tokens.front().copied();
        for _ in 0..more {
            free.tokens.push_back(oldest + rng.below((self.next - oldest) as usize + 1) as u64);
        }
        free.tokens.make_contiguous().sort_unstable();
        Self::reorder(&mut self.order, &free.shelves, worker, old, free.tokens.front().copied());
        self.next += 1;
    }

    /// Puts all tokens in an order by chance.
    pub fn shuffle(&mut self, rng: &mut Rng) {
        let mut all: Vec<WorkerId> =
            self.free.iter().flat_map(|(id, f)| f.tokens.iter().map(|_| *id)).collect();
        all.sort_unstable();
        for i in (1..all.len()).rev() {
            all.swap(i, rng.below(i + 1));
        }
        self.order.clear();
        self.free.values_mut().for_each(|f| f.tokens.clear());
        all.into_iter().for_each(|id| self.release(id, 1));
    }
}

/// Workers by hashes: every dispatcher finds the same few for a key, whatever else it knows.
#[derive(Default)]
pub struct Ring(BTreeMap<u64, WorkerId>);

impl Ring {
    /// Where a worker stands: at eight places.
    fn points(worker: WorkerId) -> impl Iterator<Item = u64> {
        let mut rng = Rng(u64::from(worker.0));
        (0..8).map(move |_| (rng.next() * u64::MAX as f64) as u64)
    }

    /// Has these workers on it instead of those; both in order of their numbers. Costs time in proportion to what differs, but for
    /// one look at each.
    pub fn update(&mut self, before: &[WorkerId], now: &[WorkerId]) {
        for gone in before.iter().filter(|worker| now.binary_search(worker).is_err()) {
            for at in Self::points(*gone) {
                if self.0.get(&at) == Some(gone) {
                    self.0.remove(&at);
                }
            }
        }
        for new in now.iter().filter(|worker| before.binary_search(worker).is_err()) {
            self.0.extend(Self::points(*new).map(|at| (at, *new)));
        }
    }

    /// The first `n` workers from a key on.
    pub fn near(&self, key: u64, n: usize) -> Vec<WorkerId> {
        let from = (Rng(key).next() * u64::MAX as f64) as u64;
        let mut near = Vec::new();
        for (_, worker) in self.0.range(from..).chain(self.0.range(..from)).take(8 * n) {
            if near.len() < n && !near.contains(worker) {
                near.push(*worker);
            }
        }
        near
    }
}

#[cfg(test)]
mod tests;
