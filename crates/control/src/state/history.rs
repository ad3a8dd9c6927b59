//! Accepted changes with author and reason, and the ids that identify resent changes.

use std::collections::{HashMap, VecDeque};

use chestnutvalve_model::config::Change;
use chestnutvalve_model::version::Version;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec;

/// Maximum number of retained changes.
pub const MAX_CHANGES: usize = 10_000;
/// Maximum encoded size of the retained changes, in bytes.
pub const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of retained change ids: 15 hours at 32,000 changes a day. A later resend is a version conflict, so it
/// is not applied twice either.
pub const MAX_IDS: usize = 20_000;

/// Accepted change with the version it produced.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// Version that the change produced.
    pub version: Version,
    /// Change as the operator sent it.
    pub change: Change,
}

/// Id and fingerprint of an accepted change.
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
    /// Rebuilds the history from the contents of a snapshot.
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

    /// Adds an accepted change and drops the oldest entries that exceed the limits.
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

    /// Returns the accepted change with the given id, while the id is retained.
    #[must_use]
    pub fn find_id(&self, id: &str) -> Option<AcceptedId> {
        let (version, fingerprint) = *self.versions_by_id.get(id)?;
        Some(AcceptedId {
            id: id.to_owned(),
            fingerprint,
            version,
        })
    }

    /// Returns the retained changes, oldest first.
    #[must_use]
    pub fn accepted(&self) -> &VecDeque<Accepted> {
        &self.accepted
    }

    /// Returns the retained ids, oldest first.
    #[must_use]
    pub fn accepted_ids(&self) -> &VecDeque<AcceptedId> {
        &self.accepted_ids
    }
}

fn encoded_bytes(change: &Change) -> usize {
    codec::encode(change).len()
}
