//! Snapshot file: its kind and format, and one frame.

use std::path::Path;

use chestnutvalve_consensus::Snapshot;

use crate::disk::Disk;
use crate::error::Error;
use crate::format::{self, FORMAT, Kind, START_BYTES};
use crate::frame;
use crate::wal::{decode, encode, write_atomically};

const KIND: Kind = *b"cvsnap\0";

/// Replaces the snapshot at `path` atomically: after a crash it is either the old one or the new one.
///
/// # Errors
///
/// Returns [`Error::Full`] and [`Error::Io`].
pub fn save(path: &Path, snapshot: &Snapshot, disk: &mut Disk) -> Result<(), Error> {
    let mut bytes = format::start(KIND);
    bytes.extend_from_slice(&frame::encode(snapshot.position.index, &encode(snapshot)));
    write_atomically(path, &bytes, disk)?;
    Ok(())
}

/// Reads the snapshot at `path` and its format, or returns the empty one if there is no file.
///
/// # Errors
///
/// Returns [`Error::Corrupt`] for a damaged file, [`Error::Format`] for one of another version, and [`Error::Io`].
pub fn load(path: &Path) -> Result<(Snapshot, u8), Error> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            return Ok((Snapshot::default(), FORMAT));
        }
        Err(error) => return Err(Error::io("reading", path)(error)),
    };
    let corrupt = |offset: usize, problem| Error::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        problem,
    };
    let Some(format) = format::read(KIND, path, &bytes)? else {
        return Err(corrupt(
            0,
            "expected the magic number and version of a snapshot file",
        ));
    };
    let record = &bytes[START_BYTES..];
    let frame = frame::decode(record).map_err(|problem| corrupt(START_BYTES, problem))?;
    if frame::HEADER_BYTES + frame.payload.len() != record.len() {
        return Err(corrupt(
            bytes.len(),
            "unexpected bytes after the snapshot record",
        ));
    }
    let snapshot = decode(frame.payload)
        .ok_or_else(|| corrupt(START_BYTES, "snapshot record cannot be decoded"))?;
    Ok((snapshot, format))
}
