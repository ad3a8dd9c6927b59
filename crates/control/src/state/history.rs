//! Accepted changes with author and reason, and the ids by which resends are recognised.

use std::collections::{HashMap, VecDeque};

use chestnutvalve_model::config::Change;
use chestnutvalve_model::version::Version;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec;

/// Most changes that the history keeps.
pub const MAX_CHANGES: usize = 10_000;
/// Most encoded bytes of changes that the history keeps.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Most change ids that are kept, 15 hours at 32,000 changes a day. A resend after that is a version conflict, so that
/// it is still not applied twice.
pub const MAX_IDS: usize = 20_000;

/// An accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// Version that the change produced.
    pub version: Version,
    /// The change.
    pub change: Change,
}

/// Id of an accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Known {
    id: String,
    fingerprint: u64,
    /// Version that the change produced.
    pub version: Version,
}

impl Known {
    /// Returns whether `change` is the change that was accepted under this id.
    #[must_use]
    pub fn is(&self, change: &Change) -> bool {
        self.fingerprint == fingerprint(change)
    }
}

fn fingerprint(change: &Change) -> u64 {
    xxh3_64(&codec::encode(change))
}

/// Bounded history of accepted changes.
#[derive(Clone, Debug, Default)]
pub struct History {
    accepted: VecDeque<Accepted>,
    bytes: usize,
    known: VecDeque<Known>,
    versions: HashMap<String, (Version, u64)>,
}

impl History {
    /// Restores the history from a snapshot.
    #[must_use]
    pub fn from_parts(accepted: VecDeque<Accepted>, known: VecDeque<Known>) -> Self {
        let bytes = accepted.iter().map(|a| size(&a.change)).sum();
        let versions = known.iter();
        let versions = versions.map(|k| (k.id.clone(), (k.version, k.fingerprint)));
        let versions = versions.collect();
        Self {
            accepted,
            bytes,
            known,
            versions,
        }
    }

    /// Adds an accepted change and drops the oldest above the limits.
    pub fn push(&mut self, version: Version, change: Change) {
        let fingerprint = fingerprint(&change);
        let id = change.id.clone();
        self.versions.insert(id.clone(), (version, fingerprint));
        self.known.push_back(Known {
            id,
            fingerprint,
            version,
        });
        while self.known.len() > MAX_IDS {
            if let Some(oldest) = self.known.pop_front() {
                self.versions.remove(&oldest.id);
            }
        }
        self.bytes += size(&change);
        self.accepted.push_back(Accepted { version, change });
        while self.accepted.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.accepted.pop_front() else {
                break;
            };
            self.bytes -= size(&oldest.change);
        }
    }

    /// Returns what is known of a change id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<Known> {
        let (version, fingerprint) = *self.versions.get(id)?;
        Some(Known {
            id: id.to_owned(),
            fingerprint,
            version,
        })
    }

    /// Returns the kept changes, oldest first.
    #[must_use]
    pub fn accepted(&self) -> &VecDeque<Accepted> {
        &self.accepted
    }

    /// Returns the kept ids, oldest first.
    #[must_use]
    pub fn known(&self) -> &VecDeque<Known> {
        &self.known
    }
}

fn size(change: &Change) -> usize {
    codec::encode(change).len()
}
