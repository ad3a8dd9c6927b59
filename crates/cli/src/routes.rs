//! Routes by host and path, and the workers that are registered for them.

use std::path::PathBuf;

use bytes::Bytes;
use chestnutvalve_model::upstream::Announcement;
use clap::ArgMatches;
use serde_json::Value;

use crate::http::Client;
use crate::{Error, output};

/// Prints the route document in force, as the control group has confirmed it.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance can confirm it, or nothing was published yet.
pub async fn show(client: &Client) -> Result<(), Error> {
    let document: Value = client.read("/v1/routes").await?;
    output::print(&format!("{}\n", output::pretty(&document)?))
}

/// Publishes a route document in place of the one in force.
///
/// # Errors
///
/// Returns the error with its exit code; see [`crate::error`].
pub async fn publish(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let path = matches.get_one::<PathBuf>("file").cloned();
    let path = path.unwrap_or_default();
    let text = std::fs::read(&path);
    let text = text.map_err(|e| Error::Usage(format!("reading {}: {e}", path.display())))?;
    let answer = client.send("/v1/routes", Bytes::from(text)).await?;
    output::print(&format!("version {} is in force\n", answer["label"]))
}

/// Lists the registered workers.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance answers.
pub async fn workers(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let workers: Vec<Announcement> = client.read("/v1/workers").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::pretty(&workers)?));
    }
    output::print(&text(&workers))
}

/// Renders registered workers, one a line.
#[must_use]
pub fn text(workers: &[Announcement]) -> String {
    let line = |w: &Announcement| {
        let Announcement {
            worker,
            service,
            address,
            zone,
            slots,
            ..
        } = w;
        let state = if w.leaving { "leaving" } else { "ready" };
        let run = w.incarnation.0;
        format!("{service}  {worker}  run {run}  {address}  {zone}  {slots} slots  {state}\n")
    };
    workers.iter().map(line).collect::<Vec<_>>().concat()
}
