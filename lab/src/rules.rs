//! The rules, held against what the peers have seen and nothing else.

use crate::bench::Run;
use crate::journal::{Entry, Seen};
use crate::plan::Job;
use crate::scenario::{Effect, Fault, Kind, FALL_MS, OVERLOAD, WINDOW_MS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// A drain is kept if nothing new comes so long after a scheduler was told, in milliseconds: 750 ms and 50 ms for the
/// way there.
const DRAIN_MS: f64 = 800.0;
/// Attempts for one job, at most.
const ATTEMPTS: usize = 5;
/// An answer that let a dependant go may reach its client so much later than the dependant its worker, in milliseconds.
const APART_MS: f64 = 1_000.0;
/// So many examples of each breach are kept.
const EXAMPLES: usize = 5;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each job that was taken has one final answer, before its client gives up.
    OneAnswer,
    /// What is served was made for that job by a worker.
    OwnResult,
    /// Nothing new goes to a worker that drains.
    Drains,
    /// No worker that has just started is pushed over.
    Cold,
    /// What may have run goes out again only where its class allows.
    Repeats,
    /// Nothing starts before what it waits for.
    Early,
    /// What waits for a job that was not served never goes to a worker.
    Doomed,
    /// Schedulers that know of each other find those to be gone that are, and nobody else, once for each fault; in the
    /// end all agree that all are there.
    Members,
}

/// What breaks a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// How often.
    pub count: usize,
    /// Some of them in words.
    pub examples: Vec<String>,
}

/// All that is broken; empty where all is well.
pub fn check(run: &Run) -> Vec<Breach> {
    let mut breaches = BTreeMap::<Rule, (usize, Vec<String>)>::new();
    let mut add = |rule: Rule, what: String| {
        let (count, examples) = breaches.entry(rule).or_default();
        *count += 1;
        if examples.len() < EXAMPLES {
            examples.push(what);
        }
    };
    let world = World::new(run);
    answers(&world, &mut add);
    attempts(&world, &mut add);
    drains(&world, &mut add);
    cold(&world, &mut add);
    waits(&world, &mut add);
    members(run, &mut add);
    breaches.into_iter().map(|(rule, (count, examples))| Breach { rule, count, examples }).collect()
}

/// Membership, by what the schedulers show of it. Only order counts: which views there were, not when.
fn members(run: &Run, add: &mut impl FnMut(Rule, String)) {
    let (Some(members), n) = (&run.scenario.members, run.scenario.schedulers) else { return };
    let faults = &run.scenario.fault;
    let falls = |f: &Fault, of: usize| matches!(f.kind, Kind::Down | Kind::Kill) && f.who.contains(&of);
    let granted = |of: usize| faults.iter().filter(|f| f.grants.contains(&of) || falls(f, of)).count();
    let mut views: Vec<Vec<(f64, &str, bool)>> = vec![Vec::new(); n];
    let mut killed = vec![None; n];
    for Entry { at, seen } in &run.entries {
        match seen {
            Seen::View { scheduler, states, minority } => views[*scheduler].push((*at, states, *minority)),
            Seen::Killed { scheduler } => killed[*scheduler] = Some(*at),
            _ => {}
        }
    }
    let is = |states: &str, of: usize, letter: u8| states.as_bytes().get(of) == Some(&letter);
    for (by, views) in views.iter().enumerate() {
        for of in 0..n {
            // Each time that one goes out of a view needs a fault of its own that grants it, and that has begun by then: so
            // none does after the last fault but for what that fault caused.
            let there = |states: &str| is(states, of, b'a') || is(states, of, b's');
            let out = |states: &str| is(states, of, b'g') || is(states, of, b'l');
            let goes = views.windows(2).filter(|two| there(two[0].1) && out(two[1].1)).map(|two| two[1].0);
            let ends = |f: &Fault| falls(f, of) || f.kind == Kind::Term && f.who.contains(&of);
            let causes = faults.iter().filter(|f| f.grants.contains(&of) || ends(f));
            let mut causes: Vec<f64> = causes.map(|f| f.at_s * 1e3).collect();
            for at in goes {
                match causes.iter().position(|begun| *begun <= at) {
                    Some(cause) => drop(causes.remove(cause)),
                    None => add(Rule::Members, format!("s{by} lost s{of} at {at:.0} without a fault for it")),
                }
            }
        }
        match views.last() {
            Some((_, states, false)) if states.bytes().all(|letter| letter == b'a') => {}
            last => add(Rule::Members, format!("in the end s{by} believes {last:?}")),
        }
    }
    // Who is down for long enough is found to be gone by all that are not themselves in trouble.
    let enough = (members.suspicion_ms + 8.0 * members.probe_ms) / 1e3;
    let down = faults.iter().filter(|f| f.kind == Kind::Down && f.for_s >= enough);
    for of in down.flat_map(|f| f.who.iter().copied()) {
        let since = killed[of].unwrap_or(f64::INFINITY);
        for by in (0..n).filter(|by| *by != of && granted(*by) == 0) {
            if !views[by].iter().any(|(at, states, _)| *at > since && is(states, of, b'g')) {
                add(Rule::Members, format!("s{by} did not notice that s{of} was killed"));
            }
        }
    }
}

