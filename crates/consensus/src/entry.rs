//! Log entries, snapshots and hard state.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::membership::{Membership, ReplicaId};

/// Shared immutable bytes, serialized as one byte string.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Blob(Arc<[u8]>);

impl Deref for Blob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Bytes;

        impl<'de> Visitor<'de> for Bytes {
            type Value = Blob;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Blob, E> {
                Ok(bytes.into())
            }

            fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Blob, E> {
                Ok(bytes.into())
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Blob, A::Error> {
                let mut bytes = Vec::new();
                while let Some(byte) = items.next_element()? {
                    bytes.push(byte);
                }
                Ok(bytes.into())
            }
        }

        deserializer.deserialize_byte_buf(Bytes)
    }
}

/// Term and index of an entry. The order is that of how up to date a log is that ends there.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Term in which the entry was appended.
    pub term: u64,
    /// Index in the log; the first entry has index 1.
    pub index: u64,
}

/// Content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// First entry of a new leader. Its commit also commits the entries of earlier terms.
    Noop,
    /// Command for the replicated state machine.
    Command(Blob),
    /// Membership that takes effect with this entry.
    Membership(Membership),
    /// Forced recovery by an operator after the loss of a quorum.
    Recovery {
        /// Membership that takes effect with this entry.
        membership: Membership,
        /// Reason that the operator gave.
        reason: String,
    },
}

impl Payload {
    /// Returns the membership that takes effect with the entry, if any.
    #[must_use]
    pub fn membership(&self) -> Option<&Membership> {
        match self {
            Self::Noop | Self::Command(_) => None,
            Self::Membership(membership) | Self::Recovery { membership, .. } => Some(membership),
        }
    }

    /// Returns the approximate size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Command(command) => command.len(),
            Self::Membership(membership) | Self::Recovery { membership, .. } => {
                64 * membership.members.len()
            }
        }
    }
}

/// Entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Term and index.
    pub position: Position,
    /// Content.
    pub payload: Payload,
}

/// State of the replicated state machine after all entries up to a position.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot contains.
    pub position: Position,
    /// Membership in force at that position.
    pub membership: Membership,
    /// State as encoded by the state machine.
    pub data: Blob,
}

/// Last position that a replica is known to have stored durably. A replica whose disk holds less was rolled back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// The replica.
    pub id: ReplicaId,
    /// Term that the replica had stored, and the last index that it had acknowledged in that term.
    pub position: Position,
}

/// Durable state other than entries and snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Replica that this replica voted for in the current term.
    pub vote: Option<ReplicaId>,
    /// Commit index. The stored value may lag; after a restart the replica learns the rest from the leader.
    pub commit: u64,
    /// Watermarks of the replicas of the group.
    pub watermarks: Vec<Watermark>,
}
