//! Timing and limits of a replica.

use std::time::Duration;

/// Timing and limits. They must be the same at every replica of a group.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval of a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Min election timeout. A replica with more recent contact to a leader grants no vote.
    pub election_timeout_min: Duration,
    /// Max election timeout. A leader without contact to a quorum for this long steps down.
    pub election_timeout_max: Duration,
    /// Subtracted from [`Settings::election_timeout_min`] for the leader lease, because clocks run at different rates.
    pub lease_margin: Duration,
    /// Max size of the entries in one message, and of one snapshot chunk, in bytes.
    pub max_message_bytes: usize,
    /// Max entries that a leader sends ahead of a follower's acknowledgements.
    pub max_in_flight_entries: u64,
    /// Target number of voters. Replicas beyond it become standbys.
    pub target_voters: usize,
    /// How long a voter must be unresponsive before a standby of another name replaces it. A voter that is back sooner stays a
    /// voter.
    pub standby_promotion_timeout: Duration,
    /// How long a voter must be unresponsive before a joining replica of the same name at another address may replace it.
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
