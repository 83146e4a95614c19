//! The members' states as plain data, and the steps between them on the crate's own transition function.

use postusher_membership::{
    Accusation, AccusationOutcome, Instance, Mechanisms, MemberId, MemberRecord, MemberStatus, MemberTable,
    RecordChange, Timing,
};
use std::collections::{BTreeMap, BTreeSet};

fn id(member: usize) -> MemberId {
    MemberId::of(&format!("m{member}"))
}

/// What is told of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelRecord {
    pub incarnation: u64,
    pub status: MemberStatus,
    pub instance: Instance,
}

impl ModelRecord {
    pub fn alive(incarnation: u64, instance: Instance) -> ModelRecord {
        ModelRecord { incarnation, status: MemberStatus::Alive, instance }
    }

    fn of(record: &MemberRecord) -> ModelRecord {
        ModelRecord { incarnation: record.incarnation, status: record.status, instance: record.instance }
    }

    pub fn is_alive(&self) -> bool {
        self.status == MemberStatus::Alive
    }

    /// The record as the crate has it.
    pub fn full(&self, member: usize) -> MemberRecord {
        MemberRecord {
            name: format!("m{member}"),
            zone: "z".into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            instance: self.instance,
            incarnation: self.incarnation,
            status: self.status,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelAccusation {
    pub accuser: usize,
    pub subject: usize,
    pub incarnation: u64,
    pub sequence: u64,
    pub stands: bool,
}

impl ModelAccusation {
    /// The accusation as the crate has it.
    pub fn full(&self) -> Accusation {
        Accusation {
            accuser: id(self.accuser),
            subject: id(self.subject),
            incarnation: self.incarnation,
            sequence: self.sequence,
            stands: self.stands,
            accuser_is_connected: true,
        }
    }

    pub fn is_of(&self, accuser: usize, subject: usize) -> bool {
        self.accuser == accuser && self.subject == subject
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Record { member: usize, record: ModelRecord },
    Accusation(ModelAccusation),
}

/// A member's state as plain data: its table is made of it anew for each step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelMember {
    pub is_running: bool,
    pub incarnation: u64,
    pub instance: Instance,
    pub records: BTreeMap<usize, ModelRecord>,
    pub accusations: BTreeSet<ModelAccusation>,
    pub sequence: u64,
}

impl ModelMember {
    /// Replaces what an accuser said of a member before.
    fn keep_accusation(&mut self, accusation: ModelAccusation) {
        self.accusations.retain(|known| !known.is_of(accusation.accuser, accusation.subject));
        self.accusations.insert(accusation);
    }

    pub fn believes_alive(&self, member: usize) -> bool {
        self.records.get(&member).is_some_and(ModelRecord::is_alive)
    }

    pub fn believed_incarnation(&self, member: usize) -> u64 {
        self.records.get(&member).map_or(0, |record| record.incarnation)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub members: Vec<ModelMember>,
    /// Messages under way, by their receivers.
    pub network: BTreeSet<(usize, Message)>,
    /// The highest incarnation of each that each has believed in.
    pub highest_incarnations: Vec<Vec<u64>>,
    pub accusations: u8,
    pub crashes: u8,
    pub losses: u8,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Accuse { accuser: usize, subject: usize },
    Withdraw { accuser: usize, subject: usize },
    Deliver { to: usize, message: Message },
    Lose { to: usize, message: Message },
    Crash(usize),
    Restart(usize),
}

pub struct Cluster {
    pub members: usize,
    pub mechanisms: Mechanisms,
    pub max_accusations: u8,
    pub max_crashes: u8,
    pub max_losses: u8,
}

impl Cluster {
    fn table(&self, member: &ModelMember) -> MemberTable {
        let timing = Timing { removal_delay: 0.0, ..Timing::default() };
        let mut table = MemberTable::new(timing, self.mechanisms);
        for (other, record) in &member.records {
            table.apply(record.full(*other), 0.0);
        }
        for accusation in &member.accusations {
            table.accuse(accusation.full(), 0.0);
        }
        table
    }

    /// Stores what a table has become, removes members, and sends on what is new.
    fn store(&self, state: &mut State, own: usize, mut table: MemberTable, mut news: Vec<Message>) {
        for removal in table.due_removals(0.0) {
            let member = (0..self.members).find(|other| id(*other) == removal.id()).unwrap();
            news.push(Message::Record { member, record: ModelRecord::of(&removal) });
            table.apply(removal, 0.0);
        }
        let member = &mut state.members[own];
        member.records.clear();
        for other in 0..self.members {
            if let Some(record) = table.record(id(other)) {
                member.records.insert(other, ModelRecord::of(record));
                let highest = &mut state.highest_incarnations[own][other];
                *highest = (*highest).max(record.incarnation);
            }
        }
        member.accusations.retain(|kept| {
            let mut standing = table.accusations_against(id(kept.subject));
            standing.any(|other| other.accuser == id(kept.accuser) && other.sequence == kept.sequence)
        });
        for message in news {
            let receivers = (0..self.members).filter(|to| *to != own);
            state.network.extend(receivers.map(|to| (to, message.clone())));
        }
    }

    fn refute(&self, state: &mut State, own: usize, table: &mut MemberTable, accused: u64) -> Vec<Message> {
        let member = &mut state.members[own];
        if !self.mechanisms.refutation || accused < member.incarnation {
            return Vec::new();
        }
        member.incarnation = if self.mechanisms.raised_incarnation { accused + 1 } else { accused };
        let record = ModelRecord::alive(member.incarnation, member.instance);
        table.apply(record.full(own), 0.0);
        vec![Message::Record { member: own, record }]
    }

    pub fn deliver(&self, state: &mut State, to: usize, message: Message) {
        let mut table = self.table(&state.members[to]);
        let mut news = Vec::new();
        match &message {
            Message::Record { member, record } if *member == to => {
                if !record.is_alive() || record.instance != state.members[to].instance {
                    news = self.refute(state, to, &mut table, record.incarnation);
                }
            }
            Message::Record { member, record } => {
                if table.apply(record.full(*member), 0.0) != RecordChange::Unchanged {
                    news.push(message);
                }
            }
            Message::Accusation(accusation) if accusation.subject == to => {
                if accusation.stands {
                    news = self.refute(state, to, &mut table, accusation.incarnation);
                }
            }
            Message::Accusation(accusation) => {
                if table.accuse(accusation.full(), 0.0) == AccusationOutcome::Recorded {
                    state.members[to].keep_accusation(accusation.clone());
                }
            }
        }
        self.store(state, to, table, news);
    }

    pub fn accuse(&self, state: &mut State, accuser: usize, subject: usize, stands: bool) {
        let mut table = self.table(&state.members[accuser]);
        let member = &mut state.members[accuser];
        member.sequence += 1;
        let incarnation = member.records[&subject].incarnation;
        let sequence = member.sequence;
        let accusation = ModelAccusation { accuser, subject, incarnation, sequence, stands };
        member.keep_accusation(accusation.clone());
        table.accuse(accusation.full(), 0.0);
        self.store(state, accuser, table, vec![Message::Accusation(accusation)]);
    }

    /// A new process asks one that runs for the members, and what its name was believed to be.
    pub fn restart(&self, state: &mut State, own: usize) -> Option<()> {
        let asked = state.members.iter().position(|member| member.is_running)?;
        let records = state.members[asked].records.clone();
        let incarnation = records.get(&own).map_or(0, |record| record.incarnation) + 1;
        let instance = Instance { first_incarnation: incarnation, nonce: 100 + own as u64 };
        let sequence = state.members[own].sequence;
        let accusations = BTreeSet::new();
        state.members[own] =
            ModelMember { is_running: true, incarnation, instance, records, accusations, sequence };
        // Another process, that has believed in nothing yet.
        state.highest_incarnations[own] = vec![0; self.members];
        let mut table = self.table(&state.members[own]);
        let record = ModelRecord::alive(incarnation, instance);
        table.apply(record.full(own), 0.0);
        self.store(state, own, table, vec![Message::Record { member: own, record }]);
        Some(())
    }
}
