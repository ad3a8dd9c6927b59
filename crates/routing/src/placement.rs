//! Choice of the entries that own a service and of a worker's home among them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use chestnutvalve_model::directory::{Directory, Member};
use chestnutvalve_model::id::{Entry, Service, Worker, Zone};
use xxhash_rust::xxh3::Xxh3;

/// Rendezvous score of a pair of names.
fn score(subject: &str, candidate: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(subject.as_bytes());
    // Names can't contain a zero byte, so that different pairs never feed the same bytes.
    hash.update(&[0]);
    hash.update(candidate.as_bytes());
    hash.digest()
}

/// Returns the owners of `service`, best first: `size` members, or all if there are fewer.
///
/// Members that are shutting down are left out. Every availability zone gives its best member before one gives its
/// second, so that the loss of a zone takes as few owners as possible.
#[must_use]
pub fn owners(service: &Service, size: usize, directory: &Directory) -> Vec<Entry> {
    let mut zones: BTreeMap<&Zone, Vec<(Reverse<u64>, &Entry)>> = BTreeMap::new();
    for member in directory.members.values().filter(|m| !m.draining) {
        let rank = Reverse(score(service.as_str(), member.entry.as_str()));
        zones
            .entry(&member.zone)
            .or_default()
            .push((rank, &member.entry));
    }
    let mut candidates = Vec::new();
    for members in zones.values_mut() {
        members.sort_unstable();
        let first = members.iter().take(size).enumerate();
        candidates.extend(first.map(|(round, &(rank, entry))| (round, rank, entry)));
    }
    candidates.sort_unstable();
    let chosen = candidates.into_iter().take(size);
    chosen.map(|(_, _, entry)| entry.clone()).collect()
}

/// Returns the owner at which a worker renews: one in the worker's availability zone if there is one.
#[must_use]
pub fn home(worker: &Worker, zone: &Zone, owners: &[&Member]) -> Option<Entry> {
    let best = owners.iter().filter(|m| !m.draining).max_by_key(|m| {
        let rank = score(worker.as_str(), m.entry.as_str());
        (m.zone == *zone, rank, Reverse(&m.entry))
    });
    best.map(|m| m.entry.clone())
}
