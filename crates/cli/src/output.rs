//! Results on standard output, as text or JSON, and errors on standard error.

use std::io::Write;

use bytes::Bytes;
use chestnutvalve_model::config::Edit;
use serde::Serialize;
use serde_json::Value;

use crate::Error;

/// Writes text to standard output and flushes it.
///
/// # Errors
///
/// Returns [`Error::Failed`] when standard output can't be written, for example because the reader has closed it.
pub fn print(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|e| Error::Failed(format!("writing standard output: {e}")))
}

/// Formats a value as indented JSON without null fields.
///
/// # Errors
///
/// Returns [`Error::Failed`] when the value can't be encoded.
pub fn to_pretty_json<T: Serialize>(value: &T) -> Result<String, Error> {
    let failed = |e: serde_json::Error| Error::Failed(e.to_string());
    let mut value = serde_json::to_value(value).map_err(failed)?;
    remove_nulls(&mut value);
    serde_json::to_string_pretty(&value).map_err(failed)
}

/// Encodes a value as a JSON request body.
///
/// # Errors
///
/// Returns [`Error::Failed`] when the value can't be encoded.
pub fn encode_body<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let body = serde_json::to_vec(value);
    body.map(Bytes::from)
        .map_err(|e| Error::Failed(e.to_string()))
}

/// Formats an edit as one line.
#[must_use]
pub fn format_edit(edit: &Edit) -> String {
    match edit {
        Edit::SetDefaults(overrides) => format!("~ defaults {}", compact_json(overrides)),
        Edit::PutException(exception) => format!("+ {} {}", exception.id, compact_json(exception)),
        Edit::RemoveException(id) => format!("- {id}"),
    }
}

fn compact_json<T: Serialize>(value: &T) -> String {
    let mut value = serde_json::to_value(value).unwrap_or_default();
    remove_nulls(&mut value);
    value.to_string()
}

/// Removes null fields recursively.
fn remove_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, v| !v.is_null());
            fields.values_mut().for_each(remove_nulls);
        }
        Value::Array(values) => values.iter_mut().for_each(remove_nulls),
        _ => {}
    }
}

/// Prints an error, with the details of a conflict, to standard error.
pub fn print_error(error: &Error) {
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
                    eprintln!("  {}", format_edit(accepted));
                }
            }
            None => eprintln!("the edits since the expected version are no longer kept"),
        }
    }
}
