//! Commands of the ledger and the replies to claims.

use chestnutvalve_model::id::{Customer, Service};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Max size of a recorded response body; a larger one is recorded as `None`.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Max size of the recorded response headers, names and values together; larger ones are dropped together with the
/// body.
pub const MAX_HEADER_BYTES: usize = 8 * 1024;

/// Max length of an idempotency key and of an attempt id; a claim with a longer one gets [`ClaimReply::Full`].
pub const MAX_KEY_BYTES: usize = 256;

/// Key of a claim: an idempotency key within its service and customer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Service of the request.
    pub service: Service,
    /// Customer of the request, if the caller stated one.
    pub customer: Option<Customer>,
    /// Idempotency key of the request.
    pub key: String,
}

/// Recorded response of an executed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Header names and values; empty if they were too large to be recorded.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body, or `None` if it was too large to be recorded.
    pub body: Option<Vec<u8>>,
}

impl Outcome {
    /// Removes the parts that are too large to be recorded.
    #[must_use]
    pub fn bounded(mut self) -> Self {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        if headers.sum::<usize>() > MAX_HEADER_BYTES {
            // A body can't be interpreted without its content type and encoding.
            self.headers.clear();
            self.body = None;
        }
        self.body = self.body.filter(|b| b.len() <= MAX_BODY_BYTES);
        self
    }

    /// Returns the approximate memory size of headers and body, in bytes.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(n, v)| n.len() + v.len());
        self.body.as_ref().map_or(0, Vec::len) + headers.sum::<usize>()
    }
}

/// Command that a ledger group replicates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Claims a key before the request is dispatched.
    Claim {
        /// Key to claim.
        key: Key,
        /// Hash of the request, which distinguishes different requests with the same key.
        fingerprint: u64,
        /// Unique id of the attempt. It must not be reused after a release.
        attempt: String,
        /// Time for which the claim and its outcome are kept, in seconds of log time.
        retention_s: u32,
    },
    /// Records the outcome of the claiming attempt.
    Record {
        /// Claimed key.
        key: Key,
        /// Id of the claiming attempt.
        attempt: String,
        /// Response of the attempt.
        outcome: Outcome,
    },
    /// Releases a claim whose request was provably not executed.
    Release {
        /// Claimed key.
        key: Key,
        /// Id of the claiming attempt.
        attempt: String,
    },
    /// Advances log time.
    Advance {
        /// Time since the previous `Advance` by the leader's monotonic clock, in milliseconds.
        elapsed_ms: u64,
    },
}

/// Reply to [`Command::Claim`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The attempt holds the claim and may dispatch its request.
    Granted,
    /// The attempt already holds the claim from an earlier delivery of the same command.
    Held,
    /// An earlier attempt was executed and had this outcome.
    Recorded(Outcome),
    /// Another attempt holds the claim and its outcome is unknown, or the claim arrived after its own release.
    Unknown,
    /// The key was claimed for a different request.
    Reused,
    /// The ledger has no room for another claim, or the key or attempt id is too long; the request must not be
    /// dispatched.
    Full,
}

/// Returns the ledger group of a key, from 0 to `groups - 1`.
///
/// The mapping depends only on the key and the number of groups. It is part of the stored format and must not change.
#[must_use]
pub fn group(key: &Key, groups: u32) -> u32 {
    let mut hash = Xxh3::new();
    let customer = key.customer.as_ref().map_or("", Customer::as_str);
    for part in [key.service.as_str(), customer, &key.key] {
        hash.update(part.as_bytes());
        // Service and customer names can't contain a zero byte, so different keys never hash the same bytes.
        hash.update(&[0]);
    }
    let index = hash.digest() % u64::from(groups.max(1));
    u32::try_from(index).unwrap_or_default()
}
