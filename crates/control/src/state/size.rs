//! Encoded size of the configuration's exceptions.

use std::collections::BTreeSet;

use chestnutvalve_model::config::{Document, Edit};

use crate::codec;

/// Maximum encoded size of all exceptions. A snapshot for an entry must fit into one frame of 64 MiB, together with the
/// directory.
pub const MAX_BYTES: usize = 48 * 1024 * 1024;

/// Returns the encoded size of all exceptions, in bytes.
#[must_use]
pub fn total_bytes(document: &Document) -> usize {
    let exceptions = document.exceptions.values();
    exceptions.map(|e| codec::encode(e).len()).sum()
}

/// Returns the encoded size of the existing exceptions that `edits` replace or remove, in bytes.
#[must_use]
pub fn named_bytes(document: &Document, edits: &[Edit]) -> usize {
    let ids = edits.iter().filter_map(|edit| match edit {
        Edit::SetDefaults(_) => None,
        Edit::PutException(exception) => Some(&exception.id),
        Edit::RemoveException(id) => Some(id),
    });
    let ids: BTreeSet<&String> = ids.collect();
    let present = ids.into_iter().filter_map(|id| document.exceptions.get(id));
    present.map(|e| codec::encode(e).len()).sum()
}

/// Returns the encoded size of the exceptions that `edits` add, in bytes.
#[must_use]
pub fn put_bytes(edits: &[Edit]) -> usize {
    let sizes = edits.iter().map(|edit| match edit {
        Edit::PutException(exception) => codec::encode(exception).len(),
        Edit::SetDefaults(_) | Edit::RemoveException(_) => 0,
    });
    sizes.sum()
}
