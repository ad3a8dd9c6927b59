//! Log entries and the durable state around them.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::membership::{Membership, ReplicaId};

/// Shared bytes, encoded as one byte string.
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

/// Term and index of an entry; ordered by how up to date a log that ends there is.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Term in which the entry was appended.
    pub term: u64,
    /// Place in the log; the first entry has index 1.
    pub index: u64,
}

/// Content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// First entry of a leader, by which it commits the entries of earlier terms.
    Noop,
    /// Command for the replicated state machine.
    Command(Blob),
    /// Membership that is in force from this entry on.
    Membership(Membership),
    /// Membership that an operator forced after the loss of a quorum.
    Recovery {
        /// The membership in force from this entry on.
        membership: Membership,
        /// The operator's reason.
        reason: String,
    },
}

impl Payload {
    /// Returns the membership that the entry puts in force.
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
    /// Its term and index.
    pub position: Position,
    /// Its content.
    pub payload: Payload,
}

/// State of the machine after all entries up to a position.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Last entry that the snapshot contains.
    pub position: Position,
    /// Membership in force at that position.
    pub membership: Membership,
    /// The saved state.
    pub data: Blob,
}

/// Greatest promise of a replica that its peers know of; a replica whose disk holds less was rolled back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// The replica.
    pub id: ReplicaId,
    /// Term that the replica had stored, and the index it had stored in that term.
    pub position: Position,
}

/// Durable state besides the entries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Replica that got this replica's vote in the current term.
    pub vote: Option<ReplicaId>,
    /// Greatest index known to be committed. It may lag; a restart learns the rest from the leader.
    pub commit: u64,
    /// Promises of the other replicas.
    pub watermarks: Vec<Watermark>,
}
