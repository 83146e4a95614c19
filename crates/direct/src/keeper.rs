//! Shares by weight, sessions, sets, standbys and spares of one pool. It proposes a worker for each request; the
//! decision module takes the proposal or not, and the keeper accounts for what really happened.

use postusher_setup::{Pool, Role, State, Worker};

/// A worker that failed is left out for so long the first time, twice as long each time after that, in milliseconds ...
const FIRST_REST: f64 = 500.0;
/// ... up to this.
const LONGEST_REST: f64 = 30_000.0;

/// How a worker stands to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Any request may go there.
    Ready,
    /// Only one for which it is proposed.
    Reserved,
    /// None.
    Gone,
}

/// What a request is to do. Workers are numbered as they stand in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// This worker, if it can; else any.
    Prefer(usize),
    /// This worker or none.
    Only(usize),
    /// Any that can.
    Any,
    /// Its worker cannot serve it, and no other may.
    Refuse,
}

struct Member {
    worker: Worker,
    /// What it has had too little of, in requests.
    credit: f64,
    /// It failed, and rests until then; 0: it did not.
    rests: f64,
    /// Failures on end.
    strikes: u32,
}

/// The keeper of a pool's shares.
pub struct Keeper {
    members: Vec<Member>,
    strict: bool,
    /// In the order of their numbers.
    rotation: Vec<usize>,
    /// The weights of those in rotation.
    total: f64,
    /// Something has changed since the rotation was last seen.
    changed: bool,
    /// When the next of those that rest may be tried again.
    wakes: f64,
}

impl Keeper {
    /// Of these workers, none of which has had anything yet.
    pub fn new(pool: &Pool) -> Keeper {
        let member = |w: &Worker| Member { worker: w.clone(), credit: 0.0, rests: 0.0, strikes: 0 };
        let strict = pool.sticky.as_ref().is_some_and(|s| s.strict);
        let members = pool.workers.iter().map(member).collect();
        let (rotation, total, changed, wakes) = (Vec::new(), 1.0, true, f64::INFINITY);
        let mut new = Keeper { members, strict, rotation, total, changed, wakes };
        new.turn(0.0);
        new
    }

    /// The same pool read again: workers that stay keep what is known of them.
    pub fn again(&mut self, pool: &Pool, now: f64) {
        let mut new = Keeper::new(pool);
        for m in &mut new.members {
            if let Some(old) = self.members.iter().find(|o| o.worker.id == m.worker.id) {
                (m.credit, m.rests, m.strikes) = (old.credit, old.rests, old.strikes);
            }
        }
        *self = Keeper { changed: true, ..new };
        self.turn(now);
    }

    fn usable(&self, n: usize, now: f64) -> bool {
        self.members.get(n).is_some_and(|m| m.worker.state != State::Stopped && m.rests <= now)
    }

    /// Sees again who is in rotation; says whether that has changed. Costs nothing while nobody failed, came back or is
    /// due to be tried again.
    pub fn turn(&mut self, now: f64) -> bool {
        if !std::mem::take(&mut self.changed) && now < self.wakes {
            return false;
        }
        let new = self.in_rotation(now);
        self.total = new.iter().map(|n| self.members[*n].worker.weight).sum::<f64>().max(1e-9);
        let rests = self.members.iter().map(|m| m.rests).filter(|at| *at > now);
        self.wakes = rests.fold(f64::INFINITY, f64::min);
        let changed = new != self.rotation;
        self.rotation = new;
        changed
    }

    /// The lowest set of which somebody can be used: its active workers, a spare for each of them that cannot, and its
    /// standbys where none of these can. Where nobody can, all that are live: one may be back.
    fn in_rotation(&self, now: f64) -> Vec<usize> {
        let live = |n: &usize| self.members[*n].worker.state == State::Live;
        let all: Vec<usize> = (0..self.members.len()).filter(live).collect();
        let mut sets: Vec<u32> = all.iter().map(|n| self.members[*n].worker.set).collect();
        sets.sort_unstable();
        sets.dedup();
        for set in sets {
            let of = |role| {
                let fits = move |n: &usize| {
                    self.members[*n].worker.set == set && self.members[*n].worker.role == role
                };
                all.iter().copied().filter(fits).collect::<Vec<usize>>()
            };
            let can = |n: &usize| self.usable(*n, now);
            let actives = of(Role::Active);
            let mut turn: Vec<usize> = actives.iter().copied().filter(can).collect();
            let missing = actives.len() - turn.len();
            turn.extend(of(Role::Spare).into_iter().filter(can).take(missing));
            if turn.is_empty() {
                turn = of(Role::Standby).into_iter().filter(can).collect();
            }
            if !turn.is_empty() {
                turn.sort_unstable();
                return turn;
            }
        }
        all
    }

