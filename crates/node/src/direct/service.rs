//! Pools of workers that answer requests themselves, without their sockets: for each a decision module and a keeper of
//! shares. What has happened goes in, what is to be done comes out, once a turn.

use crate::clock::{Millis, Timers};
use postusher_decision::{
    Action, AttemptId, AttemptOutcome, AttemptResult, Class, Dispatcher, Endpoint, EndpointState, Event,
    Idempotency, Job, JobId, ListUpdate, ReportField, Settings, WorkerId,
};
use postusher_direct::{Keeper, Listing, Proposal, Routes};
use postusher_settings::micros_from_millis;
use postusher_setup::{Pool, Repeat, State};
use std::collections::HashMap;
use std::net::{SocketAddr, ToSocketAddrs};

/// Requests that a worker may have at a time where the setup does not say.
const MOST: usize = 100;
/// A usual time is that of about the last fifty answers.
const USUAL: f64 = 0.02;
/// Differences well below this say nothing.
const NOISE: Millis = 20.0;
/// What a usual time counts as.
const REFERENCE: Millis = 100.0;
/// Clients are told to come back after this time at most.
const LONGEST_ADVICE: Millis = 30_000.0;

/// Names a request: its pool and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ask {
    /// The pool, by number.
    pub pool: usize,
    /// The job that it is to the module.
    pub job: JobId,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a request to a worker, as this attempt.
    Send { ask: Ask, attempt: AttemptId, worker: WorkerId, addr: SocketAddr },
    /// Give up an attempt.
    Drop { ask: Ask, attempt: AttemptId },
    /// The final answer: turned away; come back after so long (0: no advice).
    Refuse { ask: Ask, retry_after: Millis },
    /// The final answer: it failed, and may have run.
    Fail { ask: Ask },
}

/// What a worker has had since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Had {
    /// Requests sent to it.
    pub sent: u64,
    /// Answers that it gave, whatever their status.
    pub answered: u64,
    /// Attempts that it gave no answer to.
    pub failed: u64,
}

struct Seat {
    name: String,
    id: WorkerId,
    addr: SocketAddr,
    most: usize,
    in_flight: usize,
    had: Had,
    /// How long its answers usually take.
    usual: Option<Millis>,
}

impl Seat {
    /// What the module is told of a time: how it compares with what is usual here. Workers of a pool may be of any speed,
    /// and their shares are set; who is slow against the others is not sick, who is slow against itself is.
    fn against_usual(&mut self, took: Millis, counts: bool) -> Millis {
        let usual = *self.usual.get_or_insert(took);
        if counts {
            self.usual = Some(usual + USUAL * (took - usual));
        }
        REFERENCE * (took + NOISE) / (usual + NOISE)
    }
}

struct Attempt {
    seat: usize,
    sent: Millis,
    out: bool,
}

struct Open {
    /// For whom the keeper has proposed it, where it names no session.
    proposed: Option<usize>,
    attempts: Vec<Attempt>,
    answered: bool,
}

struct DeduplicationScope {
    pool: Pool,
    module: Dispatcher,
    keeper: Keeper,
    seats: Vec<Seat>,
    /// Numbers of workers by name; they stay with the name.
    ids: HashMap<String, WorkerId>,
    open: HashMap<JobId, Open>,
    events: Vec<Event>,
    timers: Timers<u64>,
    /// Requests that may be over, looked at once the module has had its say.
    doubtful: Vec<JobId>,
}

/// All pools.
pub struct Service {
    groups: Vec<DeduplicationScope>,
    routes: Routes,
    last: u32,
    commands: Vec<Command>,
}

/// Where a worker listens; names are looked up once, at the start and when the setup is read again.
fn resolve(pool: &Pool) -> Result<Vec<SocketAddr>, String> {
    let one = |w: &postusher_setup::Worker| {
        let mut found =
            w.addr.to_socket_addrs().map_err(|e| format!("worker {:?} at {}: {e}", w.id, w.addr))?;
        found.next().ok_or_else(|| format!("worker {:?} at {}: no such host", w.id, w.addr))
    };
    pool.workers.iter().map(one).collect()
}

