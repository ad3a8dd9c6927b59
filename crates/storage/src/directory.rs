//! Data directory: lock and identity.

use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

use chestnutvalve_consensus::ReplicaId;

use crate::disk::Disk;
use crate::error::Error;
use crate::store::{Restored, Store};
use crate::wal::{replace_file, sync_folder};

/// An open data directory, which no other process can open.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    identity: ReplicaId,
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
        Ok(Self {
            path: path.to_owned(),
            identity: identity(&path.join("identity"), disk)?,
            _lock: lock,
        })
    }

    /// Returns the identity.
    #[must_use]
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Opens the stored state of one group.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn group(&self, name: &str, mut disk: Disk) -> Result<(Store, Restored), Error> {
        let path = self.path.join(name);
        std::fs::create_dir_all(&path).map_err(Error::io("creating", &path))?;
        sync_folder(&self.path, &mut disk)?;
        Store::open(&path, disk)
    }
}

fn identity(path: &Path, disk: &mut Disk) -> Result<ReplicaId, Error> {
    match std::fs::read_to_string(path) {
        Ok(text) => {
            let parsed = u64::from_str_radix(text.trim(), 16);
            parsed.map(ReplicaId).map_err(|_| Error::Corrupt {
                file: path.to_owned(),
                offset: 0,
                what: "not an identity",
            })
        }
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            let identity = ReplicaId(rand::random());
            replace_file(path, format!("{identity}\n").as_bytes(), disk)?;
            Ok(identity)
        }
        Err(error) => Err(Error::io("reading", path)(error)),
    }
}
