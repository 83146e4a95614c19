//! An upgrade, without its sockets: what the process that runs and the one that is to follow it tell each other. Both
//! are one scheduler to everybody else.

use crate::clock::Millis;
use crate::http::Outbox;
use crate::management::Call;
use postusher::{Memory, WorkerId};
use postusher_waiting::End;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What one process tells the other: a line of JSON each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// From the old one, first, along with the listening socket.
    State(State),
    /// From the new one: it takes clients from now on.
    Ready,
    /// An operator has called the other.
    Called(Call),
    /// News that has come to the other, of a job that is not its own.
    News(String),
    /// A job under this id is under way at the other.
    Open(String),
    /// And is over.
    Over(String),
    /// A job of the other has ended so, for those that wait for it.
    Ended(Word),
    /// From the old one, once the new one takes clients: what it has learned.
    Learned(Learned),
    /// A client's connection comes over, and with it the job that it waits for.
    Moved(Moved),
}

/// What the new process must know to go on as the same scheduler.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Targets that operators have taken out.
    pub taken_out: Vec<String>,
    /// Whether an operator sends clients away.
    pub drained: bool,
    /// The ids of jobs under way.
    pub open: Vec<String>,
    /// Jobs that have ended and may still be waited for, the first to end in front.
    #[serde(default)]
    pub ended: Vec<Word>,
    /// A digest of the settings that the old process goes by. Versions before it don't tell.
    #[serde(default)]
    pub settings: Option<u64>,
}

/// How a job has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The client's id for it.
    pub id: String,
    /// How.
    pub how: How,
}

/// The ends of jobs, as they are told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// See [`End`].
    Served,
    /// See [`End`].
    Refused,
    /// See [`End`].
    Failed,
    /// See [`End`].
    Left,
}

impl From<End> for How {
    fn from(end: End) -> How {
        match end {
            End::Served => How::Served,
            End::Refused => How::Refused,
            End::Failed => How::Failed,
            End::Left => How::Left,
        }
    }
}

impl From<How> for End {
    fn from(how: How) -> End {
        match how {
            How::Served => End::Served,
            How::Refused => End::Refused,
            How::Failed => End::Failed,
            How::Left => End::Left,
        }
    }
}

/// The module's memory, with targets by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    fleet: Vec<Option<f64>>,
    lay: f64,
    recent: Vec<f64>,
    classes: Vec<(Option<f64>, Option<f64>, f64)>,
    kinds: Vec<(u16, Option<f64>)>,
    /// Versions before customers don't tell it.
    #[serde(default)]
    accounts: Vec<f64>,
    targets: Vec<(String, Health)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Health {
    slots: i64,
    others: f64,
    reported: Option<u64>,
    strain: f64,
    avoided: u64,
    strikes: u32,
}

impl Learned {
    /// The module's memory as it is told; a target without a name is left out.
    pub fn from(memory: Memory, name: impl Fn(WorkerId) -> Option<String>) -> Learned {
        let Memory { fleet, lay, recent, classes, kinds, accounts, workers } = memory;
        let target = |(id, h): (WorkerId, postusher::Health)| {
            let postusher::Health { slots, others, reported, strain, avoided, strikes } = h;
            Some((name(id)?, Health { slots, others, reported, strain, avoided, strikes }))
        };
        let targets = workers.into_iter().filter_map(target).collect();
        Learned { fleet, lay, recent, classes, kinds, accounts, targets }
    }

    /// And as the other module takes it.
    pub fn memory(self, id: impl Fn(&str) -> WorkerId) -> Memory {
        let Learned { fleet, lay, recent, classes, kinds, accounts, targets } = self;
        let worker = |(name, h): (String, Health)| {
            let Health { slots, others, reported, strain, avoided, strikes } = h;
            (id(&name), postusher::Health { slots, others, reported, strain, avoided, strikes })
        };
        let workers = targets.into_iter().map(worker).collect();
        Memory { fleet, lay, recent, classes, kinds, accounts, workers }
    }
}

/// What there is to know of a connection that comes over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    /// For how long it has been open.
    pub age: Millis,
    /// It has had an answer before.
    pub has_served: bool,
    /// What its client waits for.
    pub job: Option<MovedJob>,
}

/// A job that comes over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MovedJob {
    /// The request, as a target would get it now.
    pub request: Vec<u8>,
    /// Its client closes after it.
    pub last: bool,
    /// Its attempts, in order.
    pub legs: Vec<MovedLeg>,
    /// It is held, and waits for this.
    #[serde(default)]
    pub held: Option<MovedWait>,
}

/// What a job that comes over waits for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MovedWait {
    /// The jobs that have not ended yet, and whether any end will do.
    pub after: Vec<(String, bool)>,
    /// Not to start before so long from now.
    pub start_in: Option<Millis>,
    /// For how long it has been ready.
    pub ready_for: Option<Millis>,
    /// For so long those that nobody knows may still arrive.
    pub grace_left: Millis,
}

/// An attempt of a job that comes over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MovedLeg {
    /// The target's name.
    pub target: String,
    /// For how long it has been out, or was sent before.
    pub age: Millis,
    /// Its target has it.
    pub out: bool,
    /// It may have run.
    pub ran: bool,
}

/// So much may wait for the other process. Guards against: one that has stopped reading and fills the memory.
const MOST_WAITING: usize = 16 * 1024 * 1024;

/// The way to the other process: what has come in part, and what waits to be sent.
#[derive(Default)]
pub struct Link {
    inbox: Vec<u8>,
    /// Lines on their way.
    pub outbox: Outbox,
}

