//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::entry::{Blob, Entry, Position, Watermark};
use crate::membership::Membership;

/// Commit index of a leader.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Commit {
    /// The commit index.
    pub index: u64,
    /// Index up to which the receiver's log is known to equal the leader's.
    pub match_index: u64,
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
        requested_term: u64,
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
        transfer: bool,
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
        timestamp_us: u64,
    },
    /// Answer to [`Message::Append`], and to the last part of a snapshot.
    AppendReply {
        /// Term of the answering replica.
        term: u64,
        /// Index up to which the log equals the leader's, or where the leader should try next.
        result: Result<u64, u64>,
        /// Leader's clock, returned.
        timestamp_us: u64,
    },
    /// Keeps the followers from starting an election.
    Heartbeat {
        /// Term of the leader.
        term: u64,
        /// What is committed.
        commit: Commit,
        /// Whether the leader has recent contact with a quorum and has committed an entry of its term.
        has_quorum: bool,
        /// Promises of all voters.
        watermarks: Vec<Watermark>,
        /// Leader's clock.
        timestamp_us: u64,
    },
    /// Answer to [`Message::Heartbeat`].
    HeartbeatReply {
        /// Term of the answering replica.
        term: u64,
        /// Leader's clock, returned.
        timestamp_us: u64,
    },
    /// Part of a snapshot.
    InstallSnapshot {
        /// Term of the leader.
        term: u64,
        /// Last entry in the snapshot.
        position: Position,
        /// Membership at that position.
        membership: Membership,
        /// Offset of this part.
        offset: u64,
        /// Size of the whole snapshot, stated in the last part only.
        total_bytes: Option<u64>,
        /// Bytes of this part.
        chunk: Blob,
        /// Leader's clock.
        timestamp_us: u64,
    },
    /// Answer to [`Message::InstallSnapshot`].
    InstallSnapshotReply {
        /// Term of the answering replica.
        term: u64,
        /// Snapshot that is being received.
        position: Position,
        /// Bytes received so far.
        received: u64,
        /// Leader's clock, returned.
        timestamp_us: u64,
    },
    /// Asks the receiver to start an election at once.
    TimeoutNow {
        /// Term of the leader.
        term: u64,
    },
    /// Asks what the receiver remembers of the sender, which has restarted.
    WatermarkQuery,
    /// Answer to [`Message::WatermarkQuery`].
    WatermarkReply {
        /// Greatest promise of the asking replica that the answering one knows of.
        watermark: Position,
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
            Self::PreVote { .. } | Self::WatermarkQuery | Self::WatermarkReply { .. } => None,
            Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::InstallSnapshot { term, .. }
            | Self::InstallSnapshotReply { term, .. }
            | Self::TimeoutNow { term }
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
            Self::InstallSnapshot {
                chunk, membership, ..
            } => chunk.len() + 64 * membership.members.len(),
            Self::Heartbeat { watermarks, .. } => 32 * watermarks.len(),
            _ => 0,
        };
        64 + content
    }
}
