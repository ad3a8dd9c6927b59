//! Text and JSON on standard output, problems on standard error.

use std::io::Write;

use bytes::Bytes;
use chestnutvalve_model::config::Edit;
use serde::Serialize;
use serde_json::Value;

use crate::Error;

/// Prints text.
///
/// # Errors
///
/// Returns [`Error::Failed`] when standard output can't be written, for example because the reader has gone.
pub fn print(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|e| Error::Failed(format!("standard output: {e}")))
}

/// Renders a value as indented JSON without absent fields.
///
/// # Errors
///
/// Returns [`Error::Failed`] when the value can't be encoded.
pub fn pretty<T: Serialize>(value: &T) -> Result<String, Error> {
    let failed = |e: serde_json::Error| Error::Failed(e.to_string());
    let mut value = serde_json::to_value(value).map_err(failed)?;
    strip(&mut value);
    serde_json::to_string_pretty(&value).map_err(failed)
}

/// Encodes the body of a change.
///
/// # Errors
///
/// Returns [`Error::Failed`] when the value can't be encoded.
pub fn body<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let body = serde_json::to_vec(value);
    body.map(Bytes::from)
        .map_err(|e| Error::Failed(e.to_string()))
}

/// Renders an edit in one line.
#[must_use]
pub fn edit(edit: &Edit) -> String {
    match edit {
        Edit::SetDefaults(overrides) => format!("~ defaults {}", line(overrides)),
        Edit::PutException(exception) => format!("+ {} {}", exception.id, line(exception)),
        Edit::RemoveException(id) => format!("- {id}"),
    }
}

fn line<T: Serialize>(value: &T) -> String {
    let mut value = serde_json::to_value(value).unwrap_or_default();
    strip(&mut value);
    value.to_string()
}

/// Removes absent fields.
fn strip(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, v| !v.is_null());
            fields.values_mut().for_each(strip);
        }
        Value::Array(values) => values.iter_mut().for_each(strip),
        _ => {}
    }
}

/// Prints an error on standard error.
pub fn problem(error: &Error) {
    eprintln!("chestnutvalve: {error}");
    if let Error::Conflict {
        current: Some(current),
        difference,
        ..
    } = error
    {
        eprintln!("current version: {current}");
        match difference {
            Some(edits) => {
                eprintln!("accepted since the expected version:");
                for accepted in edits {
                    eprintln!("  {}", edit(accepted));
                }
            }
            None => eprintln!("the edits since the expected version are no longer kept"),
        }
    }
}
