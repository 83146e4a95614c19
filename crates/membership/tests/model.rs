//! Join, accuse, refute, remove and rejoin of three and four members, in every order in which messages can come or be lost,
//! on the crate's own transition function ([`MemberTable`]), checked by stateright.

use postusher_membership::{
    Accusation, AccusationOutcome, Instance, Mechanisms, MemberId, MemberRecord, MemberStatus, MemberTable,
    RecordChange, Timing,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

fn id(n: usize) -> MemberId {
    MemberId::of(&format!("m{n}"))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Record(usize, u64, MemberStatus, Instance),
    Accusation(Said),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Said {
    accuser: usize,
    subject: usize,
    incarnation: u64,
    sequence: u64,
    stands: bool,
}

/// A member's mind, as plain data: the table is made of it anew for each step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Mind {
    runs: bool,
    incarnation: u64,
    instance: Instance,
    records: BTreeMap<usize, (u64, MemberStatus, Instance)>,
    said: BTreeSet<Said>,
    sequence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    minds: Vec<Mind>,
    /// Messages under way, by whom they go to.
    net: BTreeSet<(usize, Message)>,
    /// The highest incarnation of each that each has believed in.
    high: Vec<Vec<u64>>,
    accusations: u8,
    crashes: u8,
    losses: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Accuse(usize, usize),
    Withdraw(usize, usize),
    Deliver(usize, Message),
    Lose(usize, Message),
    Crash(usize),
    Restart(usize),
}

struct Cluster {
    members: usize,
    mechanisms: Mechanisms,
    accusations: u8,
    crashes: u8,
    losses: u8,
}

fn record(n: usize, incarnation: u64, status: MemberStatus, instance: Instance) -> MemberRecord {
    let (name, addr) = (format!("m{n}"), "127.0.0.1:1".parse().unwrap());
    MemberRecord { name, zone: "z".into(), addr, instance, incarnation, status }
}

impl Cluster {
    fn table(&self, mind: &Mind) -> MemberTable {
        let timing = Timing { removal_delay: 0.0, ..Timing::default() };
        let mut table = MemberTable::new(timing, self.mechanisms);
        for (n, (incarnation, status, instance)) in &mind.records {
            table.apply(record(*n, *incarnation, *status, *instance), 0.0);
        }
        for said in &mind.said {
            table.accuse(accusation(said), 0.0);
        }
        table
    }

    /// Keeps what a table has become, judges, and sends on what is new.
    fn keep(&self, state: &mut State, me: usize, mut table: MemberTable, mut news: Vec<Message>) {
        for gone in table.due_removals(0.0) {
            let n = (0..self.members).find(|n| id(*n) == gone.id()).unwrap();
            news.push(Message::Record(n, gone.incarnation, gone.status, gone.instance));
            table.apply(gone, 0.0);
        }
        let mind = &mut state.minds[me];
        mind.records.clear();
        for n in 0..self.members {
            if let Some(r) = table.record(id(n)) {
                mind.records.insert(n, (r.incarnation, r.status, r.instance));
                state.high[me][n] = state.high[me][n].max(r.incarnation);
            }
        }
        mind.said.retain(|s| {
            table
                .accusations_against(id(s.subject))
                .any(|a| a.accuser == id(s.accuser) && a.sequence == s.sequence)
        });
        for message in news {
            state.net.extend((0..self.members).filter(|to| *to != me).map(|to| (to, message.clone())));
        }
    }

    fn refute(&self, state: &mut State, me: usize, table: &mut MemberTable, heard: u64) -> Vec<Message> {
        let mind = &mut state.minds[me];
        if !self.mechanisms.refutation || heard < mind.incarnation {
            return Vec::new();
        }
        mind.incarnation = if self.mechanisms.raised_incarnation { heard + 1 } else { heard };
        table.apply(record(me, mind.incarnation, MemberStatus::Alive, mind.instance), 0.0);
        vec![Message::Record(me, mind.incarnation, MemberStatus::Alive, mind.instance)]
    }

    fn deliver(&self, state: &mut State, to: usize, message: Message) {
        let mut table = self.table(&state.minds[to]);
        let mut news = Vec::new();
        match &message {
            Message::Record(n, incarnation, status, instance) if *n == to => {
                if *status != MemberStatus::Alive || *instance != state.minds[to].instance {
                    news = self.refute(state, to, &mut table, *incarnation);
                }
            }
            Message::Record(n, incarnation, status, instance) => {
                let change = table.apply(record(*n, *incarnation, *status, *instance), 0.0);
                news.extend((change != RecordChange::Unchanged).then_some(message));
            }
            Message::Accusation(said) if said.subject == to => {
                if said.stands {
                    news = self.refute(state, to, &mut table, said.incarnation);
                }
            }
            Message::Accusation(said) => {
                if table.accuse(accusation(said), 0.0) == AccusationOutcome::Recorded {
                    state.minds[to].said.retain(|s| (s.accuser, s.subject) != (said.accuser, said.subject));
                    state.minds[to].said.insert(said.clone());
                }
            }
        }
        self.keep(state, to, table, news);
    }

    fn say(&self, state: &mut State, accuser: usize, subject: usize, stands: bool) {
        let mut table = self.table(&state.minds[accuser]);
        let mind = &mut state.minds[accuser];
        mind.sequence += 1;
        let incarnation = mind.records[&subject].0;
        let said = Said { accuser, subject, incarnation, sequence: mind.sequence, stands };
        mind.said.retain(|s| (s.accuser, s.subject) != (accuser, subject));
        mind.said.insert(said.clone());
        table.accuse(accusation(&said), 0.0);
        self.keep(state, accuser, table, vec![Message::Accusation(said)]);
    }
}

fn accusation(said: &Said) -> Accusation {
    let Said { accuser, subject, incarnation, sequence, stands } = *said;
    Accusation {
        accuser: id(accuser),
        subject: id(subject),
        incarnation,
        sequence,
        stands,
        accuser_is_connected: true,
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let instance = |n: usize| Instance { first_incarnation: 1, nonce: n as u64 };
        let members = self.members;
        let records: BTreeMap<_, _> =
            (0..members).map(|n| (n, (1, MemberStatus::Alive, instance(n)))).collect();
        let mind = |n| Mind {
            runs: true,
            incarnation: 1,
            instance: instance(n),
            records: records.clone(),
            said: BTreeSet::new(),
            sequence: 0,
        };
        vec![State {
            minds: (0..members).map(mind).collect(),
            net: BTreeSet::new(),
            high: vec![vec![1; members]; members],
            accusations: 0,
            crashes: 0,
            losses: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (to, message) in &state.net {
            actions.push(Step::Deliver(*to, message.clone()));
            if state.losses < self.losses {
                actions.push(Step::Lose(*to, message.clone()));
            }
        }
        for (n, mind) in state.minds.iter().enumerate() {
            if !mind.runs {
                actions.push(Step::Restart(n));
                continue;
            }
            if state.crashes < self.crashes {
                actions.push(Step::Crash(n));
            }
            // It makes no difference which one is accused.
            for other in [self.members - 1].into_iter().filter(|o| *o != n) {
                let mine = |s: &&Said| s.accuser == n && s.subject == other && s.stands;
                let alive = mind.records.get(&other).is_some_and(|r| r.1 == MemberStatus::Alive);
                if mind.said.iter().any(|s| mine(&s)) {
                    actions.push(Step::Withdraw(n, other));
                } else if alive && state.accusations < self.accusations {
                    actions.push(Step::Accuse(n, other));
                }
            }
        }
    }

    fn next_state(&self, last: &State, action: Step) -> Option<State> {
        let mut state = last.clone();
        match action {
            Step::Accuse(n, other) => {
                state.accusations += 1;
                self.say(&mut state, n, other, true);
            }
            Step::Withdraw(n, other) => self.say(&mut state, n, other, false),
            Step::Deliver(to, message) => {
                state.net.remove(&(to, message.clone()));
                if state.minds[to].runs {
                    self.deliver(&mut state, to, message);
                }
            }
            Step::Lose(to, message) => {
                state.losses += 1;
                state.net.remove(&(to, message));
            }
            Step::Crash(n) => {
                state.crashes += 1;
                state.minds[n].runs = false;
            }
            Step::Restart(n) => {
                // It asks one that runs who is there, and what its name was believed to be.
                let asked = state.minds.iter().position(|m| m.runs)?;
                let theirs = state.minds[asked].records.clone();
                let incarnation = theirs.get(&n).map_or(0, |r| r.0) + 1;
                let instance = Instance { first_incarnation: incarnation, nonce: 100 + n as u64 };
                let mind = &mut state.minds[n];
                (mind.runs, mind.incarnation, mind.instance) = (true, incarnation, instance);
                (mind.records, mind.said) = (theirs, BTreeSet::new());
                state.high[n] = vec![0; self.members]; // another process, that has believed in nothing yet
                let mut table = self.table(&state.minds[n]);
                table.apply(record(n, incarnation, MemberStatus::Alive, instance), 0.0);
                let news = vec![Message::Record(n, incarnation, MemberStatus::Alive, instance)];
                self.keep(&mut state, n, table, news);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("incarnations only rise", |c: &Cluster, s: &State| {
                let believed = |by: usize, of: usize| s.minds[by].records.get(&of).map_or(0, |r| r.0);
                let all = 0..c.members;
                all.clone()
                    .all(|by| !s.minds[by].runs || all.clone().all(|of| believed(by, of) == s.high[by][of]))
            }),
            Property::always("nobody but itself raises an incarnation", |_, s: &State| {
                let own = |of: usize| s.minds[of].incarnation;
                s.minds.iter().all(|m| m.records.iter().all(|(of, r)| r.0 <= own(*of)))
            }),
            Property::always("a refuted suspicion removes nobody", |c: &Cluster, s: &State| {
                // Whoever has heard of the present incarnation of one that runs believes in it until that is accused.
                let gone = |by: &Mind, of: usize| {
                    let now = (s.minds[of].incarnation, MemberStatus::Removed);
                    by.records.get(&of).is_some_and(|r| (r.0, r.1) == now)
                };
                let runs = |of: usize| s.minds[of].runs;
                let accused = |of: usize| s.accusations >= 2 || s.crashes > 0 || !runs(of);
                (0..c.members).all(|of| accused(of) || s.minds.iter().all(|by| !gone(by, of)))
            }),
            Property::always("one that runs and was removed comes back", |c: &Cluster, s: &State| {
                let quiet = s.net.is_empty() && s.losses == 0 && s.crashes == 0;
                let alive = |m: &Mind, of| m.records.get(&of).is_some_and(|r| r.1 == MemberStatus::Alive);
                !quiet || s.minds.iter().all(|m| (0..c.members).all(|of| alive(m, of)))
            }),
            Property::sometimes("a member that runs can be removed at all", |_, s: &State| {
                let gone = |m: &Mind| m.records.values().any(|r| r.1 == MemberStatus::Removed);
                s.minds.iter().any(|m| m.runs && gone(m))
            }),
            Property::sometimes(
                "a member that was removed is believed in again",
                |c: &Cluster, s: &State| {
                    let back = |of: usize| s.minds[of].incarnation >= 3;
                    (0..c.members)
                        .any(|of| back(of) && s.minds.iter().all(|m| m.records[&of].1 == MemberStatus::Alive))
                },
            ),
        ]
    }
}

#[test]
fn what_must_hold_does_in_every_order() {
    let lost =
        Cluster { members: 3, mechanisms: Mechanisms::default(), accusations: 2, crashes: 0, losses: 1 };
    let checked = lost.checker().threads(4).spawn_bfs().join();
    checked.assert_properties();
    println!("losses: {} states", checked.unique_state_count());
}

/// Of four, two of three observers are needed. All 15 million states take a quarter of an hour: `make members-model`.
fn four(mechanisms: Mechanisms) -> Cluster {
    Cluster { members: 4, mechanisms, accusations: 2, crashes: 0, losses: 0 }
}

#[test]
#[ignore = "a quarter of an hour"]
fn and_among_four_members() {
    let checked = four(Mechanisms::default()).checker().threads(4).spawn_bfs().join();
    checked.assert_properties();
    println!("four: {} states", checked.unique_state_count());
}

#[test]
fn and_among_four_members_in_the_first_states() {
    let first =
        |mechanisms| four(mechanisms).checker().threads(4).target_state_count(100_000).spawn_bfs().join();
    let checked = first(Mechanisms::default());
    for what in [
        "incarnations only rise",
        "nobody but itself raises an incarnation",
        "a refuted suspicion removes nobody",
        "one that runs and was removed comes back",
    ] {
        checked.assert_no_discovery(what);
    }
    assert!(checked.unique_state_count() >= 20_000);
    // They go far enough to find a mistake.
    let one = first(Mechanisms { quorum: false, ..Mechanisms::default() });
    assert!(one.discovery("a refuted suspicion removes nobody").is_some(), "one accuser removes");
}

#[test]
fn and_with_a_crash_and_a_restart() {
    let crash =
        Cluster { members: 3, mechanisms: Mechanisms::default(), accusations: 1, crashes: 1, losses: 0 };
    let checked = crash.checker().threads(4).spawn_bfs().join();
    checked.assert_no_discovery("incarnations only rise");
    checked.assert_no_discovery("nobody but itself raises an incarnation");
    println!("crash: {} states", checked.unique_state_count());
}

#[test]
fn a_planted_mistake_is_found() {
    for mechanisms in [
        Mechanisms { raised_incarnation: false, ..Mechanisms::default() },
        Mechanisms { refutation: false, ..Mechanisms::default() },
    ] {
        let wrong = Cluster { members: 3, mechanisms, accusations: 2, crashes: 0, losses: 0 };
        let checked = wrong.checker().threads(4).spawn_bfs().join();
        assert!(checked.discovery("one that runs and was removed comes back").is_some(), "{mechanisms:?}");
    }
    let one = Cluster {
        members: 3,
        mechanisms: Mechanisms { quorum: false, ..Mechanisms::default() },
        accusations: 1,
        crashes: 0,
        losses: 0,
    };
    let checked = one.checker().threads(4).spawn_bfs().join();
    assert!(checked.discovery("a refuted suspicion removes nobody").is_some(), "one accuser removes");
}
