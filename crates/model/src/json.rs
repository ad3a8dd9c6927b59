//! Parsing of JSON texts, with errors that name the field.

use serde::Deserialize;
use serde_json::error::Category;

/// Parses a JSON text; trailing characters are an error.
///
/// # Errors
///
/// Returns an error text with the field, the value found and the values allowed.
pub fn parse<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, String> {
    parse_with(text, |e| format!("field {}: {}", e.path(), e.inner()))
}

/// Parses a JSON text that contains credentials. The library's errors quote values, and their path names unknown fields, so that
/// neither is passed on as it is.
///
/// # Errors
///
/// Returns an error text with the position and, for a value of another type, the field and the values allowed, but with no text
/// of the input.
pub fn parse_confidential<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, String> {
    parse_with(text, |e| match e.inner().classify() {
        Category::Data => format!("field {}: {}", e.path(), redact(e.inner())),
        Category::Syntax | Category::Eof | Category::Io => e.inner().to_string(),
    })
}

fn parse_with<'a, T: Deserialize<'a>>(
    text: &'a [u8],
    describe: impl FnOnce(&serde_path_to_error::Error<serde_json::Error>) -> String,
) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let parsed = serde_path_to_error::deserialize(&mut json).map_err(|e| describe(&e))?;
    json.end().map_err(|e| e.to_string())?;
    Ok(parsed)
}

/// Returns the part of an error about a value that does not come from the input.
fn redact(error: &serde_json::Error) -> String {
    let text = error.to_string();
    if ["missing field ", "duplicate field "]
        .iter()
        .any(|start| text.starts_with(start))
    {
        return text;
    }
    let quoting = [
        "invalid type: ",
        "invalid value: ",
        "invalid length ",
        "unknown variant ",
    ];
    let quotes = quoting.iter().any(|start| text.starts_with(start));
    // The library writes the allowed values last, after the value found.
    match text.rsplit_once(", expected ") {
        Some((_, expected)) if quotes => format!("expected {expected}"),
        _ => {
            let (line, column) = (error.line(), error.column());
            format!("invalid value at line {line} column {column}")
        }
    }
}
