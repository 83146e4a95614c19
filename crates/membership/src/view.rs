//! A member's view of the cluster, as shown to operators.

use crate::record::{MemberRecord, MemberStatus};

/// A member's view of all members.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipView {
    /// The name of the member that has this view.
    pub name: String,
    /// The version of the view, increased whenever a member joins, is removed or leaves.
    pub version: u64,
    /// Whether the member is on the smaller side of a partition, has not joined, or cannot reach more than
    /// half of the members that it observes. It removes no members in this case.
    pub is_minority: bool,
    /// All known members, including removed ones and those that have left, sorted by name. Contains the
    /// member itself once it has joined.
    pub members: Vec<MemberView>,
}

/// A member's view of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The latest record of the member.
    pub record: MemberRecord,
    /// Whether at least one accusation against the member stands.
    pub is_suspect: bool,
}

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The member is running and not accused.
    Alive,
    /// The member counts as running, but at least one observer accuses it.
    Suspect,
    /// The member was removed because a quorum of its observers accused it.
    Removed,
    /// The member has left the cluster.
    Left,
}

impl MemberView {
    /// Returns the state of the member.
    pub fn state(&self) -> MemberState {
        match self.record.status {
            MemberStatus::Alive if self.is_suspect => MemberState::Suspect,
            MemberStatus::Alive => MemberState::Alive,
            MemberStatus::Removed => MemberState::Removed,
            MemberStatus::Left => MemberState::Left,
        }
    }
}
