//! Disk operations that may fail, as closures, so that tests can make them fail.

use std::fmt;
use std::fs::File;
use std::io::{self, Write};

type WriteAll = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;
type Sync = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// Operations by which stored state is made durable.
pub struct Disk {
    /// Writes all bytes at the file's position.
    pub write: WriteAll,
    /// Makes a file's content and size, or a directory's entries, durable.
    pub sync: Sync,
}

impl Default for Disk {
    fn default() -> Self {
        Self {
            write: Box::new(Write::write_all),
            sync: Box::new(File::sync_all),
        }
    }
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Disk")
    }
}
