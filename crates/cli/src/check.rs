//! Subcommand `routes check`: review of a route document before it is published.

use std::io::Read;
use std::path::{Path, PathBuf};

use chestnutvalve_control::daemon::operators::MAX_DOCUMENT_BYTES;
use chestnutvalve_model::json;
use chestnutvalve_model::review::{Report, Severity};
use chestnutvalve_model::routes::Publication;
use clap::ArgMatches;

use crate::http::Client;
use crate::{Error, output};

/// Checks a document and prints the report.
///
/// # Errors
///
/// As [`review`] and [`conclude`].
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let report = review(client, matches).await?;
    let text = if matches.get_flag("json") {
        format!("{}\n", output::to_pretty_json(&report)?)
    } else {
        render(&report)
    };
    output::print(&text)?;
    conclude(&report, matches.get_flag("strict"))
}

/// Reads the documents and reviews the new one.
///
/// # Errors
///
/// Returns [`Error::Usage`] when a file can't be read or parsed, and [`Error::Failed`] when no control instance
/// confirms the document in force.
pub async fn review(client: &Client, matches: &ArgMatches) -> Result<Report, Error> {
    let path = matches.get_one::<PathBuf>("file").cloned();
    let next = read(&path.unwrap_or_default())?;
    let current = match matches.get_one::<PathBuf>("against") {
        Some(path) => Some(read(path)?),
        None if matches.get_flag("offline") => None,
        None => Some(read_in_force(client).await?),
    };
    Ok(Report::new(&next, current.as_ref()))
}

/// Returns the outcome of the command.
///
/// # Errors
///
/// Returns [`Error::Usage`] for errors in the report, and [`Error::Failed`] for warnings if `strict`.
pub fn conclude(report: &Report, strict: bool) -> Result<(), Error> {
    let (errors, warnings) = (
        report.count(Severity::Error),
        report.count(Severity::Warning),
    );
    if errors > 0 {
        return Err(Error::Usage(format!("errors in the document: {errors}")));
    }
    if strict && warnings > 0 {
        return Err(Error::Failed(format!(
            "warnings about the document: {warnings}"
        )));
    }
    Ok(())
}

/// Renders a report, one finding or difference per line.
#[must_use]
pub fn render(report: &Report) -> String {
    let findings = report.findings.iter();
    let findings = findings.map(|f| format!("{}  {}  {}\n", f.severity.name(), f.path, f.text));
    let mut text: String = findings.collect();
    if report.findings.is_empty() {
        text.push_str("no findings\n");
    }
    match &report.differences {
        None => text.push_str("not compared with the document in force\n"),
        Some(differences) if differences.is_empty() => {
            text.push_str("no differences from the document in force\n");
        }
        Some(differences) => {
            text.push_str("differences from the document in force\n");
            text.extend(differences.iter().map(|line| format!("  {line}\n")));
        }
    }
    text
}

fn read(path: &Path) -> Result<Publication, Error> {
    let text = if path == Path::new("-") {
        let mut text = Vec::new();
        let read = std::io::stdin().read_to_end(&mut text);
        read.map(|_| text)
    } else {
        std::fs::read(path)
    };
    let failed = |cause: String| Error::Usage(format!("{}: {cause}", path.display()));
    let text = text.map_err(|e| failed(e.to_string()))?;
    if text.len() > MAX_DOCUMENT_BYTES {
        let size = text.len();
        return Err(failed(format!(
            "expected at most {MAX_DOCUMENT_BYTES} bytes, found {size}"
        )));
    }
    json::parse_confidential(&text).map_err(failed)
}

/// Reads the document in force; before the first publication it is empty.
async fn read_in_force(client: &Client) -> Result<Publication, Error> {
    let document = client.find_any_authorized("/v1/routes").await?;
    let Some(document) = document else {
        return Ok(Publication::default());
    };
    let failed = |cause: String| {
        let advice = "use --against FILE or --offline";
        Error::Failed(format!(
            "the document in force can't be compared; {advice}: {cause}"
        ))
    };
    let text = serde_json::to_vec(&document).map_err(|e| failed(e.to_string()))?;
    json::parse_confidential(&text).map_err(failed)
}
