//! Commands of the ledger and their answers.

use chestnutvalve_model::id::{Customer, Service};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Largest recorded body of an outcome, in bytes; a larger one is recorded as `None`.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest recorded headers of an outcome, names and values together, in bytes.
pub const MAX_HEADER_BYTES: usize = 8 * 1024;

/// Longest idempotency key and longest attempt id, in bytes; a claim with a longer one is answered `Full`.
pub const MAX_KEY_BYTES: usize = 256;

/// What a claim is for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Service of the request.
    pub service: Service,
    /// Customer of the request, if the caller stated one.
    pub customer: Option<Customer>,
    /// Idempotency key of the request.
    pub key: String,
}

/// Response of a request that was executed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers as names and values; empty if they were too large.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body, or `None` if it was too large to be recorded.
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    /// Returns the outcome without the parts that are too large to be recorded.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        if headers.sum::<usize>() > MAX_HEADER_BYTES {
            // A body without its content type and encoding is of no use.
            self.headers.clear();
            self.body = None;
        }
        self.body = self.body.filter(|b| b.len() <= MAX_BODY_BYTES);
        self
    }

    /// Returns the approximate size in memory, in bytes.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.as_ref().map_or(0, Vec::len) + headers.sum::<usize>()
    }
}

/// One step of the ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Claims a key before the request is dispatched.
    Claim {
        /// What is claimed.
        key: Key,
        /// Hash of the request, by which another request with the same key is told apart.
        fingerprint: u64,
        /// Unique id of the attempt. It must not be used again after a release.
        attempt: String,
        /// Time for which the claim and its outcome are kept, in seconds of log time.
        retention_s: u32,
    },
    /// Records the outcome of the claiming attempt.
    Record {
        /// What was claimed.
        key: Key,
        /// The claiming attempt.
        attempt: String,
        /// Its response.
        outcome: Outcome,
    },
    /// Gives up a claim whose request was provably not executed.
    Release {
        /// What was claimed.
        key: Key,
        /// The claiming attempt.
        attempt: String,
    },
    /// Moves log time.
    Advance {
        /// Time since the previous `Advance` by the leader's monotonic clock, in milliseconds.
        elapsed_ms: u64,
    },
}

/// Answer to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The attempt holds the claim and may dispatch its request.
    Granted,
    /// The attempt holds the claim since an earlier delivery of the same command.
    Held,
    /// An earlier attempt was executed, with this outcome.
    Recorded(Outcome),
    /// An earlier attempt holds the claim and its outcome is not known.
    Unknown,
    /// The key was claimed for a different request.
    Reused,
    /// The ledger has no room for another claim, or the key is too long; the request must not be dispatched.
    Full,
}

/// Returns the ledger group of a key, from 0 to `groups - 1`.
///
/// The map depends on the key and the number of groups alone. It is part of the stored format and must not change.
#[must_use]
pub fn group(key: &Key, groups: u32) -> u32 {
    let mut hash = Xxh3::new();
    let customer = key.customer.as_ref().map_or("", Customer::as_str);
    for part in [key.service.as_str(), customer, &key.key] {
        hash.update(part.as_bytes());
        // Names can't contain a zero byte, so that neighbouring parts can't be confused.
        hash.update(&[0]);
    }
    let slot = hash.digest() % u64::from(groups.max(1));
    u32::try_from(slot).unwrap_or_default()
}