/// What was seen of a job.
#[derive(Default)]
pub struct Story<'a> {
    /// When it was first sent.
    pub sent: Option<f64>,
    /// Its ends, as its client saw them.
    pub ends: Vec<(f64, &'a Seen)>,
    /// When workers got it, and what they said.
    pub got: Vec<(f64, usize, u16, bool)>,
    /// When workers had done it.
    pub done: Vec<f64>,
}

impl Story<'_> {
    /// The status that its client had.
    pub fn status(&self) -> Option<u16> {
        self.ends
            .iter()
            .find_map(|(_, s)| if let Seen::Answered { status, .. } = s { Some(*status) } else { None })
    }

    /// When its client had its answer.
    pub fn answered(&self) -> Option<f64> {
        self.ends.iter().find(|(_, s)| matches!(s, Seen::Answered { .. })).map(|(at, _)| *at)
    }
}

/// A run, by job.
pub struct World<'a> {
    /// The run.
    pub run: &'a Run,
    /// What was seen of each job.
    pub stories: HashMap<&'a str, Story<'a>>,
}

impl<'a> World<'a> {
    /// Sorts what was seen by job.
    pub fn new(run: &'a Run) -> World<'a> {
        let mut stories = HashMap::<&str, Story>::new();
        for Entry { at, seen } in &run.entries {
            match seen {
                Seen::Sent { job } => {
                    stories.entry(job).or_default().sent.get_or_insert(*at);
                }
                Seen::Answered { job, .. }
                | Seen::Broken { job, .. }
                | Seen::Left { job }
                | Seen::Unanswered { job } => stories.entry(job).or_default().ends.push((*at, seen)),
                Seen::Got { job, worker, status, may_run, .. } => {
                    stories.entry(job).or_default().got.push((*at, *worker, *status, *may_run));
                }
                Seen::Done { job, .. } => stories.entry(job).or_default().done.push(*at),
                _ => {}
            }
        }
        World { run, stories }
    }

    /// The jobs of the plan with what was seen of them.
    pub fn jobs(&self) -> impl Iterator<Item = (&'a Job, &Story<'a>)> + '_ {
        let run = self.run;
        run.plan.jobs.iter().filter_map(|job| Some((job, self.stories.get(job.id.as_str())?)))
    }

    /// When a job came ready: the last of its time and of the answers that it waits for; `None`: it never did.
    pub fn ready(&self, job: &Job, story: &Story) -> Option<f64> {
        let mut ready = job.start.unwrap_or(0.0).max(story.sent?);
        for (name, any) in &job.after {
            let named = self.stories.get(name.as_str())?;
            if !any && named.status() != Some(200) {
                return None;
            }
            ready = ready.max(named.answered()?);
        }
        Some(ready)
    }

    /// Whether a scheduler was killed outright, or not yet up again after that, at some moment of this time. What is
    /// sent between the order to kill and the death is lost, too.
    fn killed(&self, scheduler: usize, from: f64, to: f64) -> bool {
        let mut since = None;
        for e in &self.run.entries {
            match e.seen {
                Seen::Killed { scheduler: s } if s == scheduler => since = Some(e.at),
                Seen::Up { scheduler: s }
                    if s == scheduler && since.take().is_some_and(|at| at <= to && e.at >= from) =>
                {
                    return true;
                }
                _ => {}
            }
        }
        since.is_some_and(|at| at <= to)
    }
}

