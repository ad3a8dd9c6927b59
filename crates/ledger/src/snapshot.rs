//! Snapshots of the ledger state.

use crate::command::Key;
use crate::state::{Claim, Ledger};

/// Format number in the first byte of a snapshot; any other is refused.
const FORMAT: u8 = 1;

/// Error for a snapshot that can't be restored.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Invalid {
    /// The format number, if any, is unknown to this version.
    #[error("ledger snapshot has format {0:?}, expected {FORMAT}")]
    Format(Option<u8>),
    /// The content is damaged.
    #[error("ledger snapshot can't be decoded: {0}")]
    Content(String),
}

impl Ledger {
    /// Encodes the whole state; equal states give equal bytes.
    ///
    /// # Panics
    ///
    /// Does not panic: the encoded types have no failing representation.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        let claims: Vec<(&Key, &Claim)> = self.claims.iter().map(|(k, c)| (&**k, c)).collect();
        let mut bytes = vec![FORMAT];
        let content = (self.now_ms, claims);
        bincode::serde::encode_into_std_write(content, &mut bytes, bincode::config::standard())
            .expect("encoding names, numbers and bytes into memory can't fail");
        bytes
    }

    /// Restores a state that [`Ledger::save`] encoded.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] for an unknown format or damaged content.
    pub fn restore(bytes: &[u8]) -> Result<Self, Invalid> {
        let Some((&FORMAT, content)) = bytes.split_first() else {
            return Err(Invalid::Format(bytes.first().copied()));
        };
        let decoded = bincode::serde::decode_from_slice(content, bincode::config::standard());
        let ((now_ms, claims), consumed): ((u64, Vec<(Key, Claim)>), usize) =
            decoded.map_err(|e| Invalid::Content(e.to_string()))?;
        if consumed != content.len() {
            return Err(Invalid::Content(
                "trailing bytes after the claims".to_owned(),
            ));
        }
        Ok(Self::rebuild(now_ms, claims))
    }
}
