//! The directory of entry instances that every entry holds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Entry, Incarnation, Zone};

/// One entry instance and its addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the entry instance.
    pub entry: Entry,
    /// Start counter of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address for callers' requests and address questions.
    pub callers: SocketAddr,
    /// Address for callers whose requests are routed by host and path, if the instance has such a listener.
    pub gateway: Option<SocketAddr>,
    /// Address for announcements, metrics and reports.
    pub platform: SocketAddr,
    /// Address of the internal protocol.
    pub peers: SocketAddr,
    /// Bandwidth of the instance's link, in megabits a second.
    pub link_mbps: u32,
    /// Whether the instance is shutting down: it serves kept answers but is given in no new one.
    pub draining: bool,
}

/// All live entry instances by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Directory {
    /// Members by name.
    pub members: BTreeMap<Entry, Member>,
}

impl Directory {
    /// Adds or replaces a member unless a later incarnation is present.
    pub fn join(&mut self, member: &Member) {
        let newer = self
            .members
            .get(&member.entry)
            .is_some_and(|m| m.incarnation > member.incarnation);
        if !newer {
            self.members.insert(member.entry.clone(), member.clone());
        }
    }

    /// Removes a member unless a later incarnation is present.
    pub fn leave(&mut self, entry: &Entry, incarnation: Incarnation) {
        if self
            .members
            .get(entry)
            .is_some_and(|m| m.incarnation <= incarnation)
        {
            self.members.remove(entry);
        }
    }
}
