//! What a leader knows of a follower's log.

use std::time::Instant;

use crate::entry::Snapshot;

/// Way in which a leader sends to a follower.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Mode {
    /// One message at a time, until the place where the logs agree is found.
    Probe,
    /// Many messages ahead of the acknowledgements.
    Replicate,
    /// Parts of a snapshot, one at a time.
    Snapshot {
        /// The snapshot that is being sent.
        snapshot: Snapshot,
        /// Bytes that the follower has.
        offset: u64,
    },
}

/// A leader's view of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// First heartbeat of the leader to this replica.
    pub since: Option<Instant>,
    /// Index up to which the follower's log is known to equal the leader's.
    pub match_index: u64,
    /// Next index to send.
    pub next: u64,
    /// How to send.
    pub mode: Mode,
    /// Leader's clock, in microseconds, of the latest message that the follower has replied to.
    pub heard: Option<u64>,
    /// When the last message that waits for an acknowledgement was sent or an acknowledgement arrived.
    pub active: Option<Instant>,
}

impl Progress {
    /// Builds the view of a follower of which nothing is known.
    #[must_use]
    pub fn new(next: u64) -> Self {
        Self {
            since: None,
            match_index: 0,
            next,
            mode: Mode::Probe,
            heard: None,
            active: None,
        }
    }
}
