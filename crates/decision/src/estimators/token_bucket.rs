//! Free tokens in release order.

use super::RandomGenerator;
use crate::id_map::IdMap;
use crate::interface::WorkerId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A group of workers with its own release order. It allows fast look-ups for jobs that are restricted to
/// some workers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum TokenGroup {
    /// All workers.
    All,
    /// The workers of a zone (first) and a machine kind (second).
    ZoneAndKind(u16, u16),
    /// The workers of a cell.
    Cell(u16),
}

/// The free tokens of a worker, and the groups in whose release order they are.
#[derive(Default)]
struct WorkerTokens {
    /// Release numbers, which increase with each release; the longest-free token first.
    released: VecDeque<u64>,
    groups: Vec<TokenGroup>,
}

/// The longest-free token of each worker, by group and in release order.
type ReleaseOrder = BTreeMap<TokenGroup, BTreeSet<(u64, WorkerId)>>;

/// All free tokens in release order. The cost of a call grows at most with the logarithm of the number of
/// workers, except where noted.
#[derive(Default)]
pub struct TokenBucket {
    workers: IdMap<WorkerId, WorkerTokens>,
    order: ReleaseOrder,
    next_release: u64,
}

impl TokenBucket {
    /// Returns the first `count` workers with free tokens in a group, in the order of their longest-free
    /// tokens.
    pub fn first_in_group(&self, group: TokenGroup, count: usize) -> Vec<WorkerId> {
        match self.order.get(&group) {
            Some(tokens) => tokens.iter().take(count).map(|(_, worker)| *worker).collect(),
            None => Vec::new(),
        }
    }

    /// Returns the first `count` workers with free tokens whose zone (first argument) and machine kind
    /// (second) `allows` accepts, in the order of their longest-free tokens. The cost is linear in the number
    /// of combinations of zones and machine kinds.
    pub fn first_allowed(&self, allows: impl Fn(u16, u16) -> bool, count: usize) -> Vec<WorkerId> {
        let first = TokenGroup::ZoneAndKind(0, 0);
        let last = TokenGroup::ZoneAndKind(u16::MAX, u16::MAX);
        let mut tokens = Vec::new();
        for (group, group_tokens) in self.order.range(first..=last) {
            if matches!(group, TokenGroup::ZoneAndKind(zone, kind) if allows(*zone, *kind)) {
                tokens.extend(group_tokens.iter().take(count));
            }
        }
        tokens.sort_unstable();
        tokens.into_iter().take(count).map(|(_, worker)| worker).collect()
    }

    /// Returns the release number of a worker's longest-free token; `None` if the worker has fewer than
    /// `min_tokens` free tokens.
    pub fn longest_free(&self, worker: WorkerId, min_tokens: i64) -> Option<u64> {
        let released = &self.workers.get(&worker)?.released;
        if (released.len() as i64) < min_tokens {
            return None;
        }
        released.front().copied()
    }

    /// Returns the number of free tokens of a worker.
    pub fn free(&self, worker: WorkerId) -> i64 {
        self.workers.get(&worker).map_or(0, |tokens| tokens.released.len() as i64)
    }

    /// Sets the groups of a worker; adds the worker if it is not in the bucket yet.
    pub fn set_groups(&mut self, worker: WorkerId, groups: Vec<TokenGroup>) {
        let tokens = self.workers.entry(worker).or_default();
        let first = tokens.released.front().copied();
        let old_groups = std::mem::replace(&mut tokens.groups, groups);
        if first.is_some() {
            Self::reorder(&mut self.order, &old_groups, worker, first, None);
            Self::reorder(&mut self.order, &tokens.groups, worker, None, first);
        }
    }

    /// Removes a worker and its free tokens.
    pub fn remove(&mut self, worker: WorkerId) {
        self.shrink(worker, i64::MAX);
        self.workers.remove(&worker);
    }

    /// Replaces the release number of a worker's longest-free token in the release order of its groups.
    /// `None` means no free token.
    fn reorder(
        order: &mut ReleaseOrder,
        groups: &[TokenGroup],
        worker: WorkerId,
        old: Option<u64>,
        new: Option<u64>,
    ) {
        for group in groups {
            let tokens = order.entry(*group).or_default();
            if let Some(old) = old {
                tokens.remove(&(old, worker));
            }
            if let Some(new) = new {
                tokens.insert((new, worker));
            }
            if tokens.is_empty() {
                order.remove(group);
            }
        }
    }

