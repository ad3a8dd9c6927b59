//! Disk operations that may fail, as closures, so that tests can make them fail.

use std::fmt;
use std::fs::File;
use std::io::{self, Write};
use std::sync::Arc;

type WriteAll = Arc<dyn Fn(&mut File, &[u8]) -> io::Result<()> + Send + Sync>;
type SyncFile = Arc<dyn Fn(&File) -> io::Result<()> + Send + Sync>;

/// Operations by which stored state is made durable.
#[derive(Clone)]
pub struct Disk {
    /// Writes all bytes at the file's position.
    pub write: WriteAll,
    /// Makes a file's content and size, or a directory's entries, durable.
    pub sync: SyncFile,
}

impl Default for Disk {
    fn default() -> Self {
        Self {
            write: Arc::new(Write::write_all),
            sync: Arc::new(File::sync_all),
        }
    }
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Disk")
    }
}
