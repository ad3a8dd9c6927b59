//! The entries that hold the shares of customers' limits.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use chestnutvalve_model::control::State;
use chestnutvalve_model::directory::{Directory, Member};
use chestnutvalve_model::id::{Service, Zone};
use chestnutvalve_model::version::Version;
use chestnutvalve_routing::placement;
use chestnutvalve_routing::quota::membership::Origin;

use crate::gateway::assignment;

/// Accountants of an availability zone among the entries with a wide link, and among those with a narrow one. The second one
/// serves while the first doesn't answer. Wide links are those of the machines on which the control group runs, which may
/// all lose power at once; the others then still grant a half of each limit.
const PER_KIND_OF_LINK: usize = 2;
/// Time between the starts of two entries of a fleet that starts.
const MAX_START_GAP_MS: u64 = 10_000;
/// Name under which the accountants are chosen.
const SUBJECT: &str = "quota-accountants";

/// What the state says about the accountants and the limits, to one entry.
#[derive(Debug, Default)]
pub struct Accountants {
    /// Version of the state.
    pub version: Version,
    /// Peer addresses of all accountants, in the order in which the entry asks them: those of its zone first.
    pub preferred: Vec<SocketAddr>,
    /// Whether the entry is an accountant.
    pub listed: bool,
    /// What the directory tells about earlier processes.
    pub origin: Origin,
    /// Whether any customer has a limit.
    pub limits: bool,
}

impl Accountants {
    /// Derives the accountants from a state, for the entry that `own` describes. There are none if no customer has a limit.
    #[must_use]
    pub fn new(state: &State, own: &Member) -> Self {
        let mut accounts = state.routes.accounts.iter();
        if !accounts.any(|account| account.limit.is_some()) {
            return Self {
                version: state.version,
                ..Self::default()
            };
        }
        let chosen = choose(&state.directory);
        let (near, far): (Vec<&Member>, Vec<&Member>) = chosen
            .members
            .values()
            .partition(|member| member.zone == own.zone);
        let mut preferred = order(own, &near);
        preferred.extend(order(own, &far));
        if let Some(at) = preferred.iter().position(|a| *a == own.peers) {
            preferred[..=at].rotate_right(1);
        }
        let members = &state.directory.members;
        let known = members.get(&own.entry);
        let origin = if known.is_some_and(|m| m.incarnation < own.incarnation) {
            Origin::Restarted
        } else if members.values().all(|m| is_near(m, own)) {
            Origin::NewFleet
        } else {
            Origin::Unknown
        };
        Self {
            version: state.version,
            listed: chosen.members.contains_key(&own.entry),
            origin,
            limits: true,
            preferred,
        }
    }
}

/// Returns whether two processes were started at about the same time. Incarnations are times of start.
fn is_near(a: &Member, b: &Member) -> bool {
    a.incarnation.0.abs_diff(b.incarnation.0) <= MAX_START_GAP_MS
}

fn is_wide(member: &Member) -> bool {
    member.link_mbps >= assignment::NARROW_LINK_MBPS
}

/// Returns the accountants of all zones: of the gateways with a wide link and of the others, [`PER_KIND_OF_LINK`] each.
fn choose(directory: &Directory) -> Directory {
    let zones: BTreeSet<&Zone> = directory.members.values().map(|m| &m.zone).collect();
    let mut chosen = Directory::default();
    let Ok(subject) = Service::new(SUBJECT) else {
        return chosen;
    };
    for zone in zones {
        let near = assignment::in_zone(directory, zone);
        for wide in [true, false] {
            let mut candidates = near.clone();
            candidates
                .members
                .retain(|_, m| m.gateway.is_some() && is_wide(m) == wide);
            for entry in placement::owners(&subject, PER_KIND_OF_LINK, &candidates) {
                if let Some(member) = candidates.members.remove(&entry) {
                    chosen.members.insert(entry, member);
                }
            }
        }
    }
    chosen
}

/// Returns the addresses of accountants in the order in which an entry asks them. Entries differ in it, so that each
/// accountant is asked by a part of them. The first two differ in their links, because those with the same kind of link may
/// be lost together.
fn order(own: &Member, accountants: &[&Member]) -> Vec<SocketAddr> {
    let members = accountants.iter().map(|m| (m.entry.clone(), (*m).clone()));
    let directory = Directory {
        members: members.collect(),
    };
    // A name that is valid for an entry is valid for a service.
    let Ok(subject) = Service::new(own.entry.as_str()) else {
        return accountants.iter().map(|m| m.peers).collect();
    };
    let ordered = placement::owners(&subject, accountants.len(), &directory);
    let members = ordered.iter().filter_map(|e| directory.members.get(e));
    let mut members: Vec<&Member> = members.collect();
    if let Some(at) = members
        .iter()
        .position(|m| is_wide(m) != is_wide(members[0]))
    {
        members[1..=at].rotate_right(1);
    }
    members.iter().map(|m| m.peers).collect()
}
