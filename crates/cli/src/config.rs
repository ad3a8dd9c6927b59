//! Commands on the configuration.

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::config::{Change, Document, Edit};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::version::Version;
use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::http::{Client, Problem};
use crate::{Error, edits, output, wait};

/// Answer of `GET /v1/config`.
#[derive(Debug, Deserialize, Serialize)]
pub struct Current {
    /// Version of the last accepted change.
    pub version: Version,
    /// The configuration.
    pub document: Document,
    /// Whether the answering instance is out of contact with a quorum.
    pub stale: bool,
}

/// Prints the configuration.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance answers.
pub async fn show(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let current: Current = client.read("/v1/config").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::pretty(&current)?));
    }
    if current.stale {
        eprintln!("chestnutvalve: the instance has no contact with a quorum; this may be old");
    }
    let document = output::pretty(&current.document)?;
    let mark = edits::VERSION_MARK;
    output::print(&format!("{mark}{}\n{document}\n", current.version))
}

/// Prints the edits that lead to a document.
///
/// # Errors
///
/// Returns [`Error::Usage`] for a wrong document and [`Error::Failed`] when no control instance answers.
pub async fn diff(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let based = edits::document(file(matches)?)?;
    let current: Current = client.read("/v1/config").await?;
    if let Some(version) = based.version
        && version != current.version
    {
        let now = current.version;
        eprintln!("chestnutvalve: the document is based on {version}; the current one is {now}");
    }
    let lines = current.document.diff(&based.document);
    let lines: String = lines.iter().map(|e| output::edit(e) + "\n").collect();
    output::print(&lines)
}

fn file(matches: &ArgMatches) -> Result<&PathBuf, Error> {
    let file = matches.get_one("file");
    file.ok_or_else(|| Error::Usage("expected a file".to_owned()))
}

/// Applies a document or edits.
///
/// # Errors
///
/// Returns the error with its exit code; see [`crate::error`].
pub async fn apply(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let token = client.token()?;
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let stated_id = text("change-id");
    if let Some(id) = &stated_id
        && matches.contains_id("file")
        && let Some(version) = first_result(client, id).await?
    {
        // The difference to a document is another one once the change is in force, so that a resend can't be compared.
        return finish(client, matches, version).await;
    }
    let id = stated_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let (expected, edits) = input(client, matches).await?;
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
    let version = send(client, &token, &change).await?;
    finish(client, matches, version).await
}

async fn finish(client: &Client, matches: &ArgMatches, version: Version) -> Result<(), Error> {
    output::print(&format!("accepted as version {version}\n"))?;
    if matches.get_flag("wait") {
        let limit = matches.get_one("wait-ms").copied().unwrap_or_default();
        wait::in_force(client, version, Duration::from_millis(limit)).await?;
    }
    Ok(())
}

/// Returns the version of an accepted change, by its id.
async fn first_result(client: &Client, id: &str) -> Result<Option<Version>, Error> {
    let mut problems = Vec::new();
    for control in &client.controls {
        match client.get(*control, &format!("/v1/changes/{id}")).await {
            Ok(answer) => return accepted(&answer).map(Some),
            Err(Problem::Refused {
                kind: Some(Kind::NotFound),
                ..
            }) => return Ok(None),
            Err(problem) => problems.push(format!("{control}: {problem}")),
        }
    }
    Err(Error::Failed(problems.join("; ")))
}

async fn input(client: &Client, matches: &ArgMatches) -> Result<(Version, Vec<Edit>), Error> {
    let stated: Option<Version> = matches.get_one("expected").copied();
    if !matches.contains_id("file") {
        let edits = edits::stated(matches)?;
        let expected = match stated {
            Some(expected) => expected,
            None => client.read::<Current>("/v1/config").await?.version,
        };
        return Ok((expected, edits));
    }
    let based = edits::document(file(matches)?)?;
    let expected = stated.or(based.version);
    let expected = expected.ok_or_else(|| {
        let mark = edits::VERSION_MARK;
        Error::Usage(format!(
            "state --expected VERSION, or keep the line {mark}VERSION at the top of the document"
        ))
    })?;
    let current: Current = client.read("/v1/config").await?;
    Ok((expected, current.document.diff(&based.document)))
}

/// Sends a change to one control instance after the other until one tells the outcome.
///
/// A resend is safe, because the control instances recognise the change by its id.
async fn send(client: &Client, token: &str, change: &Change) -> Result<Version, Error> {
    let body = serde_json::to_vec(change).map_err(|e| Error::Failed(e.to_string()))?;
    let body = Bytes::from(body);
    let mut unknown = false;
    let mut problems = Vec::new();
    for control in &client.controls {
        let answer = client.post(*control, "/v1/changes", token, body.clone());
        let problem = match answer.await {
            Ok(answer) => return accepted(&answer),
            Err(problem) => problem,
        };
        match &problem {
            Problem::Unreachable(_) => {}
            Problem::Broken(_) => unknown = true,
            Problem::Refused { kind, body } => match kind {
                Some(Kind::NoQuorum | Kind::Overloaded) => {}
                Some(Kind::ChangeUnconfirmed | Kind::Internal) | None => unknown = true,
                Some(Kind::VersionConflict) => return Err(conflict(&problem, body)),
                Some(Kind::BadRequest | Kind::InvalidChange | Kind::TooLarge) => {
                    return Err(Error::Usage(problem.to_string()));
                }
                Some(_) => return Err(Error::Failed(problem.to_string())),
            },
        }
        problems.push(format!("{control}: {problem}"));
    }
    let problems = problems.join("; ");
    let id = &change.id;
    Err(if unknown {
        Error::Unconfirmed(format!(
            "not confirmed: {problems}; resend with --change-id {id} --expected {}",
            change.expected
        ))
    } else {
        Error::Failed(problems)
    })
}

fn accepted(answer: &Value) -> Result<Version, Error> {
    let version = serde_json::from_value(answer["version"].clone());
    version.map_err(|e| Error::Unconfirmed(format!("the answer has no version: {e}")))
}

fn conflict(problem: &Problem, body: &Value) -> Error {
    let field = |name: &str| body[name].clone();
    Error::Conflict {
        context: problem.to_string(),
        current: serde_json::from_value(field("current")).ok(),
        difference: serde_json::from_value(field("difference")).ok().flatten(),
    }
}

/// Lists accepted changes.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance answers.
pub async fn history(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    /// One accepted change.
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
    let listed: Vec<Accepted> = client.read(&path).await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::pretty(&listed)?));
    }
    let mut lines = Vec::new();
    for change in &listed {
        lines.push(format!(
            "{}  {}: {}  (id {})\n",
            change.version, change.author, change.reason, change.id
        ));
        let edits = change.edits.iter();
        lines.extend(edits.map(|e| format!("    {}\n", output::edit(e))));
    }
    output::print(&lines.concat())
}