fn answers(world: &World, add: &mut impl FnMut(Rule, String)) {
    for (job, story) in world.jobs() {
        let id = &job.id;
        let answers = story.ends.iter().filter(|(_, s)| matches!(s, Seen::Answered { .. })).count();
        if answers > 1 {
            add(Rule::OneAnswer, format!("{id} has {answers} answers"));
        }
        if story.sent.is_some() && story.ends.is_empty() {
            add(Rule::OneAnswer, format!("{id} has no end"));
        }
        for (at, end) in &story.ends {
            match end {
                Seen::Unanswered { .. } => {
                    add(Rule::OneAnswer, format!("{id} has no answer when its client gives up"));
                }
                Seen::Broken { scheduler, .. } => {
                    // One that was never sent was not taken; one whose scheduler was killed is lost with it.
                    if let Some(sent) = story.sent.filter(|sent| !world.killed(*scheduler, *sent, *at)) {
                        add(
                            Rule::OneAnswer,
                            format!("{id} is lost: sent at {sent:.0}, its connection ended at {at:.0}"),
                        );
                    }
                }
                Seen::Answered { status: 200, own: false, .. } => {
                    add(Rule::OwnResult, format!("{id} is served with something else"));
                }
                Seen::Answered { status: 200, .. } if story.done.is_empty() => {
                    add(Rule::OwnResult, format!("{id} is served though no worker has done it"));
                }
                _ => {}
            }
        }
    }
    for e in &world.run.entries {
        if let Seen::Surplus { scheduler, bytes } = e.seen {
            add(
                Rule::OneAnswer,
                format!("{bytes} bytes from scheduler {scheduler} after an answer at {:.0}", e.at),
            );
        }
    }
}

fn attempts(world: &World, add: &mut impl FnMut(Rule, String)) {
    let cell = world.run.scenario.fleet.cell.max(1);
    for (job, story) in world.jobs() {
        let effect = world.run.scenario.class[job.class].effect;
        if story.got.len() > ATTEMPTS {
            add(Rule::Repeats, format!("{} was sent {} times", job.id, story.got.len()));
        }
        let Some(first) = story.got.iter().position(|(.., may_run)| *may_run) else { continue };
        let (at, worker, ..) = story.got[first];
        for (again, other, ..) in &story.got[first + 1..] {
            let allowed = match effect {
                Effect::Repeatable => true,
                Effect::Once => false,
                Effect::ByKey => other / cell == worker / cell && again - at < WINDOW_MS,
            };
            if !allowed {
                add(
                    Rule::Repeats,
                    format!("{} went to {worker} at {at:.0} and to {other} at {again:.0}", job.id),
                );
            }
        }
    }
}

fn drains(world: &World, add: &mut impl FnMut(Rule, String)) {
    // Since when a scheduler knows that a worker drains.
    let mut since = HashMap::<(usize, usize), f64>::new();
    for e in &world.run.entries {
        match &e.seen {
            Seen::Told { worker, scheduler, drains: true } => {
                since.entry((*worker, *scheduler)).or_insert(e.at);
            }
            Seen::Told { worker, scheduler, drains: false } => {
                since.remove(&(*worker, *scheduler));
            }
            // A new process has heard nothing yet.
            Seen::Killed { scheduler } | Seen::Exited { scheduler, .. } => {
                since.retain(|(_, s), _| s != scheduler)
            }
            Seen::Got { job, worker, scheduler, .. } => {
                let late = since.get(&(*worker, *scheduler)).filter(|at| e.at - **at > DRAIN_MS);
                if let Some(at) = late {
                    add(
                        Rule::Drains,
                        format!("{job} at {:.0} to worker {worker}, which drains since {at:.0}", e.at),
                    );
                }
            }
            _ => {}
        }
    }
}

