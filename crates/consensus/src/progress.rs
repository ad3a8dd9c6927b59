//! Replication progress of a follower, as tracked by the leader.

use std::time::Instant;

use crate::entry::Snapshot;

/// Flow control mode of a follower.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Mode {
    /// One message at a time until the match index is found.
    Probe,
    /// Pipelined: messages are sent ahead of the acknowledgements.
    Replicate,
    /// Snapshot chunks, one at a time.
    Snapshot {
        /// The snapshot that is being sent.
        snapshot: Snapshot,
        /// Number of bytes that the follower has received.
        offset: u64,
    },
}

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// When the leader sent its first heartbeat to this follower.
    pub first_heartbeat: Option<Instant>,
    /// Last index up to which the follower's log is known to equal the leader's.
    pub match_index: u64,
    /// Next index to send.
    pub next_index: u64,
    /// Flow control mode.
    pub mode: Mode,
    /// Timestamp, on the leader's clock in microseconds, of the latest message that the follower has replied to.
    pub last_acked_us: Option<u64>,
    /// Since when unacknowledged messages are in flight: when the first was sent or the last acknowledgement arrived.
    pub in_flight_since: Option<Instant>,
}

impl Progress {
    /// Builds the progress of a follower whose log is not known yet.
    #[must_use]
    pub fn new(next_index: u64) -> Self {
        Self {
            first_heartbeat: None,
            match_index: 0,
            next_index,
            mode: Mode::Probe,
            last_acked_us: None,
            in_flight_since: None,
        }
    }
}
