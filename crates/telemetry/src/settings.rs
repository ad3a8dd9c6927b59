//! Loading of settings files in JSON with comments.

use std::path::{Path, PathBuf};

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;

/// Invalid or unreadable settings file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("reading {path}: {cause}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[error("{path}: {cause}")]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Parser error with its position.
        cause: String,
    },
    /// A field is unknown, missing or has an invalid value.
    #[error("{path}: field {field}: {cause}")]
    Field {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field inside the file.
        field: String,
        /// Value found and values allowed.
        cause: String,
    },
}

/// Reads and deserializes a settings file.
///
/// # Errors
///
/// Returns an error that names the file and, for an invalid value, the field, the value and the values allowed.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|cause| Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    parse(&text, path)
}

/// Deserializes settings from text. `path` identifies the source in errors.
///
/// # Errors
///
/// Returns the errors of [`load`], except for [`Error::Read`].
pub fn parse<T: DeserializeOwned>(text: &str, path: &Path) -> Result<T, Error> {
    let parsed =
        jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &ParseOptions::default());
    let value = parsed.map_err(|e| Error::Syntax {
        path: path.to_owned(),
        cause: e.to_string(),
    })?;
    serde_path_to_error::deserialize(value).map_err(|e| Error::Field {
        path: path.to_owned(),
        field: e.path().to_string(),
        cause: e.inner().to_string(),
    })
}
