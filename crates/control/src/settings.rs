//! Settings of a control instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutvalve_model::config::Invalid;
use chestnutvalve_model::id::{Control, Zone};
use chestnutvalve_telemetry::log::Threshold;

/// Most ledger groups of one fleet; each costs a log and a heartbeat stream.
pub const MAX_LEDGER_GROUPS: u32 = 64;
/// Most first voters; larger groups only slow every commit down.
pub const MAX_VOTERS: usize = 7;

/// Default of [`Settings::succession_ms`]: longer than the restart of a process.
pub const DEFAULT_SUCCESSION_MS: u64 = 4_000;
/// Least [`Settings::succession_ms`]. A voter that only restarts would lose its place to a shorter one.
pub const MIN_SUCCESSION_MS: u64 = 1_000;
/// Greatest [`Settings::succession_ms`].
pub const MAX_SUCCESSION_MS: u64 = 600_000;

/// One of the first voters.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Name of the control instance.
    pub control: Control,
    /// Reachable address of its internal protocol.
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
    /// File with the operators' token; without one, operators can read but not change anything here.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// First voters of every group.
    pub members: Vec<Voter>,
    /// Whether the instance votes when it joins; `false` makes it a relay that only serves entries.
    #[serde(default = "default_voter")]
    pub voter: bool,
    /// Voters that each group should have; further instances stand by to take the place of one that is gone.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// Time of silence after which an instance that stands by takes the place of a voter, in milliseconds. A voter that is
    /// back sooner keeps its place. It has to be shorter than the time between two losses that the group must survive.
    #[serde(default = "default_succession_ms")]
    pub succession_ms: u64,
    /// Number of ledger groups; 0 where no caller sends idempotency keys.
    #[serde(default = "default_ledger_groups")]
    pub ledger_groups: u32,
    /// Level below which log messages are dropped.
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
    /// Checks the values that the types don't.
    ///
    /// # Errors
    ///
    /// Returns the first wrong field.
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
