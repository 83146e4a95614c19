//! Random days against an independent model of the rules: order, placement, 'full' is no proof, effects, drains.

mod common;
use common::*;
use postusher::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const WORKERS: u32 = 6;
const PAUSE: Micros = 300 * MS;

/// How an attempt ended and when; `None` while it is out.
type Ended = Option<(Ending, Micros)>;

#[derive(Default)]
struct Told {
    class: u16,
    key: u64,
    over: bool,
    /// Worker, when sent, how it ended and when.
    legs: Vec<(u32, Micros, Ended)>,
}

impl Told {
    /// The first attempt that may have run: its worker and when it was sent.
    fn first_run(&self) -> Option<(u32, Micros)> {
        let never = |e: &Ended| e.is_some_and(|(e, _)| matches!(e, Ending::ConnectFailed | Ending::Moot));
        self.legs.iter().find(|(_, _, ended)| !never(ended)).map(|(w, sent, _)| (*w, *sent))
    }

    /// Whether the next of its key may be sent.
    fn lets_go(&self, now: Micros) -> bool {
        let rested = |(e, at): (Ending, Micros)| {
            now >= at
                + if matches!(e, Ending::Timeout | Ending::Reset | Ending::Cancelled) { PAUSE } else { 0 }
        };
        self.over && self.legs.iter().all(|(_, _, ended)| ended.is_some_and(rested))
    }
}

struct Day {
    rig: Rig,
    jobs: BTreeMap<u32, Told>,
    draining: Vec<u32>,
    timers: BTreeMap<(Micros, usize), u64>,
    set: usize,
}

impl Day {
    fn new(siblings: u32, copies: bool) -> Day {
        let mut s = settings();
        s.classes = vec![
            Class { keep_order: true, ..class(Effect::Repeatable) },
            class(keyed(Group::Cell)),
            class(Effect::Once),
            Class { kinds: Some(vec![1]), ..class(Effect::Repeatable) },
        ];
        s = Settings { siblings, second_copies: copies, tells_start: copies, order_pause: PAUSE, ..s };
        let s = Settings { full_may_have_run: true, fetch_price: 0.05, ..s };
        let mut rig = Rig::new(s, 0);
        rig.members(ListKind::Full, (1..=WORKERS).map(|w| Self::member(w, Readiness::Ready)).collect());
        (1..=WORKERS).for_each(|w| rig.probed(w, Ending::Ok, &[2.0, 0.0]));
        Day { rig, jobs: BTreeMap::new(), draining: Vec::new(), timers: BTreeMap::new(), set: 0 }
    }

    fn member(w: u32, readiness: Readiness) -> Member {
        Member { kind: (w % 2) as u16, cell: (w % 3) as u16, readiness, ..member(w) }
    }

    /// Plays an event and checks what came out.
    fn play(&mut self, event: Event) {
        self.rig.actions.clear();
        self.rig.play(event);
        let now = self.rig.now;
        for action in std::mem::take(&mut self.rig.actions) {
            match action {
                Action::Wake { after, cookie } => {
                    self.set += 1;
                    self.timers.insert((now + after.max(1), self.set), cookie);
                }
                Action::Send { job, worker, .. } => self.sent(job.0, worker.0, now),
                Action::Refuse { job, .. } => {
                    let told = &self.jobs[&job.0];
                    let ran = told.first_run().is_some();
                    assert!(!(ran && matches!(told.class, 1 | 2)), "refused though it may have run");
                    self.answered(job.0);
                }
                Action::Fail { job } => self.answered(job.0),
                _ => {}
            }
        }
    }

    fn answered(&mut self, job: u32) {
        let told = self.jobs.get_mut(&job).expect("a job that came");
        assert!(!told.over, "answered twice");
        told.over = true;
    }

    fn sent(&mut self, job: u32, worker: u32, now: Micros) {
        let told = &self.jobs[&job];
        assert!(!told.over && told.legs.len() < 5, "sent after its end, or too often");
        assert!(!self.draining.contains(&worker), "sent to a draining worker");
        assert!(told.class != 3 || worker % 2 == 1, "placement");
        match (told.class, told.first_run()) {
            (2, ran) => assert!(ran.is_none(), "once, and sent again"),
            (1, Some((first, sent))) => {
                assert!(worker % 3 == first % 3 && now <= sent + 4 * S, "outside its cell or window");
            }
            _ => {}
        }
        let (class, key) = (told.class, told.key);
        let mut before = self.jobs.range(..job).filter(|(_, t)| t.class == 0 && t.key == key);
        assert!(class != 0 || key == 0 || before.all(|(_, t)| t.lets_go(now)), "out of turn");
        self.jobs.entry(job).and_modify(|t| t.legs.push((worker, now, None)));
    }

