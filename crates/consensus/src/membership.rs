//! Members of a group.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Random identity of a data directory, which identifies a replica in its group. An emptied directory gets a new one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Kind of a member, which decides whether it votes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log without voting, and is promoted to voter once it is caught up.
    Joining,
    /// Receives the log without voting.
    Learner,
    /// Receives the log without voting, and replaces a voter that has become unresponsive.
    Standby,
}

/// A member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identity of its data directory.
    pub id: ReplicaId,
    /// Name of its instance.
    pub name: String,
    /// Address for internal calls of the group.
    pub address: SocketAddr,
    /// Whether and how it takes part in elections and quorums.
    pub kind: Kind,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ({:?})", self.name, self.id, self.kind)
    }
}

/// Members of a group at one position of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// Members, sorted by identity once one was added or replaced.
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

    /// Returns whether the replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the max value that a quorum of the voters has reached; `None` without voters.
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
