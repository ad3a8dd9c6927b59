//! Timing and limits of a replica.

use std::time::Duration;

/// Timing and limits, the same at every replica of a group.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Least time without a leader before an election. A replica that heard a leader more recently grants no vote.
    pub election_timeout_min: Duration,
    /// Greatest time without a leader before an election; also the time after which a leader without quorum steps down.
    pub election_timeout_max: Duration,
    /// Subtracted from [`Settings::election_timeout_min`] for the leader's lease, for clocks that run at different rates.
    pub lease_margin: Duration,
    /// Greatest size of the entries in one message, and of one part of a snapshot, in bytes.
    pub max_message_bytes: usize,
    /// Entries that a leader sends ahead of a follower's acknowledgement.
    pub max_in_flight_entries: u64,
    /// Voters that the group should have. Further replicas stand by.
    pub target_voters: usize,
    /// Time after which a standby replica takes the place of a silent voter of another name. A voter that is back sooner keeps
    /// its place.
    pub standby_promotion_timeout: Duration,
    /// Time after which a joining replica may take the place of a silent voter of the same name at another address.
    pub replacement_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(75),
            election_timeout_min: Duration::from_millis(300),
            election_timeout_max: Duration::from_millis(600),
            lease_margin: Duration::from_millis(50),
            max_message_bytes: 1024 * 1024,
            max_in_flight_entries: 4_096,
            target_voters: 5,
            standby_promotion_timeout: Duration::from_secs(4),
            replacement_timeout: Duration::from_secs(5),
        }
    }
}