    /// How each worker stands to the decision module.
    pub fn listings(&self) -> Vec<Listing> {
        let one = |(n, m): (usize, &Member)| match m.worker.state {
            State::Stopped => Listing::Gone,
            _ if self.rotation.binary_search(&n).is_ok() => Listing::Ready,
            _ => Listing::Reserved,
        };
        self.members.iter().enumerate().map(one).collect()
    }

    /// Proposes a worker for a request; `session`: the route that it names. A proposal counts as a request there until
    /// [`Keeper::sent`] or [`Keeper::undone`] says otherwise.
    pub fn propose(&mut self, session: Option<&str>, now: f64) -> Proposal {
        if let Some(route) = session {
            let named = |m: &Member, route: &str| m.worker.route.as_deref() == Some(route);
            let own = self.members.iter().position(|m| named(m, route));
            if let Some(own) = own {
                if self.usable(own, now) {
                    return if self.strict { Proposal::Only(own) } else { Proposal::Prefer(own) };
                }
                let redirect = self.members[own].worker.redirect.clone();
                let other = redirect.and_then(|r| self.members.iter().position(|m| named(m, &r)));
                if let Some(other) = other.filter(|n| self.usable(*n, now)) {
                    return Proposal::Prefer(other);
                }
            }
            // A route that nobody has is that of a worker that is gone.
            if self.strict {
                return Proposal::Refuse;
            }
        }
        let total = self.total;
        let due = |n: &usize| self.members[*n].credit + self.members[*n].worker.weight / total;
        let next = self.rotation.iter().copied().max_by(|a, b| due(a).total_cmp(&due(b)).then(b.cmp(a)));
        let Some(next) = next else { return Proposal::Any };
        self.earn(1.0);
        self.members[next].credit -= 1.0;
        Proposal::Prefer(next)
    }

    /// Everybody in rotation earns their part of so many requests. What is owed is bounded, so that one who was left
    /// out for long is not flooded when it comes back.
    fn earn(&mut self, requests: f64) {
        let (total, many) = (self.total, self.rotation.len() as f64);
        for n in &self.rotation {
            let m = &mut self.members[*n];
            m.credit = (m.credit + requests * m.worker.weight / total).clamp(-many - 1.0, many + 1.0);
        }
    }

    /// A request without a session that was proposed for one worker went to another.
    pub fn sent(&mut self, proposed: usize, worker: usize) {
        if proposed != worker {
            if let Some(m) = self.members.get_mut(proposed) {
                m.credit += 1.0;
            }
            if let Some(m) = self.members.get_mut(worker) {
                m.credit -= 1.0;
            }
        }
    }

    /// A request without a session that was proposed for a worker went nowhere.
    pub fn undone(&mut self, proposed: usize) {
        self.earn(-1.0);
        if let Some(m) = self.members.get_mut(proposed) {
            m.credit += 1.0;
        }
    }

    /// A worker could not be connected to, or broke off.
    pub fn failed(&mut self, worker: usize, now: f64) {
        let Some(m) = self.members.get_mut(worker) else { return };
        let rest = FIRST_REST * f64::from(1u32 << m.strikes.min(6));
        if m.rests <= now {
            m.strikes = m.strikes.saturating_add(1);
            m.rests = now + rest.min(LONGEST_REST);
            self.changed = true;
        }
    }

    /// A worker has answered.
    pub fn answered(&mut self, worker: usize) {
        if let Some(m) = self.members.get_mut(worker) {
            self.changed |= m.rests > 0.0;
            (m.strikes, m.rests) = (0, 0.0);
        }
    }

