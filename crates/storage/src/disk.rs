//! Disk operations as closures, so that tests can inject failures.

use std::fmt;
use std::fs::File;
use std::io::{self, Write};
use std::sync::Arc;

type WriteAll = Arc<dyn Fn(&mut File, &[u8]) -> io::Result<()> + Send + Sync>;
type SyncFile = Arc<dyn Fn(&File) -> io::Result<()> + Send + Sync>;

/// Operations that make stored state durable.
#[derive(Clone)]
pub struct Disk {
    /// Writes all bytes at the current position of the file.
    pub write: WriteAll,
    /// Makes the content and size of a file, or the entries of a directory, durable.
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