    fn settle(&mut self, job: u32, leg: usize, ending: Ending) {
        let now = self.rig.now;
        let told = self.jobs.get_mut(&job).expect("a job that came");
        let latency = now - told.legs[leg].1;
        told.legs[leg].2 = Some((ending, now));
        told.over |= ending == Ending::Ok;
        let done = told.over;
        let report = vec![2.0, 0.0];
        self.play(Event::Settled(Outcome { job: JobId(job), leg: leg as u8, ending, latency, done, report }));
    }

    /// Moves the clock, with the timers that come due, in order.
    fn wait(&mut self, time: Micros) {
        let until = self.rig.now + time;
        while let Some(((at, n), cookie)) = self.timers.first_key_value().map(|(k, c)| (*k, *c)) {
            if at > until {
                break;
            }
            self.timers.remove(&(at, n));
            self.rig.now = at;
            self.play(Event::Timer(cookie));
        }
        self.rig.now = until;
    }

    fn out(&self) -> Vec<(u32, usize)> {
        let legs = self.jobs.iter().flat_map(|(job, t)| (0..t.legs.len()).map(move |l| (*job, l)));
        legs.filter(|(job, leg)| self.jobs[job].legs[*leg].2.is_none()).collect()
    }
}

fn day(script: &[(u8, u8, u16)], siblings: u32, copies: bool) {
    const ENDINGS: [Ending; 8] = [
        Ending::Ok,
        Ending::Ok,
        Ending::Full,
        Ending::Error,
        Ending::Timeout,
        Ending::Reset,
        Ending::ConnectFailed,
        Ending::Cancelled,
    ];
    let mut d = Day::new(siblings, copies);
    for (n, (what, which, step)) in script.iter().enumerate() {
        d.wait(Micros::from(*step) * 3);
        let out = d.out();
        let one = out.get(usize::from(*which) % out.len().max(1)).copied();
        match (what % 8, one) {
            (0..=3, _) => {
                let (id, class) = (n as u32, u16::from(what / 8 % 4));
                let key = u64::from(which % 4);
                d.jobs.insert(id, Told { class, key, ..Told::default() });
                let (expires, hint) = (d.rig.now + 5 * S, None);
                d.play(Event::Arrived(Job {
                    id: JobId(id),
                    class,
                    expires,
                    hint,
                    slots: 1,
                    key,
                    customer: 0,
                }));
            }
            (4 | 5, Some((job, leg))) => d.settle(job, leg, ENDINGS[usize::from(which / 8 % 8)]),
            (6, Some((job, leg))) if which % 4 > 0 => {
                d.play(Event::Started { job: JobId(job), leg: leg as u8 });
            }
            (6, Some((job, _))) if !d.jobs[&job].over => {
                d.jobs.entry(job).and_modify(|t| t.over = true);
                d.play(Event::ClientGone(JobId(job)));
            }
            (7, _) => {
                let worker = 1 + u32::from(*which) % WORKERS;
                let ready = d.draining.contains(&worker);
                d.draining.retain(|w| *w != worker);
                d.draining.extend((!ready).then_some(worker));
                let readiness = if ready { Readiness::Ready } else { Readiness::Draining };
                let members = vec![Day::member(worker, readiness)];
                d.play(Event::Members { kind: ListKind::Delta, members });
            }
            _ => {}
        }
    }
    d.wait(6 * S);
    assert!(d.jobs.values().all(|t| t.over), "no final answer by the deadline");
    for (job, leg) in d.out() {
        d.settle(job, leg, Ending::Timeout);
    }
    assert!((1..=WORKERS).all(|w| d.rig.dispatcher.tokens(WorkerId(w)).1 == 0), "tokens still held");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::with_cases(96) })]

    #[test]
    fn all_rules_hold_on_random_days(
        script in prop::collection::vec(any::<(u8, u8, u16)>(), 1..300),
        many: bool,
        copies: bool,
    ) {
        day(&script, if many { 300 } else { 1 }, copies);
    }
}
