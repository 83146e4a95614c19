//! What a member believes of the cluster, as it is shown to operators.

use crate::record::{MemberRecord, MemberStatus};

/// What a member believes of all members.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipView {
    /// Its own name.
    pub name: String,
    /// Rises whenever a member joins, is removed or leaves.
    pub version: u64,
    /// It is on the smaller side of a partition, or hears nobody: it removes nobody.
    pub is_minority: bool,
    /// The members, itself included, by name.
    pub members: Vec<MemberView>,
}

/// What a member believes of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The latest record of it.
    pub record: MemberRecord,
    /// Some observer has no proof that it lives.
    pub is_suspect: bool,
}

/// A member's state in one word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It runs.
    Alive,
    /// It is taken to run, but some observer has no proof of it.
    Suspect,
    /// Its observers have removed it.
    Removed,
    /// It said that it ends.
    Left,
}

impl MemberView {
    /// The member's state.
    pub fn state(&self) -> MemberState {
        match self.record.status {
            MemberStatus::Alive if self.is_suspect => MemberState::Suspect,
            MemberStatus::Alive => MemberState::Alive,
            MemberStatus::Removed => MemberState::Removed,
            MemberStatus::Left => MemberState::Left,
        }
    }
}
