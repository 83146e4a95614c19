//! Random steps: whatever comes in whatever order, what must hold of a member holds.

use postusher_membership::{Action, Config, Member, MemberStatus, MAX_DATAGRAM_BYTES};
use proptest::prelude::*;
use std::net::SocketAddr;

const N: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// One is woken, after so many milliseconds.
    Wake(usize, f64),
    /// A message under way comes, perhaps once more later, perhaps with a byte changed.
    Deliver {
        nth: usize,
        keep: bool,
        spoilt: Option<(usize, u8)>,
    },
    Lose(usize),
    /// Something that nobody has sent.
    Noise(usize, Vec<u8>),
    Leave(usize),
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let spoilt = prop::option::weighted(0.2, (0usize..300, any::<u8>()));
    let step = prop_oneof![
        6 => (0..N, prop_oneof![Just(250.0), 0.0..3_000.0f64, Just(30_000.0)]).prop_map(|(n, by)| Step::Wake(n, by)),
        12 => (0usize..64, prop::bool::weighted(0.1), spoilt)
            .prop_map(|(nth, keep, spoilt)| Step::Deliver { nth, keep, spoilt }),
        2 => (0usize..64).prop_map(Step::Lose),
        1 => (0..N, prop::collection::vec(any::<u8>(), 0..80)).prop_map(|(n, bytes)| Step::Noise(n, bytes)),
        1 => (0..N).prop_map(Step::Leave),
        1 => (0..N).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..250)
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n as u8 + 1], 7946))
}

enum Way {
    Datagram,
    /// The first of an exchange is answered.
    Whole(bool),
}

struct World {
    now: f64,
    members: Vec<Member>,
    net: Vec<(usize, usize, Way, Vec<u8>)>,
    ended: Vec<bool>,
}

fn fresh(n: usize, seed: u64, now: f64) -> Member {
    let config = Config::new("c", &format!("m{n}"), "z", addr(n));
    Member::new(Config { seeds: vec![addr(0), addr(1)], ..config }, seed, now)
}

impl World {
    fn carry_out(&mut self, from: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::SendDatagram { to, bytes } => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    let to = (0..N).find(|n| addr(*n) == to);
                    to.into_iter().for_each(|to| self.net.push((from, to, Way::Datagram, bytes.clone())));
                }
                Action::ExchangeState { with } => {
                    let bytes = self.members[from].encode_state();
                    let to = (0..N).find(|n| addr(*n) == with);
                    to.into_iter().for_each(|to| self.net.push((from, to, Way::Whole(true), bytes.clone())));
                }
                Action::Terminate { .. } => self.ended[from] = true,
            }
        }
        let surplus = self.net.len().saturating_sub(64);
        self.net.drain(..surplus);
    }

    fn play(&mut self, step: Step) {
        let mut out = Vec::new();
        match step {
            Step::Wake(n, by) => {
                self.now += by;
                self.members[n].advance(self.now, &mut out);
                let next = self.members[n].next_timer();
                assert!(next.is_none_or(|at| at > self.now), "it would be woken for ever");
                self.carry_out(n, out);
            }
            Step::Deliver { nth, keep, spoilt } if !self.net.is_empty() => {
                let at = nth % self.net.len();
                let (from, to, way, mut bytes) = self.net.remove(at);
                if keep {
                    let again = if let Way::Whole(asks) = way { Way::Whole(asks) } else { Way::Datagram };
                    self.net.push((from, to, again, bytes.clone()));
                }
                if let Some((place, byte)) = spoilt {
                    let place = place % bytes.len();
                    bytes[place] = byte;
                }
                match way {
                    Way::Datagram => {
                        self.members[to].receive_datagram(addr(from), &bytes, self.now, &mut out)
                    }
                    Way::Whole(asks) => {
                        if asks {
                            let mine = self.members[to].encode_state();
                            self.net.push((to, from, Way::Whole(false), mine));
                        }
                        self.members[to].merge_state(&bytes, self.now, &mut out);
                    }
                }
                self.carry_out(to, out);
            }
            Step::Lose(nth) if !self.net.is_empty() => drop(self.net.remove(nth % self.net.len())),
            Step::Deliver { .. } | Step::Lose(_) => {}
            Step::Noise(n, bytes) => {
                self.members[n].receive_datagram(addr(N), &bytes, self.now, &mut out);
                self.members[n].merge_state(&bytes, self.now, &mut out);
                self.carry_out(n, out);
            }
            Step::Leave(n) => {
                self.members[n].leave(self.now, &mut out);
                self.carry_out(n, out);
            }
            Step::Restart(n) => {
                self.members[n] = fresh(n, 100 + self.now as u64 + n as u64, self.now);
                self.ended[n] = false;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn a_member_believes_in_itself_and_never_goes_back(steps in steps()) {
        let members = (0..N).map(|n| fresh(n, n as u64, 0.0)).collect();
        let mut world = World { now: 0.0, members, net: Vec::new(), ended: vec![false; N] };
        let mut high = [0u64; N];
        for step in steps {
            if let Step::Restart(n) = step {
                high[n] = 0; // another process
            }
            world.play(step);
            for (n, m) in world.members.iter().enumerate() {
                let mine = m.record(&format!("m{n}"));
                if m.has_joined() {
                    prop_assert!(mine.is_some_and(|r| r.status == MemberStatus::Alive && r.incarnation >= high[n]));
                    high[n] = mine.map_or(0, |r| r.incarnation);
                    prop_assert!(!world.ended[n], "it has ended");
                }
                let view = m.view();
                prop_assert!(view.members.windows(2).all(|two| two[0].record.name < two[1].record.name));
                prop_assert!(m.has_joined() || view.is_minority, "who has not joined, or has left, speaks for nobody");
            }
        }
    }
}