fn cold(world: &World, add: &mut impl FnMut(Rule, String)) {
    let (scenario, plan) = (&world.run.scenario, &world.run.plan);
    let f = &scenario.fleet;
    let mut started = HashMap::<usize, f64>::new();
    let mut sent = HashMap::<usize, Vec<(f64, f64)>>::new();
    for e in &world.run.entries {
        match &e.seen {
            Seen::Started { worker } => {
                started.insert(*worker, e.at);
                sent.remove(worker);
            }
            Seen::Got { job, worker, may_run: true, .. } => {
                let Some(start) = started.get(worker).filter(|at| e.at - **at < f.warm_ms) else { continue };
                let Some(job) = plan.get(job) else { continue };
                let work = job.work * f64::from(job.slots);
                let sent = sent.entry(*worker).or_default();
                sent.push((e.at, work));
                sent.retain(|(at, _)| e.at - at <= FALL_MS);
                let warmth = f.cold_from + (1.0 - f.cold_from) * (e.at - start) / f.warm_ms;
                let capacity = f64::from(f.slots) * scenario.speed_of(*worker) * warmth;
                let total: f64 = sent.iter().map(|(_, w)| w).sum();
                let largest = sent.iter().map(|(_, w)| *w).fold(0.0, f64::max);
                // A single job is no flood, whatever its size.
                if total - largest > OVERLOAD * capacity * FALL_MS {
                    add(Rule::Cold, format!(
                        "worker {worker}, cold since {start:.0}, has {total:.0} ms of work at {:.0}; it can do {:.0}",
                        e.at, capacity * FALL_MS
                    ));
                }
            }
            _ => {}
        }
    }
}

