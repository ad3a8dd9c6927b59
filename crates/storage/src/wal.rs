//! Write-ahead log with one frame for each batch. Each is durable before the next, so that a crash leaves only the last
//! frame incomplete.

use std::fs::{File, OpenOptions};
use std::io::{Seek, SeekFrom};
use std::path::{Path, PathBuf};

use chestnutvalve_consensus::{Entry, HardState};
use serde::{Deserialize, Serialize};

use crate::disk::Disk;
use crate::error::Error;
use crate::format::{self, Kind, START_BYTES};
use crate::frame;

const KIND: Kind = *b"cvwal\0\0";

/// Payload of one frame.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Batch {
    /// Hard state, if it has changed.
    pub hard_state: Option<HardState>,
    /// Entries in log order. They replace earlier entries with the same or a greater index.
    pub entries: Vec<Entry>,
}

/// Content of a log.
#[derive(Debug)]
pub struct Content {
    /// Format of the file.
    pub format: u8,
    /// Batches in log order.
    pub batches: Vec<Batch>,
    /// Offset after the last batch, in bytes.
    end: usize,
    /// Length of the file, in bytes.
    len: usize,
}

/// Open write-ahead log, with the file position at its end.
#[derive(Debug)]
pub struct Wal {
    file: File,
    path: PathBuf,
    sequence: u64,
    /// Length of the file in bytes.
    end: u64,
}

impl Wal {
    /// Replaces the log at `path` by one with a single batch. After a crash it is either the old one or the new one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`].
    pub fn replace(path: &Path, batch: &Batch, disk: &mut Disk) -> Result<Self, Error> {
        let mut bytes = format::start(KIND);
        bytes.extend_from_slice(&frame::encode(1, &encode(batch)));
        let file = write_atomically(path, &bytes, disk)?;
        Ok(Self {
            file,
            path: path.to_owned(),
            sequence: 1,
            end: bytes.len() as u64,
        })
    }

    /// Reads a log and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when a damaged frame is followed by an intact one, [`Error::Format`] for a log of another
    /// version, and [`Error::Io`].
    pub fn read(path: &Path) -> Result<Content, Error> {
        let bytes = std::fs::read(path).map_err(Error::io("reading", path))?;
        scan(path, &bytes)
    }

    /// Opens a log whose content was read. An incomplete last frame, as left by a crash during a write, is truncated.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`].
    pub fn open(path: &Path, content: &Content, disk: &mut Disk) -> Result<Self, Error> {
        let mut options = OpenOptions::new();
        let opened = options.read(true).write(true).open(path);
        let mut file = opened.map_err(Error::io("opening", path))?;
        let Content {
            batches, end, len, ..
        } = content;
        let end = *end;
        if end < *len {
            let excess = len - end;
            spdlog::warn!(
                "{}: truncating an incomplete record of {excess} bytes at offset {end}",
                path.display()
            );
            let truncated = file.set_len(end as u64);
            truncated.map_err(Error::io("truncating", path))?;
            (disk.sync)(&file).map_err(Error::io("syncing", path))?;
        }
        let sought = file.seek(SeekFrom::Start(end as u64));
        sought.map_err(Error::io("seeking in", path))?;
        Ok(Self {
            file,
            path: path.to_owned(),
            sequence: batches.len() as u64,
            end: end as u64,
        })
    }

    /// Appends a batch and makes it durable.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when there is no room; the file is then as before. After [`Error::Io`] its content is unknown.
    pub fn append(&mut self, batch: &Batch, disk: &mut Disk) -> Result<(), Error> {
        let bytes = frame::encode(self.sequence + 1, &encode(batch));
        if let Err(error) = (disk.write)(&mut self.file, &bytes) {
            self.discard_partial_write()?;
            return Err(Error::unchanged("writing", &self.path)(error));
        }
        (disk.sync)(&self.file).map_err(Error::io("syncing", &self.path))?;
        self.sequence += 1;
        self.end += bytes.len() as u64;
        Ok(())
    }

    /// Removes what a failed write has left after the last batch.
    fn discard_partial_write(&mut self) -> Result<(), Error> {
        let truncated = self.file.set_len(self.end);
        truncated.map_err(Error::io("truncating", &self.path))?;
        let sought = self.file.seek(SeekFrom::Start(self.end));
        sought.map_err(Error::io("seeking in", &self.path))?;
        Ok(())
    }
}

fn scan(path: &Path, bytes: &[u8]) -> Result<Content, Error> {
    let corrupt = |offset: usize, problem| Error::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        problem,
    };
    let Some(format) = format::read(KIND, path, bytes)? else {
        return Err(corrupt(
            0,
            "expected the magic number and version of a write-ahead log",
        ));
    };
    let mut batches = Vec::new();
    let mut offset = START_BYTES;
    while offset < bytes.len() {
        let expected = batches.len() as u64 + 1;
        let frame = match frame::decode(&bytes[offset..]) {
            Ok(frame) if frame.sequence == expected => frame,
            Ok(_) => return Err(corrupt(offset, "unexpected record sequence number")),
            Err(problem) if contains_later_frame(&bytes[offset + 1..], expected) => {
                return Err(corrupt(offset, problem));
            }
            Err(_) => break,
        };
        let batch = decode(frame.payload);
        batches.push(batch.ok_or_else(|| corrupt(offset, "record cannot be decoded"))?);
        offset += frame::HEADER_BYTES + frame.payload.len();
    }
    Ok(Content {
        format,
        batches,
        end: offset,
        len: bytes.len(),
    })
}

/// Returns whether an intact frame with a sequence number after `sequence` starts anywhere. The bytes before it were complete
/// then, because each batch is durable before the next is written.
fn contains_later_frame(bytes: &[u8], sequence: u64) -> bool {
    (0..bytes.len())
        .any(|at| frame::decode(&bytes[at..]).is_ok_and(|frame| frame.sequence > sequence))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("stored types have infallible serialization")
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let (value, used) = decoded.ok()?;
    (used == bytes.len()).then_some(value)
}

/// Writes a file under a temporary name, makes it durable and renames it to `path`. When there is no room, the file at `path` is
/// as before.
pub(crate) fn write_atomically(path: &Path, bytes: &[u8], disk: &mut Disk) -> Result<File, Error> {
    let temporary = path.with_extension("tmp");
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(true);
    let opened = options.open(&temporary);
    let mut file = opened.map_err(Error::unchanged("creating", &temporary))?;
    if let Err(error) = (disk.write)(&mut file, bytes) {
        // The part that was written would take the room that the next attempt needs.
        let _ = std::fs::remove_file(&temporary);
        return Err(Error::unchanged("writing", &temporary)(error));
    }
    (disk.sync)(&file).map_err(Error::io("syncing", &temporary))?;
    let renamed = std::fs::rename(&temporary, path);
    renamed.map_err(Error::io("renaming to", path))?;
    if let Some(directory) = path.parent() {
        sync_directory(directory, disk)?;
    }
    Ok(file)
}

pub(crate) fn sync_directory(directory: &Path, disk: &mut Disk) -> Result<(), Error> {
    let opened = File::open(directory).map_err(Error::io("opening", directory))?;
    (disk.sync)(&opened).map_err(Error::io("syncing", directory))
}
