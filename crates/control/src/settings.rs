//! Settings of a control instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutvalve_model::config::Invalid;
use chestnutvalve_model::id::{Control, Zone};
use chestnutvalve_telemetry::log::Threshold;

/// Maximum number of ledger groups of one fleet; each needs a log and a heartbeat stream.
pub const MAX_LEDGER_GROUPS: u32 = 64;
/// Maximum number of initial voters; a larger group only slows down every commit.
pub const MAX_VOTERS: usize = 7;

/// Default of [`Settings::succession_ms`]: longer than a process restart.
pub const DEFAULT_SUCCESSION_MS: u64 = 4_000;
/// Minimum of [`Settings::succession_ms`]. With a shorter time a voter would be replaced while it only restarts.
pub const MIN_SUCCESSION_MS: u64 = 1_000;
/// Maximum of [`Settings::succession_ms`].
pub const MAX_SUCCESSION_MS: u64 = 600_000;

/// Initial voter of every group.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Name of the control instance.
    pub control: Control,
    /// Address at which other instances reach its internal protocol.
    pub peers: SocketAddr,
}

/// Settings file of a control instance.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub control: Control,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Address to bind for the internal protocol.
    pub peers: SocketAddr,
    /// Address to bind for operators.
    pub operators: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    /// File with the operators' token; without one, operators can read but not change anything at this instance.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Initial voters of every group.
    pub members: Vec<Voter>,
    /// Whether the instance becomes a voter when it joins; `false` makes it a relay that only serves entries.
    #[serde(default = "default_voter")]
    pub voter: bool,
    /// Target number of voters of each group; further instances are standbys that replace a lost voter.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// Time without contact after which a standby replaces a voter, in milliseconds. A voter that returns earlier stays a
    /// voter. The time must be shorter than the interval between two losses that the group must survive.
    #[serde(default = "default_succession_ms")]
    pub succession_ms: u64,
    /// Number of ledger groups; 0 when no caller sends idempotency keys.
    #[serde(default = "default_ledger_groups")]
    pub ledger_groups: u32,
    /// Minimum level of the log messages that are written.
    #[serde(default)]
    pub log: Threshold,
}

fn default_voter() -> bool {
    true
}

fn default_voters() -> usize {
    5
}

fn default_succession_ms() -> u64 {
    DEFAULT_SUCCESSION_MS
}

fn default_ledger_groups() -> u32 {
    1
}

impl Settings {
    /// Validates the constraints that the field types don't express.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), Invalid> {
        let voters = self.members.len();
        if voters == 0 || voters > MAX_VOTERS {
            let expected = format!("1 to {MAX_VOTERS} members");
            return Err(Invalid::new("members", voters, expected));
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (at, voter) in self.members.iter().enumerate() {
            if !names.insert(&voter.control) {
                let field = format!("members[{at}].control");
                return Err(Invalid::new(field, &voter.control, "each name once"));
            }
            if voter.peers.ip().is_unspecified() || voter.peers.port() == 0 {
                let field = format!("members[{at}].peers");
                return Err(Invalid::new(field, voter.peers, "a reachable address"));
            }
            if !addresses.insert(voter.peers) {
                let field = format!("members[{at}].peers");
                return Err(Invalid::new(field, voter.peers, "each address once"));
            }
        }
        if self.peers == self.operators && self.peers.port() != 0 {
            let expected = "an address other than that of peers";
            return Err(Invalid::new("operators", self.operators, expected));
        }
        if !(1..=MAX_VOTERS).contains(&self.voters) {
            let expected = format!("1 to {MAX_VOTERS}");
            return Err(Invalid::new("voters", self.voters, expected));
        }
        let succession = MIN_SUCCESSION_MS..=MAX_SUCCESSION_MS;
        if !succession.contains(&self.succession_ms) {
            let expected = format!("{MIN_SUCCESSION_MS} to {MAX_SUCCESSION_MS}");
            return Err(Invalid::new("succession_ms", self.succession_ms, expected));
        }
        if self.ledger_groups > MAX_LEDGER_GROUPS {
            let expected = format!("0 to {MAX_LEDGER_GROUPS}");
            return Err(Invalid::new("ledger_groups", self.ledger_groups, expected));
        }
        Ok(())
    }
}
