//! Durable state of replicas: data directory with lock and identity, write-ahead log and snapshot files.

pub mod directory;
pub mod disk;
pub mod error;
pub mod format;
pub mod frame;
pub mod snapshot;
pub mod store;
pub mod wal;

pub use directory::Directory;
pub use disk::Disk;
pub use error::Error;
pub use store::{SnapshotWriter, Store};
