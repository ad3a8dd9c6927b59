//! Subcommands of `routes`: routes by host and path, the registered workers, and the customers.

use std::path::PathBuf;

use bytes::Bytes;
use chestnutvalve_model::account::Summary;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::upstream::Announcement;
use clap::ArgMatches;
use serde_json::Value;

use crate::http::Client;
use crate::{Error, output};

/// Prints the route document in force, confirmed by the control group.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance can confirm it, or when no document has been published.
pub async fn show(client: &Client) -> Result<(), Error> {
    let document: Value = client.get_any_authorized("/v1/routes").await?;
    output::print(&format!("{}\n", output::to_pretty_json(&document)?))
}

/// Replaces the route document in force.
///
/// # Errors
///
/// Returns the error that determines the exit code; see [`crate::error`].
pub async fn publish(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let path = matches.get_one::<PathBuf>("file").cloned();
    let path = path.unwrap_or_default();
    let text = std::fs::read(&path);
    let text = text.map_err(|e| Error::Usage(format!("reading {}: {e}", path.display())))?;
    let response = client.post_any("/v1/routes", Bytes::from(text)).await?;
    output::print(&format!("version {} is in force\n", response["label"]))
}

/// Lists the registered workers.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance responds.
pub async fn workers(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let workers: Vec<Announcement> = client.get_any("/v1/workers").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::to_pretty_json(&workers)?));
    }
    output::print(&render(&workers))
}

/// Renders registered workers, one per line.
#[must_use]
pub fn render(workers: &[Announcement]) -> String {
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

/// Lists the customers.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance responds.
pub async fn customers(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let customers: Vec<Summary> = client.get_any("/v1/customers").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::to_pretty_json(&customers)?));
    }
    output::print(&render_customers(&customers))
}

/// Renders customers, one per line.
#[must_use]
pub fn render_customers(customers: &[Summary]) -> String {
    let line = |summary: &Summary| {
        let Summary { customer, keys, .. } = summary;
        let noun = if *keys == 1 { "key" } else { "keys" };
        let rank = summary.rank.map_or("rank of the route", Rank::name);
        let limit = summary.limit.map_or("no limit".to_owned(), |limit| {
            format!("{} requests/s, burst {}", limit.per_second, limit.burst)
        });
        format!("{customer}  {keys} {noun}  {rank}  {limit}\n")
    };
    customers.iter().map(line).collect()
}
