//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::entry::{Blob, Entry, Mark, Position};
use crate::membership::Membership;

/// Commit index of a leader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Commit {
    /// The commit index.
    pub index: u64,
    /// Index up to which the receiver's log is known to equal the leader's.
    pub matched: u64,
}

/// Message between two replicas. `stamp` is the sender's own clock in microseconds and is returned unchanged; it bounds the
/// leader's lease from below, because a reply proves contact no later than the instant of the request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Asks whether a vote for the sender in `term` would be granted. Raises no term.
    PreVote {
        /// Term of the intended election.
        term: u64,
        /// End of the sender's log.
        last: Position,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// Term of the answering replica.
        term: u64,
        /// Term that was asked for.
        asked: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in `term`.
    Vote {
        /// Term of the election.
        term: u64,
        /// End of the sender's log.
        last: Position,
        /// Whether the leader itself asked the sender to take over.
        handover: bool,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// Term of the answering replica.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries after `previous`.
    Append {
        /// Term of the leader.
        term: u64,
        /// Entry before the first one.
        previous: Position,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Leader's clock.
        stamp: u64,
    },
    /// Answer to [`Message::Append`], and to the last part of a snapshot.
    AppendReply {
        /// Term of the answering replica.
        term: u64,
        /// Index up to which the log equals the leader's, or where the leader should try next.
        matched: Result<u64, u64>,
        /// Leader's clock, returned.
        stamp: u64,
    },
    /// Keeps the followers from starting an election.
    Heartbeat {
        /// Term of the leader.
        term: u64,
        /// What is committed.
        commit: Commit,
        /// Whether the leader has recent contact with a quorum and has committed an entry of its term.
        quorum: bool,
        /// Promises of all voters.
        marks: Vec<Mark>,
        /// Leader's clock.
        stamp: u64,
    },
    /// Answer to [`Message::Heartbeat`].
    HeartbeatReply {
        /// Term of the answering replica.
        term: u64,
        /// Leader's clock, returned.
        stamp: u64,
    },
    /// Part of a snapshot.
    Snapshot {
        /// Term of the leader.
        term: u64,
        /// Last entry in the snapshot.
        position: Position,
        /// Membership at that position.
        members: Membership,
        /// Offset of this part.
        offset: u64,
        /// Size of the whole snapshot, stated in the last part only.
        size: Option<u64>,
        /// Bytes of this part.
        part: Blob,
        /// Leader's clock.
        stamp: u64,
    },
    /// Answer to [`Message::Snapshot`].
    SnapshotReply {
        /// Term of the answering replica.
        term: u64,
        /// Snapshot that is being received.
        position: Position,
        /// Bytes received so far.
        received: u64,
        /// Leader's clock, returned.
        stamp: u64,
    },
    /// Asks the receiver to start an election at once.
    TakeOver {
        /// Term of the leader.
        term: u64,
    },
    /// Asks what the receiver remembers of the sender, which has restarted.
    Inquire,
    /// Answer to [`Message::Inquire`].
    Recall {
        /// Greatest promise of the asking replica that the answering one knows of.
        known: Position,
    },
    /// Tells a replica that it is no longer a member.
    Removed {
        /// Term of the leader.
        term: u64,
    },
}

impl Message {
    /// Returns the term that the sender had adopted, for messages that state it.
    #[must_use]
    pub fn term(&self) -> Option<u64> {
        match self {
            Self::PreVote { .. } | Self::Inquire | Self::Recall { .. } => None,
            Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::Snapshot { term, .. }
            | Self::SnapshotReply { term, .. }
            | Self::TakeOver { term }
            | Self::Removed { term } => Some(*term),
        }
    }

    /// Returns the approximate size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let content = match self {
            Self::Append { entries, .. } => {
                entries.iter().map(|entry| 32 + entry.payload.size()).sum()
            }
            Self::Snapshot { part, members, .. } => part.len() + 64 * members.members.len(),
            Self::Heartbeat { marks, .. } => 32 * marks.len(),
            _ => 0,
        };
        64 + content
    }
}
