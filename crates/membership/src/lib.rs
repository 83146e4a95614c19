//! Membership among schedulers: who runs, who is gone and who is only slow, while processes pause, messages are lost and
//! links are cut in one direction. `docs/design/members.md` describes the protocol and its reasons.
//!
//! A [`Member`] is a state machine: it is given datagrams, complete states and the time, and returns what to send. It has
//! no sockets, no clock, no threads and no randomness but what its seed gives.
//!
//! ```
//! use postusher_membership::*;
//!
//! let config = Config::new("demo", "a1", "lamia", "127.0.0.11:7946".parse().unwrap());
//! let mut member = Member::new(config, 7, 0.0);
//! let mut actions = Vec::new();
//! member.advance(0.0, &mut actions);
//! assert!(actions.is_empty() && member.view().members.len() == 1, "it has no seeds, and begins alone");
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

/// A point in time or a length of time, in milliseconds on a clock that only moves forward.
pub type Millis = f64;
