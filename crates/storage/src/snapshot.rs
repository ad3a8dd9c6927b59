//! Snapshot files.

use std::path::Path;

use chestnutvalve_consensus::Snapshot;

use crate::disk::Disk;
use crate::error::Error;
use crate::frame;
use crate::wal::{decode, encode, replace_file};

/// First bytes of the file; the last one is the version of the format.
const MAGIC: &[u8; 8] = b"cvsnap\0\x01";

/// Writes a snapshot in place of any other at `path`. A crash leaves either the old file or the new one.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn save(path: &Path, snapshot: &Snapshot, disk: &mut Disk) -> Result<(), Error> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&frame::encode(snapshot.position.index, &encode(snapshot)));
    replace_file(path, &bytes, disk)?;
    Ok(())
}

/// Reads the snapshot at `path`; without a file it is the empty one.
///
/// # Errors
///
/// Returns [`Error::Corrupt`] for a damaged file, and errors of the operating system.
pub fn load(path: &Path) -> Result<Snapshot, Error> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            return Ok(Snapshot::default());
        }
        Err(error) => return Err(Error::io("reading", path)(error)),
    };
    let corrupt = |offset: usize, what| Error::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        what,
    };
    let Some(record) = bytes.strip_prefix(MAGIC) else {
        return Err(corrupt(0, "not a snapshot of this version"));
    };
    let frame = frame::decode(record).map_err(|what| corrupt(MAGIC.len(), what))?;
    if frame::HEADER_BYTES + frame.payload.len() != record.len() {
        return Err(corrupt(bytes.len(), "bytes after the snapshot"));
    }
    decode(frame.payload).ok_or_else(|| corrupt(MAGIC.len(), "snapshot does not decode"))
}