fn settings(pool: &Pool) -> Settings {
    // What waits for a slot may do so for a part of its time.
    let goal = micros_from_millis((pool.timeout / 10.0).max(1_000.0));
    Settings {
        classes: vec![
            Class::new(Idempotency::Idempotent, goal),
            Class::new(Idempotency::NotIdempotent, goal),
        ],
        report_fields: vec![ReportField::FreeSlots],
        cancellation_allowed: true,
        sends_retry_after: true,
        max_retry_after: micros_from_millis(LONGEST_ADVICE),
        max_attempts: pool.attempts.min(255) as u8,
        keepalive: micros_from_millis(10_000.0),
        ..Settings::default()
    }
}

impl DeduplicationScope {
    fn new(pool: Pool, seed: u64, now: Millis) -> Result<DeduplicationScope, String> {
        let (module, keeper) =
            (Dispatcher::new(settings(&pool), seed, micros_from_millis(now)), Keeper::new(&pool));
        let (ids, open, seats, events) = (HashMap::new(), HashMap::new(), Vec::new(), Vec::new());
        let (timers, doubtful) = (Timers::new(), Vec::new());
        let mut group =
            DeduplicationScope { pool, module, keeper, seats, ids, open, events, timers, doubtful };
        let addrs = resolve(&group.pool)?;
        group.seat(addrs, ListUpdate::Cached);
        Ok(group)
    }

    /// Gives the workers of the pool their seats, and tells the module of all.
    fn seat(&mut self, addrs: Vec<SocketAddr>, update: ListUpdate) {
        let mut old: HashMap<String, Seat> =
            std::mem::take(&mut self.seats).into_iter().map(|s| (s.name.clone(), s)).collect();
        for (w, addr) in self.pool.workers.iter().zip(addrs) {
            let next = WorkerId(self.ids.len() as u32 + 1);
            let id = *self.ids.entry(w.id.clone()).or_insert(next);
            let old = old.remove(&w.id);
            let (in_flight, had, usual) =
                old.map_or((0, Had::default(), None), |s| (s.in_flight, s.had, s.usual));
            let most = w.most.unwrap_or(MOST);
            self.seats.push(Seat { name: w.id.clone(), id, addr, most, in_flight, had, usual });
        }
        let endpoints = self.members();
        self.events.push(Event::EndpointList { update, endpoints });
        // How many requests each may have; the module goes by what workers report, and these report nothing.
        for seat in &self.seats {
            let report = vec![seat.most.saturating_sub(seat.in_flight) as f64];
            self.events.push(Event::HealthCheckEnded {
                worker: seat.id,
                result: AttemptResult::Success,
                report,
            });
        }
    }

    /// A request that has its answer and no attempt out is over.
    fn forget(&mut self) {
        for job in std::mem::take(&mut self.doubtful) {
            let over = |o: &Open| o.answered && o.attempts.iter().all(|l| !l.out);
            if self.open.get(&job).is_some_and(over) {
                self.open.remove(&job);
            }
        }
    }

    fn members(&self) -> Vec<Endpoint> {
        let listings = self.keeper.listings();
        let one = |(n, seat): (usize, &Seat)| {
            let state = match listings.get(n) {
                Some(Listing::Ready) => EndpointState::Ready,
                Some(Listing::Reserved) => EndpointState::Reserved,
                Some(Listing::Gone) | None => EndpointState::Removed,
            };
            // Each is a kind of its own: one that is slower than others is not sick.
            let (worker, kind) = (seat.id, seat.id.0 as u16);
            Endpoint { worker, state, capacity_weight: 1.0, started_at: 0, cell: kind, kind, zone: 0 }
        };
        self.seats.iter().enumerate().map(one).collect()
    }

