//! Assignment of hosts to the entries that their callers should use.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chestnutvalve_model::control::State;
use chestnutvalve_model::directory::{Directory, Member};
use chestnutvalve_model::id::{Service, Zone};
use chestnutvalve_routing::placement;

/// Number of entries of an availability zone that are assigned to a host. Few entries see enough of a service's
/// requests to detect a partly failed worker and to know what is in flight. A single one would see more, but its loss
/// would affect all callers of the zone.
const ENTRIES_PER_HOST: usize = 2;
/// Bandwidth below which an entry cannot carry the downloads of several callers, in megabits per second: a large
/// download of half a megabyte occupies such a link for a tenth of a second.
pub const NARROW_LINK_MBPS: u32 = 40;
/// Maximum number of entries of an availability zone that are assigned to a host where links are narrow. The load of a
/// host is spread over as many links as possible, because bursts of short requests fill a link of 2 megabits per second
/// that is 30% full on average. The limit bounds the size of an address answer.
const MAX_NARROW_ENTRIES_PER_HOST: usize = 64;
/// Minimum number of entries in the caller's availability zone; with fewer, entries of all zones are returned.
const MIN_ZONE_ENTRIES: usize = 2;

/// Returns the addresses that callers of `host` in `zone` should use.
#[must_use]
pub fn addresses(state: &State, host: &str, zone: Option<&Zone>) -> Vec<SocketAddr> {
    let directory = &state.directory;
    let local = zone.map(|zone| in_zone(directory, zone));
    let local = local.filter(|local| local.members.len() >= MIN_ZONE_ENTRIES);
    let assigned = assigned(local.as_ref().unwrap_or(directory), host);
    assigned.map_or_else(Vec::new, |assigned| {
        assigned
            .iter()
            .map(|m| m.gateway.unwrap_or(m.callers))
            .collect()
    })
}

/// Returns all entries that are assigned to `host` for callers in any zone.
#[must_use]
pub fn owners(state: &State, host: &str) -> Vec<Member> {
    let directory = &state.directory;
    let zones: BTreeSet<&Zone> = directory.members.values().map(|m| &m.zone).collect();
    let parts = zones.into_iter().map(|zone| in_zone(directory, zone));
    let parts = parts.filter_map(|part| assigned(&part, host));
    parts.flatten().collect()
}

/// Returns the entries of a zone that are not draining.
#[must_use]
pub fn in_zone(directory: &Directory, zone: &Zone) -> Directory {
    let members = directory.members.iter();
    let members = members.filter(|(_, m)| m.zone == *zone && !m.draining);
    Directory {
        members: members.map(|(e, m)| (e.clone(), m.clone())).collect(),
    }
}

/// Returns how many entries of a zone are assigned to a host.
fn owner_count(candidates: &Directory) -> usize {
    let links = candidates.members.values().map(|m| m.link_mbps);
    if links.min().is_none_or(|link| link >= NARROW_LINK_MBPS) {
        ENTRIES_PER_HOST
    } else {
        candidates.members.len().min(MAX_NARROW_ENTRIES_PER_HOST)
    }
}

fn assigned(candidates: &Directory, host: &str) -> Option<Vec<Member>> {
    // A host that is not a valid name cannot have a route.
    let subject = Service::new(host).ok()?;
    let owners = placement::owners(&subject, owner_count(candidates), candidates);
    let members = owners.iter().filter_map(|o| candidates.members.get(o));
    Some(members.cloned().collect())
}
