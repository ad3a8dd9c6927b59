//! Entries that callers of a host should use.

use std::net::SocketAddr;

use chestnutvalve_model::directory::{Directory, Member};
use chestnutvalve_model::id::{Service, Zone};
use chestnutvalve_routing::placement;

/// Entries that are named for a host to the callers of one availability zone. Few entries see enough of a service's
/// requests to find a gray worker and to know what is in flight; the loss of one of three costs a third until callers
/// move on.
pub const OWNERS: usize = 3;
/// Least entries of the caller's availability zone that must be left before only those are named.
const LEAST: usize = 2;

/// Returns the entries for the callers of `host` in `zone`.
#[must_use]
pub fn places(directory: &Directory, host: &str, zone: Option<&Zone>) -> Vec<SocketAddr> {
    let Ok(subject) = Service::new(host) else {
        return Vec::new();
    };
    let mut near = Directory::default();
    let in_zone = |m: &&Member| zone.is_some_and(|zone| m.zone == *zone) && !m.draining;
    for member in directory.members.values().filter(in_zone) {
        near.members.insert(member.entry.clone(), member.clone());
    }
    let candidates = if near.members.len() >= LEAST {
        &near
    } else {
        directory
    };
    let owners = placement::owners(&subject, OWNERS, candidates);
    let members = owners.iter().filter_map(|o| candidates.members.get(o));
    members.map(|m| m.gateway.unwrap_or(m.callers)).collect()
}
