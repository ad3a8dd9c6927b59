//! Placement by rendezvous hashing: the entries that own a service, and the home of a worker among them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use chestnutvalve_model::directory::{Directory, Member};
use chestnutvalve_model::id::{Entry, Service, Worker, Zone};
use xxhash_rust::xxh3::Xxh3;

/// Rendezvous score of a pair of names.
fn score(subject: &str, candidate: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(subject.as_bytes());
    // Names can't contain a zero byte, so different pairs never hash the same bytes.
    hash.update(&[0]);
    hash.update(candidate.as_bytes());
    hash.digest()
}

/// Returns the `size` owners of `service`, best first, or all members if there are fewer.
///
/// Draining members are excluded. Each availability zone contributes its best member before any contributes its second,
/// so that the loss of a zone affects as few owners as possible.
#[must_use]
pub fn owners(service: &Service, size: usize, directory: &Directory) -> Vec<Entry> {
    let mut zones: BTreeMap<&Zone, Vec<(Reverse<u64>, &Entry)>> = BTreeMap::new();
    for member in directory.members.values().filter(|m| !m.draining) {
        let score = Reverse(score(service.as_str(), member.entry.as_str()));
        zones
            .entry(&member.zone)
            .or_default()
            .push((score, &member.entry));
    }
    let mut candidates = Vec::new();
    for members in zones.values_mut() {
        members.sort_unstable();
        let first = members.iter().take(size).enumerate();
        candidates.extend(first.map(|(round, &(score, entry))| (round, score, entry)));
    }
    candidates.sort_unstable();
    let chosen = candidates.into_iter().take(size);
    chosen.map(|(_, _, entry)| entry.clone()).collect()
}

/// Returns the owner that a worker renews its registration with, in the worker's availability zone if it has an owner.
#[must_use]
pub fn home(worker: &Worker, zone: &Zone, owners: &[&Member]) -> Option<Entry> {
    let best = owners.iter().filter(|m| !m.draining).max_by_key(|m| {
        let score = score(worker.as_str(), m.entry.as_str());
        (m.zone == *zone, score, Reverse(&m.entry))
    });
    best.map(|m| m.entry.clone())
}
