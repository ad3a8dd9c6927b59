//! Entries that callers of a host should use.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chestnutvalve_model::directory::{Directory, Member};
use chestnutvalve_model::id::{Service, Zone};
use chestnutvalve_routing::placement;

/// Entries that are named for a host to the callers of one availability zone. Few entries see enough of a service's
/// requests to find a gray worker and to know what is in flight; the loss of one of three costs a third until callers
/// move on.
pub const OWNERS: usize = 2;
/// Least entries of the caller's availability zone that must be left before only those are named.
const LEAST: usize = 2;

/// Returns the addresses for the callers of `host` in `zone`.
#[must_use]
pub fn places(directory: &Directory, host: &str, zone: Option<&Zone>) -> Vec<SocketAddr> {
    let near = zone.map(|zone| in_zone(directory, zone));
    let near = near.filter(|near| near.members.len() >= LEAST);
    let named = named(near.as_ref().unwrap_or(directory), host);
    named.map_or_else(Vec::new, |named| {
        named
            .iter()
            .map(|m| m.gateway.unwrap_or(m.callers))
            .collect()
    })
}

/// Returns all entries that are named for `host` to the callers of any zone.
#[must_use]
pub fn owners(directory: &Directory, host: &str) -> Vec<Member> {
    let zones: BTreeSet<&Zone> = directory.members.values().map(|m| &m.zone).collect();
    let parts = zones.into_iter().map(|zone| in_zone(directory, zone));
    let parts = parts.filter_map(|part| named(&part, host));
    parts.flatten().collect()
}

fn in_zone(directory: &Directory, zone: &Zone) -> Directory {
    let members = directory.members.iter();
    let members = members.filter(|(_, m)| m.zone == *zone && !m.draining);
    Directory {
        members: members.map(|(e, m)| (e.clone(), m.clone())).collect(),
    }
}

fn named(candidates: &Directory, host: &str) -> Option<Vec<Member>> {
    // A host that is no name of the product can't have a route that it serves.
    let subject = Service::new(host).ok()?;
    let owners = placement::owners(&subject, OWNERS, candidates);
    let members = owners.iter().filter_map(|o| candidates.members.get(o));
    Some(members.cloned().collect())
}
