//! Validation of a configuration change against the state.

use chestnutvalve_model::config::{Change, Edit, validate};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::id::MAX_NAME_BYTES;
use chestnutvalve_model::version::Version;
use serde::{Deserialize, Serialize};

use super::{Store, size};

/// Maximum number of edits in one change.
pub const MAX_EDITS: usize = 10_000;

/// Why a change was refused.
#[derive(Clone, Debug, Deserialize, thiserror::Error, PartialEq, Serialize)]
#[error("{fault}")]
pub struct Refusal {
    /// Kind and context of the error.
    pub fault: Fault,
    /// Version of the last accepted change; set for a version conflict.
    pub current: Option<Version>,
    /// Edits between the expected and the current version; set for a version conflict while they are retained.
    pub difference: Option<Vec<Edit>>,
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Self {
        Self {
            fault,
            current: None,
            difference: None,
        }
    }
}

/// Validates the fields of a change that don't depend on the state.
///
/// # Errors
///
/// Returns [`Kind::InvalidChange`], with the invalid field in the context.
pub fn validate_fields(change: &Change) -> Result<(), Fault> {
    let is_name = |c: char| c.is_ascii_alphanumeric() || ".:_-".contains(c);
    let id = &change.id;
    if id.is_empty() || id.len() > MAX_NAME_BYTES || !id.chars().all(is_name) {
        let context =
            format!("id: expected 1 to {MAX_NAME_BYTES} characters of a-z A-Z 0-9 . _ : -");
        return Err(Fault::new(Kind::InvalidChange, context));
    }
    for (field, text) in [("author", &change.author), ("reason", &change.reason)] {
        if text.trim().is_empty() || text.len() > validate::MAX_TEXT_BYTES {
            let limit = validate::MAX_TEXT_BYTES;
            let context = format!("{field}: expected 1 to {limit} bytes of text");
            return Err(Fault::new(Kind::InvalidChange, context));
        }
    }
    if change.edits.is_empty() || change.edits.len() > MAX_EDITS {
        let found = change.edits.len();
        let context = format!("edits: {found} edits; expected 1 to {MAX_EDITS}");
        return Err(Fault::new(Kind::InvalidChange, context));
    }
    Ok(())
}

impl Store {
    /// Returns the original result of a resent change, or `None` for a change that may be applied now.
    ///
    /// A change may be applied when no other change was accepted since its expected version. Directory records in
    /// between don't conflict: entries join and leave all the time, and an operator's edits don't depend on them.
    ///
    /// # Errors
    ///
    /// Returns the refusal: an invalid field, a reused id or a version conflict. A retry of a refused change is refused
    /// as well, because versions only increase.
    pub fn check_change(&self, change: &Change) -> Result<Option<Version>, Refusal> {
        validate_fields(change)?;
        if let Some(accepted) = self.history.find_id(&change.id) {
            if accepted.matches(change) {
                return Ok(Some(accepted.version));
            }
            let context = format!(
                "change id {:?} is already used by another change",
                change.id
            );
            return Err(Fault::new(Kind::InvalidChange, context).into());
        }
        if change.expected != self.config_version && !self.is_unchanged_since(change.expected) {
            return Err(self.conflict(change.expected));
        }
        self.check_size(&change.edits)?;
        Ok(None)
    }

    /// Refuses edits that could make the document too large for one frame to an entry. Removals always pass.
    fn check_size(&self, edits: &[Edit]) -> Result<(), Fault> {
        let put = size::put_bytes(edits);
        if put == 0 || self.exception_bytes + put <= size::MAX_BYTES {
            return Ok(());
        }
        let (bytes, limit) = (self.exception_bytes, size::MAX_BYTES);
        let context =
            format!("exceptions: adding {put} bytes to {bytes}; expected at most {limit} in total");
        Err(Fault::new(Kind::InvalidChange, context))
    }

    fn is_unchanged_since(&self, expected: Version) -> bool {
        expected >= self.config_version && self.records.after(expected).is_some()
    }

    fn conflict(&self, expected: Version) -> Refusal {
        let current = self.config_version;
        let context = format!("expected version {expected}, but the current version is {current}");
        Refusal {
            fault: Fault::new(Kind::VersionConflict, context),
            current: Some(current),
            difference: self.edits_since(expected),
        }
    }
}
