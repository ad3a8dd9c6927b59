//! Subcommands of `config`.

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::config::{Change, Document, Edit};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::version::Version;
use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::http::{Client, RequestError};
use crate::{Error, edits, output, wait};

/// Response of `GET /v1/config`.
#[derive(Debug, Deserialize, Serialize)]
pub struct Current {
    /// Version of the last accepted change.
    pub version: Version,
    /// The configuration.
    pub document: Document,
    /// Whether the responding instance has lost contact with a quorum.
    pub stale: bool,
}

/// Prints the configuration.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance responds.
pub async fn show(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let current: Current = client.get_any("/v1/config").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::to_pretty_json(&current)?));
    }
    if current.stale {
        eprintln!(
            "chestnutvalve: the control instance has no contact with a quorum; the configuration may be out of date"
        );
    }
    let document = output::to_pretty_json(&current.document)?;
    let prefix = edits::VERSION_PREFIX;
    output::print(&format!("{prefix}{}\n{document}\n", current.version))
}

/// Prints the edits that turn the current configuration into a document.
///
/// # Errors
///
/// Returns [`Error::Usage`] for an invalid document and [`Error::Failed`] when no control instance responds.
pub async fn diff(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let based = edits::read_document(file(matches)?)?;
    let current: Current = client.get_any("/v1/config").await?;
    if let Some(version) = based.version
        && version != current.version
    {
        let latest = current.version;
        eprintln!(
            "chestnutvalve: the document is based on version {version}; the current version is {latest}"
        );
    }
    let lines = current.document.diff(&based.document);
    let lines: String = lines
        .iter()
        .map(|e| output::format_edit(e) + "\n")
        .collect();
    output::print(&lines)
}

fn file(matches: &ArgMatches) -> Result<&PathBuf, Error> {
    let file = matches.get_one("file");
    file.ok_or_else(|| Error::Usage("expected a FILE argument".to_owned()))
}

/// Submits a document or edits as one change.
///
/// # Errors
///
/// Returns the error with its exit code; see [`crate::error`].
pub async fn apply(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let token = client.read_token()?;
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let requested_id = text("change-id");
    if let Some(id) = &requested_id
        && matches.contains_id("file")
        && let Some(version) = find_accepted_version(client, id).await?
    {
        // Once the change is in force, the difference to the document is no longer the same edits, so a resend would not
        // match the accepted change.
        return report_accepted(client, matches, version).await;
    }
    let id = requested_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let (expected, edits) = read_input(client, matches).await?;
    if edits.is_empty() {
        return output::print("nothing to change\n");
    }
    let change = Change {
        id,
        author: text("author").unwrap_or_default(),
        reason: text("reason").unwrap_or_default(),
        expected,
        edits,
    };
    let version = submit(client, &token, &change).await?;
    report_accepted(client, matches, version).await
}

async fn report_accepted(
    client: &Client,
    matches: &ArgMatches,
    version: Version,
) -> Result<(), Error> {
    output::print(&format!("accepted as version {version}\n"))?;
    if matches.get_flag("wait") {
        let limit = matches.get_one("wait-ms").copied().unwrap_or_default();
        wait::until_in_force(client, version, Duration::from_millis(limit)).await?;
    }
    Ok(())
}

/// Looks up the version of an accepted change by its ID; `None` when there is no such change.
async fn find_accepted_version(client: &Client, id: &str) -> Result<Option<Version>, Error> {
    let mut errors = Vec::new();
    for control in &client.controls {
        match client.get(*control, &format!("/v1/changes/{id}")).await {
            Ok(response) => return parse_version(&response).map(Some),
            Err(RequestError::Rejected {
                kind: Some(Kind::NotFound),
                ..
            }) => return Ok(None),
            Err(error) => errors.push(format!("{control}: {error}")),
        }
    }
    Err(Error::Failed(errors.join("; ")))
}