impl Link {
    /// Sends a message.
    pub fn tell(&mut self, message: &Message) {
        match serde_json::to_vec(message) {
            Ok(line) => self.outbox.put(&[&line, &b"\n"[..]].concat()),
            Err(e) => log::error!("{message:?} has no form: {e}"),
        }
    }

    /// Takes in what was read and gives the messages that are whole. One that cannot be read is left out: the other
    /// process may be of another version.
    pub fn receive(&mut self, bytes: &[u8]) -> Vec<Message> {
        self.inbox.extend_from_slice(bytes);
        let Some(end) = self.inbox.iter().rposition(|b| *b == b'\n') else { return Vec::new() };
        let rest = self.inbox.split_off(end + 1);
        let lines = std::mem::replace(&mut self.inbox, rest);
        let read = |line: &[u8]| match serde_json::from_slice(line) {
            Ok(message) => Some(message),
            Err(e) => {
                log::warn!("upgrade: a message cannot be read: {e}");
                None
            }
        };
        lines.split(|b| *b == b'\n').filter(|line| !line.is_empty()).filter_map(read).collect()
    }

    /// Whether the other process has stopped reading, or never ends a line.
    pub fn is_stuck(&self) -> bool {
        self.outbox.unsent().len().max(self.inbox.len()) > MOST_WAITING
    }
}

/// Where the process that serves an address is found by the one that is to follow it; nowhere for an address that
/// the system chooses, which no second process could name.
pub fn meeting_place(listen: SocketAddr) -> Option<PathBuf> {
    let name = format!("postusher-{}-{}.sock", listen.ip(), listen.port()).replace(':', "_");
    (listen.port() != 0).then(|| std::env::temp_dir().join(name))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_come_through_in_pieces_of_any_size_and_unreadable_ones_are_left_out() {
        let told = [
            Message::State(State {
                taken_out: vec!["s-1".into()],
                drained: true,
                open: vec!["9b\n".into()],
                ended: vec![Word { id: "t0".into(), how: How::Left }],
                settings: Some(u64::MAX),
            }),
            Message::Ended(Word { id: "t9".into(), how: How::Served }),
            Message::Ready,
            Message::Called(Call::TakeOut("s-2".into())),
            Message::News("{\"id\":\"9b\"}\n".into()),
            Message::Open("t1".into()),
            Message::Over("t1".into()),
            Message::Moved(Moved {
                age: 1.5,
                has_served: true,
                job: Some(MovedJob {
                    request: vec![0, 255, b'\n'],
                    last: false,
                    legs: vec![MovedLeg { target: "s-1".into(), age: 7.0, out: true, ran: true }],
                    held: Some(MovedWait {
                        after: vec![("t8".into(), true)],
                        start_in: Some(2.5),
                        ready_for: None,
                        grace_left: 1.5,
                    }),
                }),
            }),
        ];
        let mut from = Link::default();
        from.outbox.put(b"{\"of a later version\":1}\n");
        told.iter().for_each(|message| from.tell(message));
        for size in 1..50 {
            let mut to = Link::default();
            let heard: Vec<_> = from.outbox.unsent().chunks(size).flat_map(|part| to.receive(part)).collect();
            assert_eq!(heard, told);
        }
    }

    #[test]
    fn what_was_learned_comes_through_whole_with_targets_by_name() {
        let health = postusher::Health {
            slots: 5,
            others: 0.5,
            reported: Some(9),
            strain: 1.5,
            avoided: 7,
            strikes: 2,
        };
        let memory = Memory {
            fleet: vec![Some(1.5), None],
            lay: 2.5,
            recent: vec![0.5, -0.5],
            classes: vec![(Some(0.1), None, 0.2)],
            kinds: vec![(1, Some(0.3))],
            accounts: vec![1.5, -2.0],
            workers: vec![(WorkerId(7), health), (WorkerId(8), health)],
        };
        let learned = Learned::from(memory.clone(), |id| (id.0 == 7).then(|| "s-7".to_string()));
        let mut older = serde_json::to_value(&learned).unwrap();
        older.as_object_mut().unwrap().remove("accounts");
        let older: Learned = serde_json::from_value(older).unwrap();
        assert!(
            older.memory(|_| WorkerId(7)).accounts.is_empty(),
            "a version before customers is understood"
        );
        let (mut from, mut to) = (Link::default(), Link::default());
        from.tell(&Message::Learned(learned));
        let Some(Message::Learned(heard)) = to.receive(from.outbox.unsent()).pop() else { panic!() };
        let known = Memory { workers: vec![(WorkerId(7), health)], ..memory };
        assert_eq!(heard.memory(|name| WorkerId(u32::from(name == "s-7") * 7)), known);
    }

    #[test]
    fn a_peer_that_does_not_read_or_never_ends_its_line_is_stuck() {
        let (mut silent, mut endless) = (Link::default(), Link::default());
        assert!(!silent.is_stuck() && endless.receive(b"{").is_empty());
        (0..3).for_each(|_| silent.tell(&Message::News("x".repeat(MOST_WAITING / 2))));
        endless.receive(&vec![b'x'; MOST_WAITING]);
        assert!(silent.is_stuck() && endless.is_stuck());
    }

    #[test]
    fn an_address_has_one_meeting_place_and_one_left_to_the_system_has_none() {
        let at = |port| meeting_place(([127, 0, 0, 1], port).into());
        assert!(at(8080) == at(8080) && at(8080) != at(8081) && at(0).is_none());
    }
}
