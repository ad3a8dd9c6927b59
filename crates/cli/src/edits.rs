//! Input of `config` subcommands: documents and edits.

use std::io::Read;
use std::path::{Path, PathBuf};

use chestnutvalve_model::config::{Document, Edit, Exception, Overrides};
use chestnutvalve_model::version::Version;
use chestnutvalve_telemetry::settings;
use clap::ArgMatches;
use serde_json::Value;

use crate::Error;

/// Prefix of the first line of a document that states its base version.
pub const VERSION_PREFIX: &str = "// version ";

/// Document with the version that it is based on.
#[derive(Debug)]
pub struct BasedDocument {
    /// Complete configuration.
    pub document: Document,
    /// Version in the first line; `None` if the line states none.
    pub version: Option<Version>,
}

/// Reads a document from a file, or from standard input for `-`.
///
/// # Errors
///
/// Returns [`Error::Usage`] when the file can't be read, or with the name of the invalid field.
pub fn read_document(path: &Path) -> Result<BasedDocument, Error> {
    let text = if path == Path::new("-") {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    let text = text.map_err(|e| Error::Usage(format!("{}: {e}", path.display())))?;
    let first_line = text.lines().next().unwrap_or_default();
    let version = first_line
        .strip_prefix(VERSION_PREFIX)
        .map(|v| v.trim().parse());
    let version = version.transpose();
    let document = settings::parse(&text, path);
    Ok(BasedDocument {
        document: document.map_err(|e| Error::Usage(e.to_string()))?,
        version: version
            .map_err(|e: chestnutvalve_model::version::Invalid| Error::Usage(e.to_string()))?,
    })
}

/// Builds the edits given by `--set`, `--put` and `--remove`.
///
/// # Errors
///
/// Returns [`Error::Usage`] with the invalid argument.
pub fn parse_edits(matches: &ArgMatches) -> Result<Vec<Edit>, Error> {
    let mut edits = Vec::new();
    let fields: Vec<&String> = matches.get_many("set").into_iter().flatten().collect();
    if !fields.is_empty() {
        edits.push(Edit::SetDefaults(parse_overrides(&fields)?));
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

fn parse_overrides(fields: &[&String]) -> Result<Overrides, Error> {
    let mut object = serde_json::Map::new();
    for field in fields {
        let expected = || Error::Usage(format!("--set {field:?}: expected FIELD=JSON"));
        let (name, value) = field.split_once('=').ok_or_else(expected)?;
        // A value that is not JSON is taken as a string, so that names such as `top` need no quotation marks.
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        object.insert(name.to_owned(), value);
    }
    let text = Value::Object(object).to_string();
    settings::parse(&text, Path::new("--set")).map_err(|e| Error::Usage(e.to_string()))
}