    /// The module hears of another rotation before anything else.
    fn turn(&mut self, now: Millis) {
        if self.keeper.turn(now) {
            let endpoints = self.members();
            self.events.insert(0, Event::EndpointList { update: ListUpdate::Changes, endpoints });
        }
    }
}

impl Service {
    /// Of these pools.
    ///
    /// # Errors
    /// A worker's address is not known.
    pub fn new(pools: Vec<Pool>, now: Millis) -> Result<Service, String> {
        let routes = Routes::new(&pools);
        let one = |(n, pool): (usize, Pool)| DeduplicationScope::new(pool, 7 + n as u64, now);
        let groups = pools.into_iter().enumerate().map(one).collect::<Result<_, _>>()?;
        Ok(Service { groups, routes, last: 0, commands: Vec::new() })
    }

    /// The pools read again: those that stay keep what is known of their workers. Pools come and go with a restart.
    ///
    /// # Errors
    /// Why nothing has changed.
    pub fn again(&mut self, pools: Vec<Pool>, now: Millis) -> Result<(), String> {
        let names = |pools: &mut dyn Iterator<Item = &str>| pools.map(String::from).collect::<Vec<_>>();
        let old = names(&mut self.groups.iter().map(|g| g.pool.name.as_str()));
        if names(&mut pools.iter().map(|p| p.name.as_str())) != old {
            return Err("pools come and go with a restart only".into());
        }
        let addrs = pools.iter().map(resolve).collect::<Result<Vec<_>, _>>()?;
        self.routes = Routes::new(&pools);
        for ((group, pool), addrs) in self.groups.iter_mut().zip(pools).zip(addrs) {
            // Attempts under way name their seats by number: those must not move under them.
            let seats: Vec<String> = group.seats.iter().map(|s| s.name.clone()).collect();
            group.keeper.again(&pool, now);
            group.pool = pool;
            group.seat(addrs, ListUpdate::Complete);
            let place = |name: &String| group.seats.iter().position(|s| s.name == *name);
            let moved: Vec<Option<usize>> = seats.iter().map(place).collect();
            for open in group.open.values_mut() {
                open.proposed = open.proposed.and_then(|n| moved.get(n).copied().flatten());
                for attempt in &mut open.attempts {
                    attempt.seat = moved.get(attempt.seat).copied().flatten().unwrap_or(usize::MAX);
                }
            }
        }
        Ok(())
    }

    /// The pool that serves a request, and the target that its worker is asked for.
    pub fn route(&self, host: &str, target: &str) -> Option<(usize, String)> {
        self.routes.find(host, target)
    }

    /// What the setup says of a pool.
    pub fn pool(&self, pool: usize) -> &Pool {
        &self.groups[pool].pool
    }

    /// A request has come. `whole`: it can be sent again, as all of it is kept.
    pub fn arrived(
        &mut self,
        pool: usize,
        method: &str,
        whole: bool,
        session: Option<&str>,
        now: Millis,
    ) -> Ask {
        self.last = self.last.wrapping_add(1);
        let job = JobId(self.last);
        let group = &mut self.groups[pool];
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE");
        let again = match group.pool.repeat {
            Repeat::Safe => safe,
            Repeat::Idempotent => safe || matches!(method, "PUT" | "DELETE"),
            Repeat::Never => false,
        };
        group.turn(now);
        let proposal = group.keeper.propose(session, now);
        let wish = match proposal {
            Proposal::Prefer(n) => Some((n, false)),
            Proposal::Only(n) => Some((n, true)),
            Proposal::Any | Proposal::Refuse => None,
        };
        let proposed = wish.map(|(n, _)| n).filter(|_| session.is_none());
        group.open.insert(job, Open { proposed, attempts: Vec::new(), answered: false });
        let ask = Ask { pool, job };
        if proposal == Proposal::Refuse {
            self.commands.push(Command::Refuse { ask, retry_after: 1_000.0 });
            group.open.remove(&job);
            return ask;
        }
        if let Some((n, required)) = wish {
            group.events.push(Event::PlacementOverride { job, worker: group.seats[n].id, required });
        }
        let deadline = micros_from_millis(now + group.pool.timeout);
        let class = u16::from(!(again && whole));
        group.events.push(Event::JobArrived(Job {
            id: job,
            class,
            deadline,
            size_hint: None,
            slots: 1,
            key: 0,
            customer: 0,
        }));
        ask
    }