    /// Adds free tokens of a worker at the end of the release order. Has no effect if the worker is not in
    /// the bucket.
    pub fn release(&mut self, worker: WorkerId, count: i64) {
        if count <= 0 {
            return;
        }
        let Some(tokens) = self.workers.get_mut(&worker) else { return };
        if tokens.released.is_empty() {
            Self::reorder(&mut self.order, &tokens.groups, worker, None, Some(self.next_release));
        }
        let end = self.next_release + count as u64;
        tokens.released.extend(self.next_release..end);
        self.next_release = end;
    }

    /// Takes the `count` longest-free tokens of a worker, or all if it has fewer.
    pub fn acquire(&mut self, worker: WorkerId, count: i64) {
        let Some(tokens) = self.workers.get_mut(&worker) else { return };
        let count = count.clamp(0, tokens.released.len() as i64) as usize;
        let first = tokens.released.drain(..count).next();
        if first.is_some() {
            let new_first = tokens.released.front().copied();
            Self::reorder(&mut self.order, &tokens.groups, worker, first, new_first);
        }
    }

    /// Removes the `count` most recently released free tokens of a worker, or all if it has fewer.
    fn shrink(&mut self, worker: WorkerId, count: i64) {
        if count <= 0 {
            return;
        }
        let Some(tokens) = self.workers.get_mut(&worker) else { return };
        let left = (tokens.released.len() as i64 - count).max(0);
        let first = tokens.released.front().copied();
        tokens.released.truncate(left as usize);
        if left == 0 && first.is_some() {
            Self::reorder(&mut self.order, &tokens.groups, worker, first, None);
        }
    }

    /// Removes all free tokens of a worker.
    pub fn clear(&mut self, worker: WorkerId) {
        self.shrink(worker, i64::MAX);
    }

    /// Sets the number of free tokens of a worker: removes the most recently released ones, or adds new ones
    /// at the end of the release order.
    pub fn resize(&mut self, worker: WorkerId, count: i64) {
        let added = count - self.free(worker);
        self.shrink(worker, -added);
        self.release(worker, added);
    }

    /// Sets the number of free tokens of a worker: removes the most recently released ones, or adds new ones
    /// at random positions in the release order. With new tokens at the end of the order, all schedulers
    /// would choose the same worker at once.
    pub fn resize_at_random(&mut self, worker: WorkerId, count: i64, random: &mut RandomGenerator) {
        let added = count - self.free(worker);
        self.shrink(worker, -added);
        if added <= 0 {
            return;
        }
        let Some(tokens) = self.workers.get_mut(&worker) else { return };
        let longest_free = self.order.get(&TokenGroup::All).and_then(|tokens| tokens.first());
        let oldest = longest_free.map_or(self.next_release, |(released, _)| *released);
        let old_first = tokens.released.front().copied();
        for _ in 0..added {
            let offset = random.next_below((self.next_release - oldest) as usize + 1);
            tokens.released.push_back(oldest + offset as u64);
        }
        tokens.released.make_contiguous().sort_unstable();
        let new_first = tokens.released.front().copied();
        Self::reorder(&mut self.order, &tokens.groups, worker, old_first, new_first);
        // `next_release` itself is one of the positions that may have been drawn.
        self.next_release += 1;
    }

    /// Shuffles all free tokens. The cost is that of sorting them.
    pub fn shuffle(&mut self, random: &mut RandomGenerator) {
        let mut all: Vec<WorkerId> = Vec::new();
        for (worker, tokens) in &self.workers {
            all.extend(tokens.released.iter().map(|_| *worker));
        }
        // Makes the result independent of the iteration order of the map.
        all.sort_unstable();
        for index in (1..all.len()).rev() {
            all.swap(index, random.next_below(index + 1));
        }
        self.order.clear();
        for tokens in self.workers.values_mut() {
            tokens.released.clear();
        }
        for worker in all {
            self.release(worker, 1);
        }
    }
}
