//! Options of a replica.

use std::net::SocketAddr;

use chestnutvalve_consensus::Settings;

use crate::rendezvous::Rendezvous;

/// A first voter of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of its instance.
    pub name: String,
    /// Address for internal calls.
    pub address: SocketAddr,
}

/// Options of a replica.
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
}

impl Options {
    /// Builds the options of a replica of `group` at the instance `name`, which other instances reach at `address`. Without
    /// further options it is alone in its group.
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
        }
    }

    /// Sets the first voters, equal at all instances. An instance that is not among them joins the group through them.
    #[must_use]
    pub fn with_members(mut self, members: Vec<Peer>) -> Self {
        self.members = members;
        self
    }

    /// Sets where a replica that has no membership may learn of the group, beside the first voters.
    #[must_use]
    pub fn with_rendezvous(mut self, rendezvous: Rendezvous) -> Self {
        self.rendezvous = rendezvous;
        self
    }

    /// Sets whether a joining replica becomes a voter; the default is that it does.
    #[must_use]
    pub fn with_voter(mut self, voter: bool) -> Self {
        self.voter = voter;
        self
    }

    /// Sets timing and limits.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets after how many entries a snapshot is taken, and how many entries stay for replicas that lag.
    #[must_use]
    pub fn with_compaction(mut self, entries: u64, keep: u64) -> Self {
        self.snapshot_entries = entries;
        self.retained_entries = keep;
        self
    }
}