    /// When somebody who rests may be tried again, as of the last [`Keeper::turn`].
    pub fn next_due(&self) -> Option<f64> {
        Some(self.wakes).filter(|at| at.is_finite())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn pool(workers: Vec<Worker>) -> Pool {
        Pool { workers, ..Pool::default() }
    }

    fn w(id: &str, weight: f64) -> Worker {
        Worker { id: id.into(), weight, route: Some(id.into()), ..Worker::default() }
    }

    fn shares(keeper: &mut Keeper, n: usize, now: f64) -> Vec<usize> {
        let mut count = vec![0; keeper.members.len()];
        for _ in 0..n {
            if let Proposal::Prefer(m) = keeper.propose(None, now) {
                count[m] += 1;
            }
        }
        count
    }

    #[test]
    fn shares_follow_weights_to_the_request_as_members_come_and_go() {
        let mut k = Keeper::new(&pool(vec![w("a", 5.0), w("b", 3.0), w("c", 2.0)]));
        assert_eq!(shares(&mut k, 1_000, 0.0), [500, 300, 200]);
        k.failed(1, 0.0);
        assert!(k.turn(0.0));
        let s = shares(&mut k, 700, 0.0);
        assert!(s[1] == 0 && s[0].abs_diff(500) <= 4, "{s:?}");
        assert!(k.turn(FIRST_REST));
        // It is not owed what it missed.
        let s = shares(&mut k, 1_000, FIRST_REST);
        assert!(s[1].abs_diff(300) <= 5, "{s:?}");
    }

    #[test]
    fn standbys_spares_and_sets_get_work_only_when_others_cannot() {
        let role = |id: &str, role, set| Worker { role, set, ..w(id, 1.0) };
        let mut k = Keeper::new(&pool(vec![
            role("a", Role::Active, 0),
            role("b", Role::Active, 0),
            role("h", Role::Standby, 0),
            role("r", Role::Spare, 0),
            role("far", Role::Active, 1),
        ]));
        let now_in = |k: &mut Keeper, down: &[usize]| {
            k.members.iter_mut().for_each(|m| m.rests = 0.0);
            down.iter().for_each(|n| k.members[*n].rests = 9.0);
            k.changed = true;
            k.turn(1.0);
            k.rotation.clone()
        };
        assert_eq!(now_in(&mut k, &[]), [0, 1]);
        assert_eq!(now_in(&mut k, &[0]), [1, 3]);
        assert_eq!(now_in(&mut k, &[0, 1]), [3]);
        assert_eq!(now_in(&mut k, &[0, 1, 3]), [2]);
        assert_eq!(now_in(&mut k, &[0, 1, 2, 3]), [4]);
        assert_eq!(now_in(&mut k, &[0, 1, 2, 3, 4]), [0, 1, 2, 3, 4]); // one may be back
    }

    #[test]
    fn sessions_reach_their_worker_draining_or_not_and_fail_over_as_the_pool_says() {
        let state = |id: &str, state| Worker { state, ..w(id, 1.0) };
        let workers = || {
            let redirected = Worker { redirect: Some("b".into()), ..state("s", State::Stopped) };
            vec![state("a", State::Live), state("b", State::Live), state("d", State::Draining), redirected]
        };
        let mut k = Keeper::new(&pool(workers()));
        assert_eq!(k.listings(), [Listing::Ready, Listing::Ready, Listing::Reserved, Listing::Gone]);
        assert_eq!(k.propose(Some("d"), 0.0), Proposal::Prefer(2));
        assert_eq!(k.propose(Some("s"), 0.0), Proposal::Prefer(1));
        assert_eq!(shares(&mut k, 10, 0.0), [5, 5, 0, 0]);
        assert!(matches!(k.propose(Some("gone"), 0.0), Proposal::Prefer(0 | 1)));
        let sticky = Some(postusher_setup::Sticky { strict: true, ..Default::default() });
        let mut k = Keeper::new(&Pool { sticky, ..pool(workers()) });
        assert_eq!(k.propose(Some("a"), 0.0), Proposal::Only(0));
        k.failed(0, 0.0);
        assert_eq!(
            (k.propose(Some("a"), 0.0), k.propose(Some("gone"), 0.0)),
            (Proposal::Refuse, Proposal::Refuse)
        );
        assert!(matches!(k.propose(None, 0.0), Proposal::Prefer(_)));
    }

    #[test]
    fn a_worker_that_fails_on_and_on_rests_longer_each_time() {
        let mut k = Keeper::new(&pool(vec![w("a", 1.0)]));
        let (mut now, mut rests) = (0.0, Vec::new());
        for _ in 0..9 {
            k.failed(0, now);
            k.failed(0, now); // told twice of one moment
            k.turn(now);
            let until = k.next_due().unwrap();
            rests.push(until - now);
            now = until;
        }
        assert_eq!(rests[..3], [500.0, 1_000.0, 2_000.0]);
        assert_eq!(rests[8], LONGEST_REST);
        k.answered(0);
        k.turn(now);
        assert_eq!(k.next_due(), None);
    }

    proptest! {
        /// Whatever the module declines, in the long run nobody is off by more than what was declined.
        #[test]
        fn what_goes_elsewhere_is_made_up_for(
            weights in prop::collection::vec(1u32..10, 2..6),
            elsewhere in prop::collection::vec((any::<u8>(), any::<u8>()), 400),
        ) {
            let workers = weights.iter().enumerate().map(|(n, x)| w(&n.to_string(), f64::from(*x))).collect();
            let mut k = Keeper::new(&pool(workers));
            let mut had = vec![0.0; weights.len()];
            for (declined, to) in elsewhere {
                let Proposal::Prefer(n) = k.propose(None, 0.0) else { panic!() };
                let to = if declined < 40 { usize::from(to) % weights.len() } else { n };
                k.sent(n, to);
                had[to] += 1.0;
            }
            let total: f64 = weights.iter().map(|x| f64::from(*x)).sum();
            for (n, x) in weights.iter().enumerate() {
                let due = 400.0 * f64::from(*x) / total;
                prop_assert!((had[n] - due).abs() <= 25.0, "{n}: {} of {due}", had[n]);
            }
        }
    }
}
