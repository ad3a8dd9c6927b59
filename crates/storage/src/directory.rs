//! Data directory: lock and identity.

use std::collections::BTreeSet;
use std::fs::{File, TryLockError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use chestnutvalve_consensus::ReplicaId;

use crate::disk::Disk;
use crate::error::Error;
use crate::store::{PersistentState, Store};
use crate::wal::{replace_file, sync_folder};

/// File that marks a directory whose replica was removed from its group.
const RETIRED: &str = "retired";

/// An open data directory, which no other process can open. Its identity file names the groups that were stored here, so that
/// a group whose files were removed is not taken for a new one.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    identity: ReplicaId,
    groups: Mutex<BTreeSet<String>>,
    /// Holds the lock until it is closed.
    _lock: File,
}

impl Directory {
    /// Opens or creates the directory. A new one gets a random identity.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Locked`] when another process uses it, [`Error::Corrupt`] for a damaged identity, and errors of the
    /// operating system.
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
        clear_retired(path, disk)?;
        let file = path.join("identity");
        let (identity, groups) = match std::fs::read_to_string(&file) {
            Ok(text) => parse(&text).ok_or(Error::Corrupt {
                file,
                offset: 0,
                what: "not an identity",
            })?,
            Err(error) if error.kind() == ErrorKind::NotFound => {
                let identity = ReplicaId(rand::random());
                save(&file, identity, &BTreeSet::new(), disk)?;
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

    /// Returns the identity.
    #[must_use]
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Marks the directory as that of a replica that was removed from its group for good; the next
    /// [`Directory::open`] empties it and gives it a new identity.
    ///
    /// # Errors
    ///
    /// Returns errors of the operating system.
    pub fn retire(&self) -> Result<(), Error> {
        let mark = self.path.join(RETIRED);
        replace_file(&mark, b"removed from the group\n", &mut Disk::default()).map(drop)
    }

    /// Opens the stored state of one group.
    ///
    /// # Errors
    ///
    /// As [`Store::open`]; [`Error::Corrupt`] also when the files of a known group are missing.
    pub fn open_group(
        &self,
        name: &str,
        mut disk: Disk,
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
                    what: "missing in a directory that has held it; empty the whole directory",
                });
            }
            return Store::open(&path, disk);
        }
        std::fs::create_dir_all(&path).map_err(Error::io("creating", &path))?;
        sync_folder(&self.path, &mut disk)?;
        let (store, restored) = Store::open(&path, disk)?;
        groups.insert(name.to_owned());
        let file = self.path.join("identity");
        save(&file, self.identity, &groups, &mut Disk::default())?;
        Ok((store, restored))
    }
}

/// Empties a directory that was retired. The mark goes last, so that a crash in between leaves it for the next start.
fn clear_retired(path: &Path, disk: &mut Disk) -> Result<(), Error> {
    let mark = path.join(RETIRED);
    if !mark.try_exists().map_err(Error::io("opening", &mark))? {
        return Ok(());
    }
    for entry in std::fs::read_dir(path).map_err(Error::io("reading", path))? {
        let entry = entry.map_err(Error::io("reading", path))?.path();
        let name = entry.file_name().and_then(|n| n.to_str());
        if matches!(name, Some("lock" | RETIRED)) {
            continue;
        }
        let removed = if entry.is_dir() {
            std::fs::remove_dir_all(&entry)
        } else {
            std::fs::remove_file(&entry)
        };
        removed.map_err(Error::io("removing", &entry))?;
    }
    sync_folder(path, disk)?;
    std::fs::remove_file(&mark).map_err(Error::io("removing", &mark))?;
    sync_folder(path, disk)
}

fn save(
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
    replace_file(path, text.as_bytes(), disk)?;
    Ok(())
}

fn parse(text: &str) -> Option<(ReplicaId, BTreeSet<String>)> {
    let (first, groups) = text.split_once('\n')?;
    let identity = u64::from_str_radix(first, 16).ok()?;
    let groups = groups.lines().map(str::to_owned).collect();
    Some((ReplicaId(identity), groups))
}
