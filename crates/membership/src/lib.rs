//! Membership among schedulers: detects which schedulers are running, which have stopped and which are only
//! slow, despite paused processes, lost messages and links that fail in one direction.
//! `docs/design/members.md` describes the protocol and its rationale.
//!
//! A [`Member`] is a state machine: its host, the scheduler process, passes in datagrams, complete states and
//! the current time, and carries out the [`Action`]s that the member returns. A member uses no sockets, clock
//! or threads, and its only randomness comes from a seed.
//!
//! ```
//! use postusher_membership::*;
//!
//! let config = Config::new("demo", "a1", "lamia", "127.0.0.11:7946".parse().unwrap());
//! let mut member = Member::new(config, 7, 0.0);
//! let mut actions = Vec::new();
//! member.advance(0.0, &mut actions);
//! assert!(actions.is_empty() && member.view().members.len() == 1, "the member is alone without seeds");
//! ```

mod accusations;
mod action;
mod config;
mod gossip;
mod member;
mod metrics;
mod random;
mod record;
mod rings;
mod table;
mod view;
mod wire;

pub use accusations::{Accusation, AccusationOutcome};
pub use action::{Action, TerminationReason};
pub use config::{Config, Mechanisms, Timing};
pub use member::Member;
pub use metrics::{Metrics, PART_KINDS};
pub use record::{Instance, MemberId, MemberRecord, MemberStatus};
pub use table::{MemberTable, RecordChange};
pub use view::{MemberState, MemberView, MembershipView};
pub use wire::{MAX_DATAGRAM_BYTES, MAX_STATE_BYTES, PROTOCOL_VERSION};

/// A point in time or a duration, in milliseconds on a monotonic clock.
pub type Millis = f64;
