//! Replicated state: claims, recorded outcomes and their expiry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::command::{ClaimReply, Command, Key, MAX_KEY_BYTES, Outcome};

/// Max claims that are kept at the same time.
pub const MAX_CLAIMS: usize = 2_000_000;
/// Max memory of all recorded outcomes together; further ones are recorded without headers and body.
pub const MAX_OUTCOME_BYTES: usize = 256 * 1024 * 1024;
/// Time for which a released attempt is kept, in milliseconds of log time. Without it, a delayed duplicate of the claim
/// would block the key until its retention ends.
const RELEASED_RETENTION_MS: u64 = 60_000;

/// Progress of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Progress {
    /// The attempt may be running.
    Claimed,
    /// The attempt was executed and had this outcome.
    Recorded(Outcome),
    /// The attempt was released without being executed; another one may claim the key.
    Released,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Claim {
    pub(crate) fingerprint: u64,
    pub(crate) attempt: String,
    pub(crate) retention_s: u32,
    /// Log time at which the claim is removed, in milliseconds.
    pub(crate) expires_ms: u64,
    pub(crate) progress: Progress,
}

impl Claim {
    /// Returns the reply to another claim of the same key, or `None` if that claim may replace this released one.
    fn reply(&self, fingerprint: u64, attempt: &str) -> Option<ClaimReply> {
        let same_attempt = self.attempt == attempt;
        match &self.progress {
            // This is a delayed duplicate of the released claim.
            Progress::Released if same_attempt => Some(ClaimReply::Unknown),
            Progress::Released => None,
            _ if self.fingerprint != fingerprint => Some(ClaimReply::Reused),
            Progress::Recorded(outcome) => Some(ClaimReply::Recorded(outcome.clone())),
            Progress::Claimed if same_attempt => Some(ClaimReply::Held),
            Progress::Claimed => Some(ClaimReply::Unknown),
        }
    }

    fn size(&self) -> usize {
        match &self.progress {
            Progress::Recorded(outcome) => outcome.size(),
            Progress::Claimed | Progress::Released => 0,
        }
    }
}

/// Claims of one ledger group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ledger {
    pub(crate) now_ms: u64,
    pub(crate) claims: BTreeMap<Arc<Key>, Claim>,
    expiry: BTreeSet<(u64, Arc<Key>)>,
    outcome_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger at log time zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the log time in milliseconds; a new ledger starts at zero.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Applies a command and returns the reply to a claim; other commands have none.
    pub fn apply(&mut self, command: &Command) -> Option<ClaimReply> {
        match command {
            Command::Claim {
                key,
                fingerprint,
                attempt,
                retention_s,
            } => {
                return Some(self.claim(key, *fingerprint, attempt, *retention_s));
            }
            Command::Record {
                key,
                attempt,
                outcome,
            } => self.record(key, attempt, outcome),
            Command::Release { key, attempt } => self.release(key, attempt),
            Command::Advance { elapsed_ms } => self.advance(*elapsed_ms),
        }
        None
    }

    fn can_add(&self, key: &Key, attempt: &str) -> bool {
        let max_len = key.key.len().max(attempt.len());
        self.claims.len() < MAX_CLAIMS && max_len <= MAX_KEY_BYTES
    }

    fn claim(
        &mut self,
        key: &Key,
        fingerprint: u64,
        attempt: &str,
        retention_s: u32,
    ) -> ClaimReply {
        match self.claims.get(key) {
            Some(claim) => {
                if let Some(reply) = claim.reply(fingerprint, attempt) {
                    return reply;
                }
            }
            None if !self.can_add(key, attempt) => return ClaimReply::Full,
            None => {}
        }
        let claim = Claim {
            fingerprint,
            attempt: attempt.to_owned(),
            retention_s,
            expires_ms: self.now_ms.saturating_add(u64::from(retention_s) * 1_000),
            progress: Progress::Claimed,
        };
        self.insert(key, claim);
        ClaimReply::Granted
    }

    fn record(&mut self, key: &Key, attempt: &str, outcome: &Outcome) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        if claim.attempt != attempt || !matches!(claim.progress, Progress::Claimed) {
            return;
        }
        let mut outcome = outcome.clone().bounded();
        if self.outcome_bytes + outcome.size() > MAX_OUTCOME_BYTES {
            outcome.headers = Vec::new();
            outcome.body = None;
        }
        // The retention restarts, so that a resend still finds the outcome of a request that ran for a long time.
        let retention_ms = u64::from(claim.retention_s) * 1_000;
        let claim = Claim {
            expires_ms: self.now_ms.saturating_add(retention_ms),
            progress: Progress::Recorded(outcome),
            ..claim.clone()
        };
        self.insert(key, claim);
    }

    fn release(&mut self, key: &Key, attempt: &str) {
        let claim = match self.claims.get(key) {
            Some(claim) => {
                if claim.attempt != attempt || !matches!(claim.progress, Progress::Claimed) {
                    return;
                }
                claim.clone()
            }
            None if !self.can_add(key, attempt) => return,
            // The release arrived before its claim.
            None => Claim {
                fingerprint: 0,
                attempt: attempt.to_owned(),
                retention_s: 0,
                expires_ms: 0,
                progress: Progress::Released,
            },
        };
        let claim = Claim {
            expires_ms: self.now_ms.saturating_add(RELEASED_RETENTION_MS),
            progress: Progress::Released,
            ..claim
        };
        self.insert(key, claim);
    }

    fn advance(&mut self, elapsed_ms: u64) {
        self.now_ms = self.now_ms.saturating_add(elapsed_ms);
        while let Some((expires_ms, key)) = self.expiry.first() {
            if *expires_ms > self.now_ms {
                break;
            }
            let key = Arc::clone(key);
            self.remove(&key);
        }
    }

    /// Builds a ledger and its indexes from the claims of a snapshot.
    pub(crate) fn rebuild(now_ms: u64, claims: Vec<(Key, Claim)>) -> Self {
        let claims = claims
            .into_iter()
            .map(|(key, claim)| (Arc::new(key), claim));
        let claims: BTreeMap<Arc<Key>, Claim> = claims.collect();
        let expiry = claims
            .iter()
            .map(|(key, claim)| (claim.expires_ms, Arc::clone(key)));
        Self {
            now_ms,
            expiry: expiry.collect(),
            outcome_bytes: claims.values().map(Claim::size).sum(),
            claims,
        }
    }

    /// Adds or replaces a claim and updates the expiry index and the total size.
    fn insert(&mut self, key: &Key, claim: Claim) {
        let key = self.remove(key).unwrap_or_else(|| Arc::new(key.clone()));
        self.expiry.insert((claim.expires_ms, Arc::clone(&key)));
        self.outcome_bytes += claim.size();
        self.claims.insert(key, claim);
    }

    fn remove(&mut self, key: &Key) -> Option<Arc<Key>> {
        let (key, claim) = self.claims.remove_entry(key)?;
        self.outcome_bytes -= claim.size();
        self.expiry.remove(&(claim.expires_ms, Arc::clone(&key)));
        Some(key)
    }
}
