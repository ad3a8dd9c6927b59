//! Errors of opening, reading and writing durable state.

use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// Error of opening, reading or writing durable state.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system returned an error.
    #[error("{action} {}: {source}", file.display())]
    Io {
        /// Operation that failed, as a gerund.
        action: &'static str,
        /// File or directory of the operation.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The disk has no room for a file. Nothing was changed, so that the write may be repeated.
    #[error("no room on the disk for {}: {source}", file.display())]
    Full {
        /// File that was written.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process has locked the data directory.
    #[error("data directory {} is in use by another process", .0.display())]
    Locked(PathBuf),
    /// A file is damaged in a way that no crash can cause.
    #[error("{} is corrupt at offset {offset}: {problem}", file.display())]
    Corrupt {
        /// Damaged or missing file.
        file: PathBuf,
        /// Offset of the damaged record in bytes.
        offset: u64,
        /// What was expected or found there.
        problem: &'static str,
    },
    /// The files were written by another version in a format that this one can't read. They are left as they are.
    #[error(
        "data directory {} has format {found}, and this version reads format {expected}: {cause}; the files were not changed",
        directory.display()
    )]
    Format {
        /// Directory of the files.
        directory: PathBuf,
        /// Format of the files.
        found: u8,
        /// Format that this version writes.
        expected: u8,
        /// What can't be read.
        cause: String,
    },
    /// The state machine failed to restore the stored snapshot.
    #[error("state machine cannot restore the stored snapshot: {0}")]
    SnapshotRejected(String),
    /// An earlier write failed, so that the content of the disk is unknown.
    #[error("{} rejects writes after a failed write", .0.display())]
    EarlierWriteFailed(PathBuf),
}

impl Error {
    /// Returns a conversion of an operating system error during `action` on `file`.
    pub(crate) fn io(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| Self::Io {
            action,
            file,
            source,
        }
    }

    /// Returns a conversion of an operating system error during `action` on `file`, before which nothing was changed or after
    /// which the change was undone.
    pub(crate) fn unchanged(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| match source.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded => Self::Full {
                file: file.to_owned(),
                source,
            },
            _ => Self::io(action, file)(source),
        }
    }
}
