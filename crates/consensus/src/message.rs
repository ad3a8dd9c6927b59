//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};

use crate::entry::{Blob, Entry, Position, Watermark};
use crate::membership::Membership;

/// Commit index in a heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Commit {
    /// Leader's commit index.
    pub index: u64,
    /// Match index of the receiver: its log is known to equal the leader's up to here. The receiver commits no later entries.
    pub match_index: u64,
}

/// Message between two replicas. `timestamp_us` is the leader's own clock in microseconds and is returned unchanged in the
/// reply. The leader's lease is counted from it, because a reply proves contact no earlier than the instant of the request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Requests a pre-vote: whether the receiver would vote for the sender in `term`. Raises no term.
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
        /// Term of the request.
        requested_term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote in `term`.
    Vote {
        /// Term of the election.
        term: u64,
        /// End of the sender's log.
        last: Position,
        /// Whether the election is part of a leadership transfer.
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
        /// Position of the entry directly before the first one.
        previous: Position,
        /// Entries in log order; empty in a probe that finds nothing to send.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Leader's clock when it sent the message.
        timestamp_us: u64,
    },
    /// Answer to [`Message::Append`], and to the last chunk of a snapshot.
    AppendReply {
        /// Term of the answering replica.
        term: u64,
        /// Match index, or on a conflict the index after which the leader should probe next.
        result: Result<u64, u64>,
        /// Timestamp of the request.
        timestamp_us: u64,
    },
    /// Restarts the election timeout of the followers.
    Heartbeat {
        /// Term of the leader.
        term: u64,
        /// Leader's commit index and the match index of the receiver.
        commit: Commit,
        /// Whether the leader has recent contact with a quorum and has committed an entry of its term.
        has_quorum: bool,
        /// Watermarks that the leader has recorded, and its own.
        watermarks: Vec<Watermark>,
        /// Leader's clock when it sent the message.
        timestamp_us: u64,
    },
    /// Answer to [`Message::Heartbeat`].
    HeartbeatReply {
        /// Term of the answering replica.
        term: u64,
        /// Timestamp of the request.
        timestamp_us: u64,
    },
    /// Snapshot chunk.
    InstallSnapshot {
        /// Term of the leader.
        term: u64,
        /// Position of the last entry that the snapshot contains.
        position: Position,
        /// Membership at that position.
        membership: Membership,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Size of the whole snapshot, set in the last chunk only.
        total_bytes: Option<u64>,
        /// Content of this chunk.
        chunk: Blob,
        /// Leader's clock when it sent the message.
        timestamp_us: u64,
    },
    /// Answer to [`Message::InstallSnapshot`].
    InstallSnapshotReply {
        /// Term of the answering replica.
        term: u64,
        /// Position of the snapshot that is being received.
        position: Position,
        /// Bytes received so far.
        received: u64,
        /// Timestamp of the request.
        timestamp_us: u64,
    },
    /// Makes the receiver start an election at once, as the last step of a leadership transfer.
    TimeoutNow {
        /// Term of the leader.
        term: u64,
    },
    /// Requests the watermark that the receiver has recorded for the sender. Sent after a restart, and by non-voters without a
    /// leader.
    WatermarkQuery,
    /// Answer to [`Message::WatermarkQuery`].
    WatermarkReply {
        /// Recorded watermark of the replica that sent the query.
        watermark: Position,
    },
    /// Informs a replica that it is not a member any more.
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
