//! Persistent state of one replica: a snapshot and a write-ahead log.

use std::path::{Path, PathBuf};

use chestnutvalve_consensus::{Snapshot, Write};

use crate::disk::Disk;
use crate::error::Error;
use crate::format::{self, UNCHECKED};
use crate::snapshot;
use crate::wal::{Batch, Wal};

pub use chestnutvalve_consensus::PersistentState;

/// Persistent state of one replica.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    wal: Wal,
    disk: Disk,
    failed: bool,
}

/// Writes the snapshots of one replica. It is separate from [`Store`], because writing a large snapshot takes long and log
/// writes continue meanwhile. Only one snapshot may be written at a time.
#[derive(Clone, Debug)]
pub struct SnapshotWriter {
    path: PathBuf,
    disk: Disk,
}

impl SnapshotWriter {
    /// Replaces the stored snapshot durably.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when there is no room, and the stored snapshot stays. After [`Error::Io`] the replica must stop.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        snapshot::save(&self.path, snapshot, &mut self.disk)
    }
}

impl Store {
    /// Opens the state in the directory `path`, or creates an empty one.
    ///
    /// # Errors
    ///
    /// As [`Store::open_checked`].
    pub fn open(path: &Path, disk: Disk) -> Result<(Self, PersistentState), Error> {
        Self::open_checked(path, disk, |_| Ok(()))
    }

    /// Opens the state in the directory `path`, or creates an empty one. `check` returns why the content of files in the
    /// format [`UNCHECKED`] does not have the current layout; nothing was changed before.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] for a damaged or missing file, [`Error::Format`] for files of another version, and
    /// [`Error::Io`].
    pub fn open_checked(
        path: &Path,
        mut disk: Disk,
        check: impl FnOnce(&PersistentState) -> Result<(), String>,
    ) -> Result<(Self, PersistentState), Error> {
        let (snapshot, snapshot_format) = snapshot::load(&path.join("snapshot"))?;
        let log = path.join("log");
        let exists = log.try_exists().map_err(Error::io("opening", &log))?;
        if !exists && snapshot.position.index > 0 {
            return Err(Error::Corrupt {
                file: log,
                offset: 0,
                problem: "there is a snapshot but no log",
            });
        }
        let mut content = exists.then(|| Wal::read(&log)).transpose()?;
        let mut restored = PersistentState {
            snapshot,
            ..PersistentState::default()
        };
        for batch in content.iter_mut().flat_map(|c| c.batches.iter_mut()) {
            if let Some(hard_state) = batch.hard_state.take() {
                restored.hard_state = hard_state;
            }
            if let Some(first) = batch.entries.first() {
                let index = first.position.index;
                let kept = restored
                    .entries
                    .partition_point(|entry| entry.position.index < index);
                restored.entries.truncate(kept);
                restored.entries.append(&mut batch.entries);
            }
        }
        let formats = content.iter().map(|c| c.format).chain([snapshot_format]);
        if formats.min() == Some(UNCHECKED) {
            check(&restored).map_err(|cause| format::refused(&log, UNCHECKED, cause))?;
        }
        let wal = match &content {
            Some(content) => Wal::open(&log, content, &mut disk)?,
            None => Wal::replace(&log, &Batch::default(), &mut disk)?,
        };
        let store = Self {
            path: path.to_owned(),
            wal,
            disk,
            failed: false,
        };
        Ok((store, restored))
    }

    /// Returns a writer for snapshots that works concurrently with log writes.
    #[must_use]
    pub fn snapshot_writer(&self) -> SnapshotWriter {
        SnapshotWriter {
            path: self.path.join("snapshot"),
            disk: self.disk.clone(),
        }
    }

    /// Makes a write durable. Its snapshot is stored before the log.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] when there is no room; the same write may then be repeated. After [`Error::Io`] every later write
    /// fails with [`Error::EarlierWriteFailed`], because a failed sync may have dropped data that a later sync would report as
    /// durable.
    pub fn write(&mut self, write: &Write) -> Result<(), Error> {
        if self.failed {
            return Err(Error::EarlierWriteFailed(self.path.clone()));
        }
        let result = self.write_batch(write);
        self.failed = result
            .as_ref()
            .is_err_and(|error| !matches!(error, Error::Full { .. }));
        result
    }

    fn write_batch(&mut self, write: &Write) -> Result<(), Error> {
        let batch = Batch {
            hard_state: write.hard_state.clone(),
            entries: write.entries.clone(),
        };
        if let Some(snapshot) = &write.snapshot {
            self.snapshot_writer().save(snapshot)?;
        }
        if write.replaces_log {
            self.wal = Wal::replace(&self.path.join("log"), &batch, &mut self.disk)?;
            return Ok(());
        }
        self.wal.append(&batch, &mut self.disk)
    }
}
