//! Raft consensus as a pure state machine: leader election, log replication, membership changes and snapshots.
//!
//! [`Replica`] takes messages and instants, and returns messages to send, writes to make durable and committed entries to
//! apply. It performs no I/O and reads no clock. The caller carries out the output in the order that
//! [`Replica::take_write`] describes.

pub mod entry;
pub mod log;
pub mod membership;
pub mod message;
pub mod progress;
pub mod replica;
pub mod settings;

pub use entry::{Blob, Entry, HardState, Payload, Position, Snapshot, Watermark};
pub use membership::{Kind, Member, Membership, ReplicaId};
pub use message::{Commit, Message};
pub use replica::{Error, MembershipChange, PersistentState, Replica, Role, Write, WriteId};
pub use settings::Settings;
