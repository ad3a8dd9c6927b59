//! Burn-rate report summed over all entries.

use std::net::SocketAddr;

use chestnutvalve_burn::report::{Alert, Line, report};
use chestnutvalve_burn::{Export, Window};
use chestnutvalve_control::daemon::status::Overview;
use chestnutvalve_model::config::Document;
use clap::ArgMatches;
use futures_util::future::join_all;
use serde::Serialize;

use crate::config::Current;
use crate::http::Client;
use crate::{Error, output};

/// Report that the command prints, as JSON under these field names.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Number of entries that responded.
    pub entries: usize,
    /// Minimum counting time among the entries that responded, in seconds. Longer windows are not yet full there.
    pub counted_s: u64,
    /// Entries without a response, with the cause. Their requests are missing in `lines`.
    pub unreachable: Vec<String>,
    /// Burn rates, sorted by service and rank.
    pub lines: Vec<Line>,
}

/// Collects and prints the report.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no entry responds.
pub async fn show(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let addresses = matches.get_many::<SocketAddr>("entry");
    let addresses: Vec<_> = addresses.into_iter().flatten().copied().collect();
    let (document, entries) = if addresses.is_empty() {
        let overview: Overview = client.get_any("/v1/status").await?;
        let members = overview.entries.into_iter().map(|e| e.member);
        let entries = members.map(|m| (m.entry.to_string(), m.platform));
        let current: Current = client.get_any("/v1/config").await?;
        (current.document, entries.collect::<Vec<_>>())
    } else {
        let current: Result<Current, Error> = client.get_any("/v1/config").await;
        let document = current.map_or_else(|e| default(&e), |current| current.document);
        let entries = addresses.iter().map(|a| (a.to_string(), *a));
        (document, entries.collect())
    };
    if entries.is_empty() {
        return Err(Error::Failed("the directory contains no entry".to_owned()));
    }
    let report = collect_report(client, &document, &entries).await;
    if report.entries == 0 {
        let unreachable = report.unreachable.join("; ");
        return Err(Error::Failed(format!("no entry responded: {unreachable}")));
    }
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::to_pretty_json(&report)?));
    }
    output::print(&render(&report))
}

/// Returns the built-in configuration and warns that it is used in place of the fleet's.
fn default(error: &Error) -> Document {
    eprintln!(
        "chestnutvalve: the report uses the built-in objectives, because the configuration can't be read: {error}"
    );
    Document::default()
}

async fn collect_report(
    client: &Client,
    document: &Document,
    entries: &[(String, SocketAddr)],
) -> Report {
    let requests = entries.iter().map(|(name, address)| async move {
        let response = client.get(*address, "/v1/burn").await;
        let response = response.map_err(|e| format!("{name} ({address}): {e}"))?;
        let export = serde_json::from_value::<Export>(response);
        export.map_err(|e| format!("{name} ({address}): {e}"))
    });
    let (mut exports, mut unreachable) = (Vec::new(), Vec::new());
    for result in join_all(requests).await {
        match result {
            Ok(export) => exports.push(export),
            Err(error) => unreachable.push(error),
        }
    }
    Report {
        entries: exports.len(),
        counted_s: exports.iter().map(|e| e.counted_s).min().unwrap_or(0),
        unreachable,
        lines: report(document, &exports),
    }
}

/// Renders the report as text.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut lines = vec![format!(
        "answers: {}, counting for at least {} s",
        report.entries, report.counted_s
    )];
    let unreachable = report.unreachable.iter();
    lines.extend(unreachable.map(|error| format!("MISSING {error}")));
    let windows = Window::ALL.map(|w| format!("{:>8}", w.name()));
    lines.push(format!(
        "{:<20} {:<6} {:>9} {}  alert",
        "service",
        "rank",
        "objective",
        windows.concat()
    ));
    lines.extend(report.lines.iter().map(render_line));
    lines.push(String::new());
    lines.join("\n")
}

fn render_line(line: &Line) -> String {
    let rates = line.rates.iter();
    // A window without requests has no meaningful burn rate.
    let rates = rates.map(|rate| match rate.count.total {
        0 => format!("{:>8}", "-"),
        _ => format!("{:>8.2}", rate.burn),
    });
    let alert = match line.alert {
        Alert::None => "",
        Alert::Slow => "SLOW",
        Alert::Fast => "FAST",
    };
    let text = format!(
        "{:<20} {:<6} {:>8}% {}  {alert}",
        line.service.as_str(),
        line.rank.name(),
        line.objective_percent,
        rates.collect::<String>()
    );
    text.trim_end().to_owned()
}