    /// The answer has begun, and belongs to the client.
    pub fn streaming(&mut self, ask: Ask, attempt: AttemptId) {
        self.groups[ask.pool].events.push(Event::AnswerStreaming { job: ask.job, attempt });
    }

    /// An attempt has ended; `done`: its client has the answer by it.
    pub fn settled(&mut self, ask: Ask, attempt: AttemptId, result: AttemptResult, done: bool, now: Millis) {
        let group = &mut self.groups[ask.pool];
        let Some(open) = group.open.get_mut(&ask.job) else { return };
        let Some(l) = open.attempts.get_mut(attempt.index()).filter(|l| l.out) else { return };
        l.out = false;
        open.answered |= done;
        let done = open.answered;
        group.doubtful.push(ask.job);
        let (seat, took) = (l.seat, now - l.sent);
        let mut latency = micros_from_millis(took);
        let mut report = Vec::new();
        if let Some(s) = group.seats.get_mut(seat) {
            s.in_flight = s.in_flight.saturating_sub(1);
            latency = micros_from_millis(
                s.against_usual(took, matches!(result, AttemptResult::Success | AttemptResult::Error)),
            );
            report.push(s.most.saturating_sub(s.in_flight) as f64);
            match result {
                AttemptResult::Success | AttemptResult::Error => {
                    s.had.answered += 1;
                    group.keeper.answered(seat);
                }
                AttemptResult::ConnectFailed | AttemptResult::Reset | AttemptResult::TimedOut => {
                    s.had.failed += 1;
                    group.keeper.failed(seat, now);
                }
                _ => {}
            }
        }
        group.turn(now);
        group.events.push(Event::AttemptEnded(AttemptOutcome {
            job: ask.job,
            attempt,
            result,
            latency,
            job_answered: done,
            report,
        }));
    }

    /// The client has left.
    pub fn gone(&mut self, ask: Ask) {
        let group = &mut self.groups[ask.pool];
        if let Some(open) = group.open.get_mut(&ask.job).filter(|o| !o.answered) {
            open.answered = true;
            group.doubtful.push(ask.job);
            group.events.push(Event::ClientDisconnected(ask.job));
        }
    }

    /// Lets timers come due, hands the modules all that was gathered, and gives what they want done.
    pub fn decide(&mut self, now: Millis) -> Vec<Command> {
        for (pool, group) in self.groups.iter_mut().enumerate() {
            while let Some(cookie) = group.timers.due(now) {
                group.events.push(Event::TimerExpired(cookie));
            }
            group.turn(now);
            let mut actions = Vec::new();
            group.module.handle_all(group.events.drain(..), micros_from_millis(now), &mut actions);
            for action in actions {
                let ask = |job| Ask { pool, job };
                match action {
                    Action::StartAttempt { job, worker, .. } => {
                        let seat = group.seats.iter().position(|s| s.id == worker);
                        let (Some(seat), Some(open)) = (seat, group.open.get_mut(&job)) else { continue };
                        let attempt = AttemptId(open.attempts.len() as u8);
                        open.attempts.push(Attempt { seat, sent: now, out: true });
                        if let Some(proposed) = open.proposed.take().filter(|_| attempt == AttemptId(0)) {
                            group.keeper.sent(proposed, seat);
                        }
                        let s = &mut group.seats[seat];
                        s.in_flight += 1;
                        s.had.sent += 1;
                        self.commands.push(Command::Send { ask: ask(job), attempt, worker, addr: s.addr });
                    }
                    Action::CancelAttempt { job, attempt } => {
                        self.commands.push(Command::Drop { ask: ask(job), attempt })
                    }
                    Action::Reject { job, retry_after } => {
                        let Some(open) = group.open.get_mut(&job).filter(|o| !o.answered) else { continue };
                        open.answered = true;
                        group.doubtful.push(job);
                        if let Some(proposed) = open.proposed.take() {
                            group.keeper.undone(proposed);
                        }
                        let retry_after = retry_after as f64 / 1e3;
                        self.commands.push(Command::Refuse { ask: ask(job), retry_after });
                    }
                    Action::Fail { job } => {
                        let Some(open) = group.open.get_mut(&job).filter(|o| !o.answered) else { continue };
                        open.answered = true;
                        group.doubtful.push(job);
                        self.commands.push(Command::Fail { ask: ask(job) });
                    }
                    Action::SetTimer { after, timer } => group.timers.set(now + after as f64 / 1e3, timer),
                    // Nothing is asked of workers besides requests, and connections end by themselves.
                    Action::CheckHealth { .. }
                    | Action::WatchEndpoints
                    | Action::CloseIdleConnections { .. } => {}
                }
            }
            group.forget();
        }
        std::mem::take(&mut self.commands)
    }