async fn read_input(client: &Client, matches: &ArgMatches) -> Result<(Version, Vec<Edit>), Error> {
    let requested: Option<Version> = matches.get_one("expected").copied();
    if !matches.contains_id("file") {
        let edits = edits::parse_edits(matches)?;
        let expected = match requested {
            Some(expected) => expected,
            None => client.get_any::<Current>("/v1/config").await?.version,
        };
        return Ok((expected, edits));
    }
    let based = edits::read_document(file(matches)?)?;
    let expected = requested.or(based.version);
    let expected = expected.ok_or_else(|| {
        let prefix = edits::VERSION_PREFIX;
        Error::Usage(format!(
            "expected --expected VERSION or the line {prefix}VERSION at the top of the document"
        ))
    })?;
    let current: Current = client.get_any("/v1/config").await?;
    Ok((expected, current.document.diff(&based.document)))
}

/// Sends a change to the control instances in turn until one reports the outcome.
///
/// Resending is safe, because the control instances identify the change by its ID.
async fn submit(client: &Client, token: &str, change: &Change) -> Result<Version, Error> {
    let body = serde_json::to_vec(change).map_err(|e| Error::Failed(e.to_string()))?;
    let body = Bytes::from(body);
    let mut outcome_unknown = false;
    let mut errors = Vec::new();
    for control in &client.controls {
        let response = client.post(*control, "/v1/changes", token, body.clone());
        let error = match response.await {
            Ok(response) => return parse_version(&response),
            Err(error) => error,
        };
        match &error {
            RequestError::Unreachable(_) => {}
            RequestError::Interrupted(_) => outcome_unknown = true,
            RequestError::Rejected { kind, body } => match kind {
                Some(Kind::NoQuorum | Kind::Overloaded) => {}
                Some(Kind::ChangeUnconfirmed | Kind::Internal) | None => outcome_unknown = true,
                Some(Kind::VersionConflict) => return Err(conflict(&error, body)),
                Some(Kind::BadRequest | Kind::InvalidChange | Kind::TooLarge) => {
                    return Err(Error::Usage(error.to_string()));
                }
                Some(_) => return Err(Error::Failed(error.to_string())),
            },
        }
        errors.push(format!("{control}: {error}"));
    }
    let errors = errors.join("; ");
    let id = &change.id;
    Err(if outcome_unknown {
        Error::Unconfirmed(format!(
            "not confirmed: {errors}; retry with --change-id {id} --expected {}",
            change.expected
        ))
    } else {
        Error::Failed(errors)
    })
}

fn parse_version(response: &Value) -> Result<Version, Error> {
    let version = serde_json::from_value(response["version"].clone());
    version.map_err(|e| Error::Unconfirmed(format!("expected a version in the response: {e}")))
}

fn conflict(error: &RequestError, body: &Value) -> Error {
    let field = |name: &str| body[name].clone();
    Error::Conflict {
        context: error.to_string(),
        current: serde_json::from_value(field("current")).ok(),
        difference: serde_json::from_value(field("difference")).ok().flatten(),
    }
}

/// Lists accepted changes.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance responds.
pub async fn history(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    #[derive(Deserialize, Serialize)]
    struct Accepted {
        version: Version,
        id: String,
        author: String,
        reason: String,
        edits: Vec<Edit>,
    }
    let limit: u32 = matches.get_one("limit").copied().unwrap_or_default();
    let path = format!("/v1/history?limit={limit}");
    let changes: Vec<Accepted> = client.get_any(&path).await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::to_pretty_json(&changes)?));
    }
    let mut lines = Vec::new();
    for change in &changes {
        lines.push(format!(
            "{}  {}: {}  (id {})\n",
            change.version, change.author, change.reason, change.id
        ));
        let edits = change.edits.iter();
        lines.extend(edits.map(|e| format!("    {}\n", output::format_edit(e))));
    }
    output::print(&lines.concat())
}
