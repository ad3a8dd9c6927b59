//! Timing and limits of a replica.

use std::time::Duration;

/// Timing and limits, the same at every replica of a group.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Least time without a leader before an election. A replica that heard a leader more recently grants no vote.
    pub election_min: Duration,
    /// Greatest time without a leader before an election; also the time after which a leader without quorum steps down.
    pub election_max: Duration,
    /// Subtracted from [`Settings::election_min`] for the leader's lease, for clocks that run at different rates.
    pub lease_margin: Duration,
    /// Greatest size of the entries in one message, and of one part of a snapshot, in bytes.
    pub message_bytes: usize,
    /// Entries that a leader sends ahead of a follower's acknowledgement.
    pub window: u64,
    /// Voters that the group should have. Further replicas stand by.
    pub voters: usize,
    /// Time after which a standby replica takes the place of a silent voter of another name. A voter that is back sooner keeps
    /// its place.
    pub succeed_after: Duration,
    /// Time after which a joining replica may take the place of a silent voter of the same name at another address.
    pub replace_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(75),
            election_min: Duration::from_millis(300),
            election_max: Duration::from_millis(600),
            lease_margin: Duration::from_millis(50),
            message_bytes: 1024 * 1024,
            window: 4_096,
            voters: 5,
            succeed_after: Duration::from_secs(4),
            replace_after: Duration::from_secs(5),
        }
    }
}
