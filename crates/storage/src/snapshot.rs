//! Snapshot file: a magic number and one frame.

use std::path::Path;

use chestnutvalve_consensus::Snapshot;

use crate::disk::Disk;
use crate::error::Error;
use crate::frame;
use crate::wal::{decode, encode, write_atomically};

/// First bytes of the file. The last one is the format version.
const MAGIC: &[u8; 8] = b"cvsnap\0\x01";

/// Replaces the snapshot at `path` atomically: after a crash it is either the old one or the new one.
///
/// # Errors
///
/// Returns [`Error::Full`] and [`Error::Io`].
pub fn save(path: &Path, snapshot: &Snapshot, disk: &mut Disk) -> Result<(), Error> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&frame::encode(snapshot.position.index, &encode(snapshot)));
    write_atomically(path, &bytes, disk)?;
    Ok(())
}

/// Reads the snapshot at `path`, or returns the empty one if there is no file.
///
/// # Errors
///
/// Returns [`Error::Corrupt`] for a damaged file, and [`Error::Io`].
pub fn load(path: &Path) -> Result<Snapshot, Error> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            return Ok(Snapshot::default());
        }
        Err(error) => return Err(Error::io("reading", path)(error)),
    };
    let corrupt = |offset: usize, problem| Error::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        problem,
    };
    let Some(record) = bytes.strip_prefix(MAGIC) else {
        return Err(corrupt(
            0,
            "expected the magic number and version of a snapshot file",
        ));
    };
    let frame = frame::decode(record).map_err(|problem| corrupt(MAGIC.len(), problem))?;
    if frame::HEADER_BYTES + frame.payload.len() != record.len() {
        return Err(corrupt(
            bytes.len(),
            "unexpected bytes after the snapshot record",
        ));
    }
    decode(frame.payload).ok_or_else(|| corrupt(MAGIC.len(), "snapshot record cannot be decoded"))
}
