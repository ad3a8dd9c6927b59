//! Data directory: lock, identity and known groups.

use std::collections::BTreeSet;
use std::fs::{File, TryLockError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use chestnutvalve_consensus::ReplicaId;

use crate::disk::Disk;
use crate::error::Error;
use crate::store::{PersistentState, Store};
use crate::wal::{sync_directory, write_atomically};

/// Name of the marker file of a directory whose replica was removed from its group.
const RETIRED_MARKER: &str = "retired";

/// A locked data directory. Its identity file lists the groups stored here, so that a group whose files were removed is not
/// taken for a new one.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    identity: ReplicaId,
    groups: Mutex<BTreeSet<String>>,
    /// Holds the file lock until it is closed.
    _lock: File,
}

impl Directory {
    /// Opens and locks the directory, and creates it if it is missing. A new directory gets a random identity.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Locked`] when another process has locked it, [`Error::Corrupt`] for a malformed identity file, and
    /// [`Error::Io`].
    pub fn open(path: &Path, disk: &mut Disk) -> Result<Self, Error> {
        std::fs::create_dir_all(path).map_err(Error::io("creating", path))?;
        let lock_path = path.join("lock");
        let lock = File::create(&lock_path).map_err(Error::io("creating", &lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Error::Locked(path.to_owned())),
            Err(TryLockError::Error(error)) => {
                return Err(Error::io("locking", &lock_path)(error));
            }
        }
        reset_if_retired(path, disk)?;
        let file = path.join("identity");
        let (identity, groups) = match std::fs::read_to_string(&file) {
            Ok(text) => parse_identity(&text).ok_or(Error::Corrupt {
                file,
                offset: 0,
                problem: "expected a hexadecimal identity in the first line",
            })?,
            Err(error) if error.kind() == ErrorKind::NotFound => {
                let identity = ReplicaId(rand::random());
                write_identity(&file, identity, &BTreeSet::new(), disk)?;
                (identity, BTreeSet::new())
            }
            Err(error) => return Err(Error::io("reading", &file)(error)),
        };
        Ok(Self {
            path: path.to_owned(),
            identity,
            groups: Mutex::new(groups),
            _lock: lock,
        })
    }

    /// Returns the identity, which stays the same until the directory is emptied.
    #[must_use]
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Marks the directory as that of a replica that was removed from its group for good. The next [`Directory::open`] empties
    /// it and gives it a new identity.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`].
    pub fn retire(&self, disk: &mut Disk) -> Result<(), Error> {
        let marker = self.path.join(RETIRED_MARKER);
        write_atomically(&marker, b"removed from the group\n", disk).map(drop)
    }

    /// Opens the stored state of one group.
    ///
    /// # Errors
    ///
    /// As [`Directory::open_group_checked`].
    pub fn open_group(&self, name: &str, disk: Disk) -> Result<(Store, PersistentState), Error> {
        self.open_group_checked(name, disk, |_| Ok(()))
    }

    /// Opens the stored state of one group, with the `check` of [`Store::open_checked`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Store::open_checked`], and [`Error::Corrupt`] when the log file of a known group is missing.
    pub fn open_group_checked(
        &self,
        name: &str,
        mut disk: Disk,
        check: impl FnOnce(&PersistentState) -> Result<(), String>,
    ) -> Result<(Store, PersistentState), Error> {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let path = self.path.join(name);
        let log = path.join("log");
        let exists = log.try_exists().map_err(Error::io("opening", &log))?;
        if groups.contains(name) {
            if !exists {
                return Err(Error::Corrupt {
                    file: log,
                    offset: 0,
                    problem: "the log of a known group is missing; empty the whole data directory",
                });
            }
            return Store::open_checked(&path, disk, check);
        }
        std::fs::create_dir_all(&path).map_err(Error::io("creating", &path))?;
        sync_directory(&self.path, &mut disk)?;
        let (store, restored) = Store::open_checked(&path, disk, check)?;
        groups.insert(name.to_owned());
        let file = self.path.join("identity");
        write_identity(&file, self.identity, &groups, &mut Disk::default())?;
        Ok((store, restored))
    }
}

/// Empties a retired directory. The marker is removed last, so that the next start continues after a crash.
fn reset_if_retired(path: &Path, disk: &mut Disk) -> Result<(), Error> {
    let marker = path.join(RETIRED_MARKER);
    if !marker.try_exists().map_err(Error::io("opening", &marker))? {
        return Ok(());
    }
    for entry in std::fs::read_dir(path).map_err(Error::io("reading", path))? {
        let entry = entry.map_err(Error::io("reading", path))?.path();
        let name = entry.file_name().and_then(|n| n.to_str());
        if matches!(name, Some("lock" | RETIRED_MARKER)) {
            continue;
        }
        let removed = if entry.is_dir() {
            std::fs::remove_dir_all(&entry)
        } else {
            std::fs::remove_file(&entry)
        };
        removed.map_err(Error::io("removing", &entry))?;
    }
    sync_directory(path, disk)?;
    std::fs::remove_file(&marker).map_err(Error::io("removing", &marker))?;
    sync_directory(path, disk)
}

fn write_identity(
    path: &Path,
    identity: ReplicaId,
    groups: &BTreeSet<String>,
    disk: &mut Disk,
) -> Result<(), Error> {
    let mut text = format!("{identity}\n");
    for group in groups {
        text.push_str(group);
        text.push('\n');
    }
    write_atomically(path, text.as_bytes(), disk)?;
    Ok(())
}

fn parse_identity(text: &str) -> Option<(ReplicaId, BTreeSet<String>)> {
    let (first, groups) = text.split_once('\n')?;
    let identity = u64::from_str_radix(first, 16).ok()?;
    let groups = groups.lines().map(str::to_owned).collect();
    Some((ReplicaId(identity), groups))
}
