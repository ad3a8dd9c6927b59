//! Directory of the entry instances, of which every entry has a copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Entry, Incarnation, Zone};

/// Entry instance and its addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the entry instance.
    pub entry: Entry,
    /// Start counter of the instance's process.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address for requests and address lookups of callers.
    pub callers: SocketAddr,
    /// Address for requests that are routed by host and path; `None` if the instance has no such listener.
    pub gateway: Option<SocketAddr>,
    /// Address for worker announcements, metrics and reports.
    pub platform: SocketAddr,
    /// Address of the internal protocol.
    pub peers: SocketAddr,
    /// Bandwidth of the instance's link, in megabits per second.
    pub link_mbps: u32,
    /// Whether the instance is shutting down: callers that cached its address may still use it, but address lookups no
    /// longer return it.
    pub draining: bool,
}

/// All live entry instances by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Directory {
    /// Instances by name.
    pub members: BTreeMap<Entry, Member>,
}

impl Directory {
    /// Adds or replaces an instance unless a later incarnation is present.
    pub fn join(&mut self, member: &Member) {
        let has_later = self
            .members
            .get(&member.entry)
            .is_some_and(|m| m.incarnation > member.incarnation);
        if !has_later {
            self.members.insert(member.entry.clone(), member.clone());
        }
    }

    /// Removes an instance unless a later incarnation is present.
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
