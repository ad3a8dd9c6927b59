//! Input of changes: documents and edits.

use std::io::Read;
use std::path::{Path, PathBuf};

use chestnutvalve_model::config::{Document, Edit, Exception, Overrides};
use chestnutvalve_model::version::Version;
use chestnutvalve_telemetry::settings;
use clap::ArgMatches;
use serde_json::Value;

use crate::Error;

/// Mark of the version in the first line of a document.
pub const VERSION_MARK: &str = "// version ";

/// A document and the version that it is based on, if its first line tells.
#[derive(Debug)]
pub struct Based {
    /// The document.
    pub document: Document,
    /// Version in the first line.
    pub version: Option<Version>,
}

/// Reads a document from a file, or from standard input for `-`.
///
/// # Errors
///
/// Returns [`Error::Usage`] with the wrong field.
pub fn document(path: &Path) -> Result<Based, Error> {
    let text = if path == Path::new("-") {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    let text = text.map_err(|e| Error::Usage(format!("{}: {e}", path.display())))?;
    let first = text.lines().next().unwrap_or_default();
    let version = first.strip_prefix(VERSION_MARK).map(|v| v.trim().parse());
    let version = version.transpose();
    let document = settings::parse(&text, path);
    Ok(Based {
        document: document.map_err(|e| Error::Usage(e.to_string()))?,
        version: version
            .map_err(|e: chestnutvalve_model::version::Invalid| Error::Usage(e.to_string()))?,
    })
}

/// Builds the edits that the arguments state one by one.
///
/// # Errors
///
/// Returns [`Error::Usage`] with the wrong argument.
pub fn stated(matches: &ArgMatches) -> Result<Vec<Edit>, Error> {
    let mut edits = Vec::new();
    let fields: Vec<&String> = matches.get_many("set").into_iter().flatten().collect();
    if !fields.is_empty() {
        edits.push(Edit::SetDefaults(overrides(&fields)?));
    }
    for path in matches.get_many::<PathBuf>("put").into_iter().flatten() {
        let exception = settings::load::<Exception>(path);
        edits.push(Edit::PutException(
            exception.map_err(|e| Error::Usage(e.to_string()))?,
        ));
    }
    let removed = matches.get_many::<String>("remove").into_iter().flatten();
    edits.extend(removed.map(|id| Edit::RemoveException(id.clone())));
    Ok(edits)
}

fn overrides(fields: &[&String]) -> Result<Overrides, Error> {
    let mut object = serde_json::Map::new();
    for field in fields {
        let expected = || Error::Usage(format!("--set {field:?}: expected FIELD=JSON"));
        let (name, value) = field.split_once('=').ok_or_else(expected)?;
        // Names such as `top` are also accepted without quotation marks.
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        object.insert(name.to_owned(), value);
    }
    let text = Value::Object(object).to_string();
    settings::parse(&text, Path::new("--set")).map_err(|e| Error::Usage(e.to_string()))
}
