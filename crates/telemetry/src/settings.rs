//! Settings files in JSON with comments.

use std::path::{Path, PathBuf};

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;

/// A settings file that can't be used.
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
        /// Position and cause.
        cause: String,
    },
    /// A field is unknown, missing or has a wrong value.
    #[error("{path}: field {field}: {cause}")]
    Field {
        /// Path of the file.
        path: PathBuf,
        /// Path of the field inside the file.
        field: String,
        /// Value found and what is allowed.
        cause: String,
    },
}

/// Reads settings from a file.
///
/// # Errors
///
/// Returns an error that names the file and, for a wrong value, the field, the value and what is allowed.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|cause| Error::Read {
        path: path.to_owned(),
        cause,
    })?;
    parse(&text, path)
}

/// Reads settings from text; `path` names the origin in errors.
///
/// # Errors
///
/// Returns an error as [`load`] does.
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
