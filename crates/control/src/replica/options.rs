//! Options of a replica.

use std::net::SocketAddr;

use chestnutvalve_consensus::Settings;

use super::Suspension;
use crate::rendezvous::Rendezvous;

/// Initial voter of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the instance.
    pub name: String,
    /// Address of the instance for internal calls.
    pub address: SocketAddr,
}

/// Group, address, membership and timing of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    pub(super) group: String,
    pub(super) name: String,
    pub(super) address: SocketAddr,
    pub(super) members: Vec<Peer>,
    pub(super) rendezvous: Rendezvous,
    pub(super) voter: bool,
    pub(super) settings: Settings,
    pub(super) snapshot_entries: u64,
    pub(super) retained_entries: u64,
    pub(super) suspension: Suspension,
}

impl Options {
    /// Builds the options of a replica of `group` at the instance `name`, which other instances reach at `address`. By
    /// default it is the only member of its group.
    #[must_use]
    pub fn new(group: &str, name: &str, address: SocketAddr) -> Self {
        let own = Peer {
            name: name.to_owned(),
            address,
        };
        Self {
            group: group.to_owned(),
            name: name.to_owned(),
            address,
            members: vec![own],
            rendezvous: Rendezvous::default(),
            voter: true,
            settings: Settings::default(),
            snapshot_entries: 1_024,
            retained_entries: 1_024,
            suspension: Suspension::default(),
        }
    }

    /// Sets the initial voters, which must be equal at all instances. Any other instance joins the group through them.
    #[must_use]
    pub fn with_members(mut self, members: Vec<Peer>) -> Self {
        self.members = members;
        self
    }

    /// Sets where a replica without a membership may discover the group, in addition to the initial voters.
    #[must_use]
    pub fn with_rendezvous(mut self, rendezvous: Rendezvous) -> Self {
        self.rendezvous = rendezvous;
        self
    }

    /// Sets whether a joining replica becomes a voter; by default it does.
    #[must_use]
    pub fn with_voter(mut self, voter: bool) -> Self {
        self.voter = voter;
        self
    }

    /// Sets the timing and limits of the consensus protocol.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the number of entries after which a snapshot is taken, and how many entries to `keep` for lagging replicas.
    #[must_use]
    pub fn with_compaction(mut self, entries: u64, keep: u64) -> Self {
        self.snapshot_entries = entries;
        self.retained_entries = keep;
        self
    }

    /// Sets how suspensions of the machine are detected.
    #[must_use]
    pub fn with_suspension(mut self, suspension: Suspension) -> Self {
        self.suspension = suspension;
        self
    }
}
