//! Errors of the durable state.

use std::io;
use std::path::{Path, PathBuf};

/// Error of the durable state.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system reports an error.
    #[error("{action} {}: {source}", file.display())]
    Io {
        /// What was being done.
        action: &'static str,
        /// File or directory.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Another process uses the data directory.
    #[error("data directory {} is in use by another process", .0.display())]
    Locked(PathBuf),
    /// A file is damaged where no crash can explain it.
    #[error("{} is corrupt at offset {offset}: {what}", file.display())]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// Offset of the damaged record.
        offset: u64,
        /// What is wrong there.
        what: &'static str,
    },
    /// The state machine can't restore the stored snapshot.
    #[error("stored snapshot can't be restored: {0}")]
    SnapshotRejected(String),
    /// An earlier write failed, so that it is unknown what the disk holds.
    #[error("{} is not written any more after a failed write", .0.display())]
    EarlierWriteFailed(PathBuf),
}

impl Error {
    /// Wraps an error of the operating system.
    pub(crate) fn io(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| Self::Io {
            action,
            file,
            source,
        }
    }
}