    /// Whether a module is still owed something.
    pub fn has_events(&self) -> bool {
        !self.commands.is_empty() || self.groups.iter().any(|g| !g.events.is_empty())
    }

    /// When something is to be done by time alone.
    pub fn next_due(&self) -> Option<Millis> {
        let one =
            |g: &DeduplicationScope| g.timers.next().into_iter().chain(g.keeper.next_due()).reduce(f64::min);
        self.groups.iter().filter_map(one).reduce(f64::min)
    }

    /// The metrics, by pool and worker.
    pub fn stats(&self) -> serde_json::Value {
        let worker = |(n, s): (usize, &Seat), g: &DeduplicationScope, listings: &[Listing]| {
            let state = match g.pool.workers[n].state {
                State::Live => "live",
                State::Draining => "draining",
                State::Stopped => "stopped",
            };
            let listing = format!("{:?}", listings[n]).to_lowercase();
            let value = serde_json::json!({"state": state, "listing": listing, "in_flight": s.in_flight,
                "sent": s.had.sent, "answered": s.had.answered, "failed": s.had.failed,
                "avoided": g.module.avoids(s.id)});
            (s.name.clone(), value)
        };
        let pool = |g: &DeduplicationScope| {
            let listings = g.keeper.listings();
            let workers: serde_json::Map<_, _> =
                g.seats.iter().enumerate().map(|s| worker(s, g, &listings)).collect();
            (g.pool.name.clone(), serde_json::json!({"in_flight": g.open.len(), "workers": workers}))
        };
        serde_json::json!({"pools": self.groups.iter().map(pool).collect::<serde_json::Map<_, _>>()})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn service(text: &str) -> Service {
        let pools = postusher_setup::read(&format!("<postusher>{text}</postusher>")).unwrap().pools;
        Service::new(pools, 1e6).unwrap()
    }

    const TWO: &str = r#"<pool name="p" answers="direct" attempts="2">
        <worker id="a" addr="127.0.0.1:1" weight="3" route="a"/><worker id="b" addr="127.0.0.1:2" route="b"/>
        <worker id="d" addr="127.0.0.1:3" state="draining" route="d"/></pool>"#;

    /// Sends one request; gives the worker's port, or the last command's name.
    fn ask(s: &mut Service, method: &str, session: Option<&str>, now: Millis) -> (Ask, u16) {
        let ask = s.arrived(0, method, true, session, now);
        let sent = s.decide(now).into_iter().find_map(|d| match d {
            Command::Send { ask: a, addr, .. } if a == ask => Some(addr.port()),
            _ => None,
        });
        (ask, sent.unwrap_or(0))
    }

    #[test]
    fn shares_follow_the_weights_through_the_module_and_sessions_go_home() {
        let mut s = service(TWO);
        s.decide(1e6);
        let mut ports = HashMap::new();
        for n in 0..400 {
            let now = 1e6 + f64::from(n);
            let (ask, port) = ask(&mut s, "GET", None, now);
            s.settled(ask, AttemptId(0), AttemptResult::Success, true, now + 0.5);
            *ports.entry(port).or_insert(0) += 1;
        }
        assert_eq!((ports[&1], ports[&2], ports.len()), (300, 100, 2));
        assert_eq!(
            [Some("a"), Some("b"), Some("d")].map(|r| ask(&mut s, "GET", r, 1e6 + 500.0).1),
            [1, 2, 3]
        );
        s.decide(1e6 + 501.0);
        assert_eq!(s.stats()["pools"]["p"]["workers"]["a"]["sent"], 301);
    }

    #[test]
    fn what_may_have_run_goes_out_again_only_where_its_method_is_safe() {
        for (method, ending, again) in [
            ("GET", AttemptResult::Reset, true),
            ("POST", AttemptResult::Reset, false),
            ("POST", AttemptResult::ConnectFailed, true),
            ("PUT", AttemptResult::TimedOut, false),
        ] {
            let mut s = service(TWO);
            s.decide(1e6);
            let (one, first) = ask(&mut s, method, None, 1e6);
            s.settled(one, AttemptId(0), ending, false, 1e6 + 5.0);
            let commands = s.decide(1e6 + 5.0);
            let second = commands.iter().any(
                |d| matches!(d, Command::Send { attempt: AttemptId(1), addr, .. } if addr.port() != first),
            );
            assert_eq!(second, again, "{method} {ending:?}: {commands:?}");
            let failed = commands.contains(&Command::Fail { ask: one });
            assert_eq!(failed, !again, "{method} {ending:?}: {commands:?}");
        }
    }

    #[test]
    fn a_standby_takes_over_within_the_same_request() {
        let mut s = service(
            r#"<pool name="p" answers="direct"><worker id="a" addr="127.0.0.1:1"/>
            <worker id="h" addr="127.0.0.1:2" role="standby"/></pool>"#,
        );
        s.decide(1e6);
        let (one, port) = ask(&mut s, "POST", None, 1e6);
        assert_eq!(port, 1);
        s.settled(one, AttemptId(0), AttemptResult::ConnectFailed, false, 1e6 + 1.0);
        let to = |commands: Vec<Command>| {
            commands.iter().find_map(|d| {
                if let Command::Send { addr, .. } = d {
                    Some(addr.port())
                } else {
                    None
                }
            })
        };
        assert_eq!(to(s.decide(1e6 + 1.0)), Some(2));
        // And the active one has its requests again after its rest.
        assert_eq!(ask(&mut s, "GET", None, 1e6 + 600.0).1, 1);
    }

    #[test]
    fn strict_sessions_are_refused_and_a_pool_read_again_drains_whom_it_says() {
        let strict = TWO.replace("<worker id=\"a\"", "<sticky cookie=\"s\" strict=\"yes\"/><worker id=\"a\"");
        let mut s = service(&strict);
        s.decide(1e6);
        let ask_gone = s.arrived(0, "GET", true, Some("nobody"), 1e6);
        assert!(matches!(s.decide(1e6)[..], [Command::Refuse { ask, .. }] if ask == ask_gone));
        let new = strict.replace("id=\"b\"", "id=\"b\" state=\"draining\"");
        let pools = postusher_setup::read(&format!("<postusher>{new}</postusher>")).unwrap().pools;
        s.again(pools, 1e6 + 1.0).unwrap();
        for n in 0..20 {
            assert_eq!(ask(&mut s, "GET", None, 1e6 + 2.0 + f64::from(n)).1, 1);
        }
        assert_eq!(ask(&mut s, "GET", Some("b"), 1e6 + 30.0).1, 2);
        assert!(s.again(Vec::new(), 1e6 + 40.0).is_err());
    }
}
