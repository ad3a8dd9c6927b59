//! Members of a group.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Random identity of a data directory, by which a group knows a replica. An emptied directory gets another one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Part that a member takes in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Votes and counts towards the quorum.
    Voter,
    /// Follows without voting, until it is caught up and becomes a voter.
    Joining,
    /// Follows without voting.
    Learner,
    /// Follows without voting, and takes the place of a voter that is gone.
    Standby,
}

/// A member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identity of its data directory.
    pub id: ReplicaId,
    /// Name of its instance.
    pub name: String,
    /// Address for messages.
    pub address: SocketAddr,
    /// Its part.
    pub kind: Kind,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ({:?})", self.name, self.id, self.kind)
    }
}

/// Members of a group at one point of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// All members.
    pub members: Vec<Member>,
}

impl fmt::Display for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, member) in self.members.iter().enumerate() {
            let separator = if at == 0 { "" } else { ", " };
            write!(f, "{separator}{member}")?;
        }
        Ok(())
    }
}

impl Membership {
    /// Returns the member with this identity.
    #[must_use]
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let voters = self.members.iter().filter(|m| m.kind == Kind::Voter);
        voters.map(|member| member.id)
    }

    /// Returns whether the replica votes.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    /// Returns the number of voters that a decision needs.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the greatest value that a quorum of the voters has reached; `None` without voters.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1)
    }

    /// Returns a copy with the member added or replaced.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut members = self.without(member.id);
        members.members.push(member);
        members.members.sort_by_key(|member| member.id);
        members
    }

    /// Returns a copy without the member.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let others = self.members.iter().filter(|member| member.id != id);
        Self {
            members: others.cloned().collect(),
        }
    }
}
