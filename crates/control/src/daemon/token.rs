//! Bearer token of the operators.

use std::fmt;
use std::hint::black_box;
use std::path::{Path, PathBuf};

/// Minimum length of a token.
pub const MIN_BYTES: usize = 8;
/// Maximum length of a token.
pub const MAX_BYTES: usize = 512;

/// Error of a token file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("token_file {path}: {cause}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The content is not a valid token.
    #[error(
        "token_file {path}: expected one line of {MIN_BYTES} to {MAX_BYTES} visible ASCII characters"
    )]
    Content {
        /// Path of the file.
        path: PathBuf,
    },
}

/// Secret that requests with changes must carry; without one, no request is authorized.
#[derive(Clone)]
pub struct Token(Option<Vec<u8>>);

impl Token {
    /// Reads the token file of the settings; without a file, no header matches.
    ///
    /// # Errors
    ///
    /// As [`Token::read`].
    pub fn from_settings(path: Option<&Path>) -> Result<Self, Error> {
        path.map_or(Ok(Self(None)), Self::read)
    }

    /// Reads the token from the first and only line of a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or contains anything other than a valid token.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|cause| Error::Read {
            path: path.to_owned(),
            cause,
        })?;
        Self::new(text.trim_end()).ok_or_else(|| Error::Content {
            path: path.to_owned(),
        })
    }

    /// Creates a token; `None` when it is too short, too long or contains anything but visible ASCII characters.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        let accepted = (MIN_BYTES..=MAX_BYTES).contains(&text.len())
            && text.bytes().all(|b| b.is_ascii_graphic());
        accepted.then(|| Self(Some(text.as_bytes().to_owned())))
    }

    /// Returns whether an `authorization` header carries this token.
    #[must_use]
    pub fn matches_header(&self, header: &[u8]) -> bool {
        header
            .strip_prefix(b"Bearer ")
            .is_some_and(|given| self.equals(given))
    }

    /// Compares all bytes regardless of the first difference, so that the duration reveals nothing about the token.
    fn equals(&self, given: &[u8]) -> bool {
        let Some(token) = &self.0 else {
            return false;
        };
        let mut difference = u8::from(token.len() != given.len());
        for (at, expected) in token.iter().enumerate() {
            let found = given.get(at).copied().unwrap_or(0);
            difference = black_box(difference | (expected ^ found));
        }
        difference == 0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}
