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
pub struct AcceptedId {
    id: String,
    fingerprint: u64,
    /// Version that the change produced.
    pub version: Version,
}

impl AcceptedId {
    /// Returns whether `change` is the change that was accepted under this id.
    #[must_use]
    pub fn matches(&self, change: &Change) -> bool {
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
    accepted_ids: VecDeque<AcceptedId>,
    versions_by_id: HashMap<String, (Version, u64)>,
}

impl History {
    /// Restores the history from a snapshot.
    #[must_use]
    pub fn from_parts(accepted: VecDeque<Accepted>, accepted_ids: VecDeque<AcceptedId>) -> Self {
        let bytes = accepted.iter().map(|a| encoded_bytes(&a.change)).sum();
        let versions_by_id = accepted_ids.iter();
        let versions_by_id = versions_by_id.map(|k| (k.id.clone(), (k.version, k.fingerprint)));
        let versions_by_id = versions_by_id.collect();
        Self {
            accepted,
            bytes,
            accepted_ids,
            versions_by_id,
        }
    }

    /// Adds an accepted change and drops the oldest above the limits.
    pub fn push(&mut self, version: Version, change: Change) {
        let fingerprint = fingerprint(&change);
        let id = change.id.clone();
        self.versions_by_id
            .insert(id.clone(), (version, fingerprint));
        self.accepted_ids.push_back(AcceptedId {
            id,
            fingerprint,
            version,
        });
        while self.accepted_ids.len() > MAX_IDS {
            if let Some(oldest) = self.accepted_ids.pop_front() {
                self.versions_by_id.remove(&oldest.id);
            }
        }
        self.bytes += encoded_bytes(&change);
        self.accepted.push_back(Accepted { version, change });
        while self.accepted.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.accepted.pop_front() else {
                break;
            };
            self.bytes -= encoded_bytes(&oldest.change);
        }
    }

    /// Returns what is known of a change id.
    #[must_use]
    pub fn find_id(&self, id: &str) -> Option<AcceptedId> {
        let (version, fingerprint) = *self.versions_by_id.get(id)?;
        Some(AcceptedId {
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
    pub fn accepted_ids(&self) -> &VecDeque<AcceptedId> {
        &self.accepted_ids
    }
}

fn encoded_bytes(change: &Change) -> usize {
    codec::encode(change).len()
}