fn waits(world: &World, add: &mut impl FnMut(Rule, String)) {
    if world.run.scenario.setup.is_none() {
        return;
    }
    for (job, story) in world.jobs().filter(|(job, _)| job.waits()) {
        let Some((got, ..)) = story.got.first() else { continue };
        let id = &job.id;
        if let Some(start) = job.start.filter(|start| got + 1.0 < *start) {
            add(Rule::Early, format!("{id} came to a worker at {got:.0}, before its time {start:.0}"));
        }
        for (name, any) in &job.after {
            let Some(named) = world.stories.get(name.as_str()) else {
                add(Rule::Early, format!("{id} came to a worker, and nobody has ever sent {name}"));
                continue;
            };
            // Killed schedulers take their answers along; what was done before that counts.
            let served = named.status() == Some(200) || named.status().is_none() && !named.done.is_empty();
            if !any && !served {
                add(Rule::Doomed, format!("{id} came to a worker though {name} got {:?}", named.status()));
            } else if !any && named.done.iter().all(|done| done > got) {
                add(Rule::Early, format!("{id} came to a worker at {got:.0}, before {name} was done"));
            } else if *any && named.answered().is_none_or(|at| at > got + APART_MS) {
                add(Rule::Early, format!("{id} came to a worker at {got:.0}, before {name} had an answer"));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Plan;
    use crate::scenario::Scenario;
    use std::sync::Arc;

    fn job(id: &str, after: &[(&str, bool)], start: Option<f64>) -> Job {
        Job {
            id: id.into(),
            at: 0.0,
            class: 0,
            work: 1_000.0,
            slots: 1,
            hint: 1.0,
            patience: 1e4,
            after: after.iter().map(|(n, any)| (n.to_string(), *any)).collect(),
            start,
            leaves: None,
            backlog: false,
            home: 0,
        }
    }

    fn run(effect: Effect, jobs: Vec<Job>, entries: Vec<(f64, Seen)>) -> Run {
        let mut scenario = Scenario::read(crate::bench::tests::SMALL).unwrap();
        scenario.class[0].effect = effect;
        let entries = entries.into_iter().map(|(at, seen)| Entry { at, seen }).collect();
        Run { scenario, plan: Arc::new(Plan::of(jobs)), entries }
    }

    fn sent(job: &str) -> Seen {
        Seen::Sent { job: job.into() }
    }

    fn answered(job: &str, status: u16, own: bool) -> Seen {
        Seen::Answered { job: job.into(), status, own, retry_after: None }
    }

    fn got(job: &str, worker: usize, may_run: bool) -> Seen {
        let status = if may_run { 202 } else { 503 };
        Seen::Got { job: job.into(), worker, scheduler: 0, status, may_run }
    }

    fn done(job: &str) -> Seen {
        Seen::Done { job: job.into(), worker: 0 }
    }

    fn broken(run: &Run) -> Vec<Rule> {
        check(run).into_iter().map(|b| b.rule).collect()
    }

    fn served(extra: Vec<(f64, Seen)>) -> Vec<(f64, Seen)> {
        let mut all = vec![
            (1.0, sent("a")),
            (2.0, got("a", 0, true)),
            (3.0, done("a")),
            (4.0, answered("a", 200, true)),
        ];
        all.extend(extra);
        all
    }

    #[test]
    fn a_job_that_goes_well_breaks_nothing_and_each_way_to_go_wrong_shows() {
        let with = |extra| broken(&run(Effect::Once, vec![job("a", &[], None)], served(extra)));
        assert_eq!(with(vec![]), []);
        assert_eq!(with(vec![(5.0, answered("a", 503, false))]), [Rule::OneAnswer]);
        assert_eq!(with(vec![(5.0, Seen::Surplus { scheduler: 0, bytes: 9 })]), [Rule::OneAnswer]);
        assert_eq!(with(vec![(5.0, got("a", 1, false))]), [Rule::Repeats]);
        let one = |entries| broken(&run(Effect::Repeatable, vec![job("a", &[], None)], entries));
        assert_eq!(one(vec![(1.0, sent("a"))]), [Rule::OneAnswer]);
        assert_eq!(
            one(vec![(1.0, sent("a")), (9.0, Seen::Unanswered { job: "a".into() })]),
            [Rule::OneAnswer]
        );
        let lost = || Seen::Broken { job: "a".into(), scheduler: 0 };
        assert_eq!(one(vec![(1.0, sent("a")), (9.0, lost())]), [Rule::OneAnswer]);
        assert_eq!(one(vec![(1.0, sent("a")), (8.0, Seen::Killed { scheduler: 0 }), (9.0, lost())]), []);
        let up = || (0.7, Seen::Up { scheduler: 0 });
        let before = vec![(0.5, Seen::Killed { scheduler: 0 }), up(), (1.0, sent("a")), (9.0, lost())];
        assert_eq!(one(before), [Rule::OneAnswer]); // it was up again
        assert_eq!(one(vec![(9.0, lost())]), []); // it was never taken
        assert_eq!(one(vec![(1.0, sent("a")), (4.0, answered("a", 200, true))]), [Rule::OwnResult]);
        assert_eq!(
            one(vec![(1.0, sent("a")), (2.0, done("a")), (4.0, answered("a", 200, false))]),
            [Rule::OwnResult]
        );
    }

    #[test]
    fn repeats_are_judged_by_class_and_cell() {
        let again = |effect, worker: usize, at: f64| {
            let twice = vec![(at, got("a", worker, true))];
            broken(&run(effect, vec![job("a", &[], None)], served(twice)))
        };
        assert_eq!(again(Effect::Repeatable, 3, 90.0), []);
        assert_eq!(again(Effect::Once, 0, 90.0), [Rule::Repeats]);
        assert_eq!(again(Effect::ByKey, 1, 90.0), []); // 0 and 1 are one cell
        assert_eq!(again(Effect::ByKey, 2, 90.0), [Rule::Repeats]);
        assert_eq!(again(Effect::ByKey, 1, 30_003.0), [Rule::Repeats]);
    }

    #[test]
    fn sends_after_a_drain_and_floods_of_a_cold_worker_show() {
        let told = |drains| Seen::Told { worker: 0, scheduler: 0, drains };
        let sends = |entries| {
            let all = entries;
            broken(&run(Effect::Repeatable, (0..40).map(|n| job(&n.to_string(), &[], None)).collect(), all))
        };
        let pair = |at, n: &str| vec![(at, sent(n)), (at, got(n, 0, true)), (at, answered(n, 503, false))];
        let mut all = vec![(0.0, told(true))];
        all.extend(pair(790.0, "1"));
        assert_eq!(sends(all.clone()), []);
        all.extend(pair(810.0, "2"));
        assert_eq!(sends(all.clone()), [Rule::Drains]);
        all.insert(4, (800.0, told(false)));
        assert_eq!(sends(all), []);
        // 4 slots at 0.4: 1.6 s of work a second, 3 x 2.4 s may come in 1.5 s, and one more.
        let flood = |n: usize| {
            let mut all = vec![(0.0, Seen::Started { worker: 0 })];
            (0..n).for_each(|i| all.extend(pair(10.0, &i.to_string())));
            sends(all)
        };
        assert_eq!((flood(8), flood(9)), (vec![], vec![Rule::Cold]));
    }

    #[test]
    fn a_view_that_changes_without_a_fault_for_it_shows() {
        let mut run = run(Effect::Repeatable, Vec::new(), Vec::new());
        run.scenario.schedulers = 3;
        run.scenario.members =
            Some(crate::scenario::Members { zones: 3, probe_ms: 500.0, suspicion_ms: 3_000.0 });
        let cut = |at_s, grants: &[usize]| Fault {
            at_s,
            kind: Kind::Cut,
            who: vec![2],
            to: vec![0, 1],
            grants: grants.to_vec(),
            for_s: 5.0,
            factor: 1.0,
        };
        let mut broken = |faults: Vec<Fault>, views: &[(f64, &str)]| {
            run.scenario.fault = faults;
            let view = |(at, states): &(f64, &str)| {
                let (states, minority) = (states.to_string(), false);
                Entry { at: *at, seen: Seen::View { scheduler: 0, states, minority } }
            };
            run.entries = views.iter().map(view).collect();
            for scheduler in [1, 2] {
                let seen = Seen::View { scheduler, states: "aaa".into(), minority: false };
                run.entries.push(Entry { at: 99.0, seen });
            }
            check(&run).into_iter().flat_map(|b| b.examples).collect::<Vec<String>>()
        };
        let once = [(1.0, "aaa"), (9_000.0, "aas"), (10_000.0, "aag"), (16_000.0, "aaa")];
        assert_eq!(broken(vec![cut(5.0, &[2])], &once), Vec::<String>::new());
        assert_eq!(broken(vec![cut(5.0, &[])], &once), ["s0 lost s2 at 10000 without a fault for it"]);
        assert_eq!(broken(vec![cut(12.0, &[2])], &once), ["s0 lost s2 at 10000 without a fault for it"]);
        // Two faults allow two, but not both before the second, nor a third after the last.
        let two = |second| vec![cut(5.0, &[2]), cut(second, &[2])];
        let again = [&once[..], &[(17_000.0, "aag"), (18_000.0, "aaa")]].concat();
        assert_eq!(broken(two(16.0), &again), Vec::<String>::new());
        assert_eq!(broken(two(30.0), &again), ["s0 lost s2 at 17000 without a fault for it"]);
        let third = [&again[..], &[(40_000.0, "aag"), (41_000.0, "aaa")]].concat();
        assert_eq!(broken(two(16.0), &third), ["s0 lost s2 at 40000 without a fault for it"]);
        // A new process that knows nobody yet has lost nobody; one that never comes to know has.
        let fresh = [(1.0, "aaa"), (5_000.0, "a--"), (9_000.0, "aaa")];
        assert_eq!(broken(vec![], &fresh), Vec::<String>::new());
        assert_eq!(broken(vec![], &fresh[..2]).len(), 1);
    }

    #[test]
    fn what_starts_early_or_should_never_start_shows() {
        let jobs = |any| vec![job("a", &[], None), job("b", &[("a", any)], None), job("c", &[], Some(50.0))];
        let b = |at: f64| {
            vec![
                (1.5, sent("b")),
                (at, got("b", 1, true)),
                (60.0, done("b")),
                (61.0, answered("b", 200, true)),
            ]
        };
        let with = |any, extra| broken(&run(Effect::Repeatable, jobs(any), served(extra)));
        assert_eq!(with(false, b(3.5)), []);
        assert_eq!(with(false, b(2.5)), [Rule::Early]);
        let failed = |any| {
            let mut all = vec![(1.0, sent("a")), (4.0, answered("a", 502, false))];
            all.extend(b(5.0));
            broken(&run(Effect::Repeatable, jobs(any), all))
        };
        assert_eq!((failed(false), failed(true)), (vec![Rule::Doomed], vec![]));
        let c = |at: f64| vec![(1.0, sent("c")), (at, got("c", 1, false)), (61.0, answered("c", 503, false))];
        assert_eq!((with(false, c(50.0)), with(false, c(48.0))), (vec![], vec![Rule::Early]));
    }
}
