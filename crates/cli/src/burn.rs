//! Burn-rate report over all entries.

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

/// What the command prints.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Entries that answered.
    pub entries: usize,
    /// Shortest time for which one of them has counted, in seconds; longer windows are not full there.
    pub counted_s: u64,
    /// Entries that did not answer, with the cause; their requests are missing below.
    pub unreachable: Vec<String>,
    /// Burn rates by service and rank.
    pub lines: Vec<Line>,
}

/// Prints the report.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no entry answers.
pub async fn show(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let stated = matches.get_many::<SocketAddr>("entry");
    let stated: Vec<_> = stated.into_iter().flatten().copied().collect();
    let (document, entries) = if stated.is_empty() {
        let overview: Overview = client.read("/v1/status").await?;
        let members = overview.entries.into_iter().map(|e| e.member);
        let entries = members.map(|m| (m.entry.to_string(), m.platform));
        let current: Current = client.read("/v1/config").await?;
        (current.document, entries.collect::<Vec<_>>())
    } else {
        let current: Result<Current, Error> = client.read("/v1/config").await;
        let document = current.map_or_else(|e| default(&e), |current| current.document);
        let entries = stated.iter().map(|a| (a.to_string(), *a));
        (document, entries.collect())
    };
    if entries.is_empty() {
        return Err(Error::Failed("no entry is in the directory".to_owned()));
    }
    let report = collect(client, &document, &entries).await;
    if report.entries == 0 {
        let unreachable = report.unreachable.join("; ");
        return Err(Error::Failed(format!("no entry answers: {unreachable}")));
    }
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::pretty(&report)?));
    }
    output::print(&text(&report))
}

fn default(error: &Error) -> Document {
    eprintln!("chestnutvalve: the objectives below are the built-in ones: {error}");
    Document::default()
}

async fn collect(client: &Client, document: &Document, entries: &[(String, SocketAddr)]) -> Report {
    let asked = entries.iter().map(|(name, address)| async move {
        let answer = client.get(*address, "/v1/burn").await;
        let answer = answer.map_err(|e| format!("{name} ({address}): {e}"))?;
        let export = serde_json::from_value::<Export>(answer);
        export.map_err(|e| format!("{name} ({address}): {e}"))
    });
    let (mut exports, mut unreachable) = (Vec::new(), Vec::new());
    for answer in join_all(asked).await {
        match answer {
            Ok(export) => exports.push(export),
            Err(problem) => unreachable.push(problem),
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
pub fn text(report: &Report) -> String {
    let mut lines = vec![format!(
        "answers: {}, counting for at least {} s",
        report.entries, report.counted_s
    )];
    let unreachable = report.unreachable.iter();
    lines.extend(unreachable.map(|problem| format!("MISSING {problem}")));
    let windows = Window::ALL.map(|w| format!("{:>8}", w.name()));
    lines.push(format!(
        "{:<20} {:<6} {:>9} {}  alert",
        "service",
        "rank",
        "objective",
        windows.concat()
    ));
    lines.extend(report.lines.iter().map(line));
    lines.push(String::new());
    lines.join("\n")
}

fn line(line: &Line) -> String {
    let rates = line.rates.iter();
    // A window without requests says nothing about the service.
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
