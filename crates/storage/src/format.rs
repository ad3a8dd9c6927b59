//! Format of the stored files, which each file states at its start.
//!
//! Format 1 was not raised when the layout of what the files contain changed, so that a file of format 1 may have an earlier
//! layout. Whoever opens such files must check that their content decodes.

use std::path::Path;

use crate::error::Error;

/// Format that is written. It must be raised with each change of the layout of a type that is stored, to the next number with
/// an odd number of one bits: no flipped bit turns one such number into another.
pub const FORMAT: u8 = 2;
/// Format of files whose content may have an earlier layout.
pub const UNCHECKED: u8 = 1;
/// Length of the start of a file: its kind and one byte for the format.
pub const START_BYTES: usize = KIND_BYTES + 1;

const KIND_BYTES: usize = 7;

/// First bytes of a kind of file.
pub(crate) type Kind = [u8; KIND_BYTES];

/// Returns the start of a new file.
pub(crate) fn start(kind: Kind) -> Vec<u8> {
    [&kind[..], &[FORMAT]].concat()
}

/// Returns the format of the file at `path` with the content `bytes`; `None` for a file of another kind.
pub(crate) fn read(kind: Kind, path: &Path, bytes: &[u8]) -> Result<Option<u8>, Error> {
    let Some(format) = bytes.strip_prefix(&kind).and_then(|rest| rest.first()) else {
        return Ok(None);
    };
    if format.count_ones() % 2 == 0 {
        return Ok(None);
    }
    if ![UNCHECKED, FORMAT].contains(format) {
        let cause = "it was written by another version".to_owned();
        return Err(refused(path, *format, cause));
    }
    Ok(Some(*format))
}

/// Returns the error for the file at `path`, of which nothing was changed.
pub(crate) fn refused(path: &Path, found: u8, cause: String) -> Error {
    Error::Format {
        directory: path.parent().unwrap_or(path).to_owned(),
        found,
        expected: FORMAT,
        cause,
    }
}
