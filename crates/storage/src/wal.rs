//! Write-ahead log: one frame for each batch, so that only the last frame can be incomplete after a crash.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use chestnutvalve_consensus::{Entry, HardState};
use serde::{Deserialize, Serialize};

use crate::disk::Disk;
use crate::error::Error;
use crate::frame;

/// First bytes of the file; the last one is the version of the format.
const MAGIC: &[u8; 8] = b"cvwal\0\0\x01";

/// Content of one frame.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Batch {
    /// Hard state, if it has changed.
    pub hard_state: Option<HardState>,
    /// Entries; they replace earlier ones with the same or a greater index.
    pub entries: Vec<Entry>,
}

/// Open write-ahead log, positioned at its end.
#[derive(Debug)]
pub struct Wal {
    file: File,
    path: PathBuf,
    sequence: u64,
}

impl Wal {
    /// Creates a log with one batch in place of any other at `path`. A crash leaves either the old file or the new one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn replace(path: &Path, batch: &Batch, disk: &mut Disk) -> Result<Self, Error> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&frame::encode(1, &encode(batch)));
        let file = replace_file(path, &bytes, disk)?;
        Ok(Self {
            file,
            path: path.to_owned(),
            sequence: 1,
        })
    }

    /// Opens a log and returns its batches. An incomplete last frame, which a crash during a write leaves, is cut off.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when a frame is damaged and a later one is not, and errors of the operating system.
    pub fn open(path: &Path, disk: &mut Disk) -> Result<(Self, Vec<Batch>), Error> {
        let mut options = OpenOptions::new();
        let opened = options.read(true).write(true).open(path);
        let mut file = opened.map_err(Error::io("opening", path))?;
        let mut bytes = Vec::new();
        let read = file.read_to_end(&mut bytes);
        read.map_err(Error::io("reading", path))?;
        let (batches, end) = scan(path, &bytes)?;
        if end < bytes.len() {
            let lost = bytes.len() - end;
            spdlog::warn!(
                "{}: cutting off an incomplete record of {lost} bytes at offset {end}",
                path.display()
            );
            let cut = file.set_len(end as u64);
            cut.map_err(Error::io("truncating", path))?;
            (disk.sync)(&file).map_err(Error::io("syncing", path))?;
        }
        let moved = file.seek(SeekFrom::Start(end as u64));
        moved.map_err(Error::io("seeking in", path))?;
        let wal = Self {
            file,
            path: path.to_owned(),
            sequence: batches.len() as u64,
        };
        Ok((wal, batches))
    }

    /// Appends a batch and makes it durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; it is then unknown what the file holds.
    pub fn append(&mut self, batch: &Batch, disk: &mut Disk) -> Result<(), Error> {
        self.sequence += 1;
        let bytes = frame::encode(self.sequence, &encode(batch));
        let written = (disk.write)(&mut self.file, &bytes);
        written.map_err(Error::io("writing", &self.path))?;
        (disk.sync)(&self.file).map_err(Error::io("syncing", &self.path))
    }
}

/// Returns the batches and the offset after the last one.
fn scan(path: &Path, bytes: &[u8]) -> Result<(Vec<Batch>, usize), Error> {
    let corrupt = |offset: usize, what| Error::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        what,
    };
    if !bytes.starts_with(MAGIC) {
        return Err(corrupt(0, "not a write-ahead log of this version"));
    }
    let mut batches = Vec::new();
    let mut offset = MAGIC.len();
    while offset < bytes.len() {
        let expected = batches.len() as u64 + 1;
        let frame = match frame::decode(&bytes[offset..]) {
            Ok(frame) if frame.sequence == expected => frame,
            Ok(_) => return Err(corrupt(offset, "unexpected sequence number")),
            Err(what) if has_frame(&bytes[offset + 1..], expected) => {
                return Err(corrupt(offset, what));
            }
            Err(_) => break,
        };
        let batch = decode(frame.payload);
        batches.push(batch.ok_or_else(|| corrupt(offset, "record does not decode"))?);
        offset += frame::HEADER_BYTES + frame.payload.len();
    }
    Ok((batches, offset))
}

/// Returns whether a valid frame after number `sequence` starts anywhere; then what is before it was once complete, because each
/// batch is durable before the next is written.
fn has_frame(bytes: &[u8], sequence: u64) -> bool {
    (0..bytes.len())
        .any(|at| frame::decode(&bytes[at..]).is_ok_and(|frame| frame.sequence > sequence))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("stored types have no fallible encoding")
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let (value, used) = decoded.ok()?;
    (used == bytes.len()).then_some(value)
}

/// Writes a file under a temporary name, makes it durable and moves it to `path`.
pub(crate) fn replace_file(path: &Path, bytes: &[u8], disk: &mut Disk) -> Result<File, Error> {
    let temporary = path.with_extension("tmp");
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(true);
    let opened = options.open(&temporary);
    let mut file = opened.map_err(Error::io("creating", &temporary))?;
    (disk.write)(&mut file, bytes).map_err(Error::io("writing", &temporary))?;
    (disk.sync)(&file).map_err(Error::io("syncing", &temporary))?;
    let renamed = std::fs::rename(&temporary, path);
    renamed.map_err(Error::io("renaming to", path))?;
    if let Some(folder) = path.parent() {
        sync_folder(folder, disk)?;
    }
    Ok(file)
}

pub(crate) fn sync_folder(folder: &Path, disk: &mut Disk) -> Result<(), Error> {
    let opened = File::open(folder).map_err(Error::io("opening", folder))?;
    (disk.sync)(&opened).map_err(Error::io("syncing", folder))
}
