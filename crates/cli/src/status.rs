//! Subcommand `status`: state of the control instances and the entries.

use chestnutvalve_control::daemon::status::{Entry, Overview, Replica};
use clap::ArgMatches;

use crate::http::Client;
use crate::{Error, output};

/// Fetches and prints the status.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance responds.
pub async fn show(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let overview: Overview = client.get_any("/v1/status").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::to_pretty_json(&overview)?));
    }
    output::print(&render(&overview))
}

/// Renders the status as text, one instance or replica per line.
#[must_use]
pub fn render(overview: &Overview) -> String {
    let stale = if overview.stale { "  STALE" } else { "" };
    let mut lines = vec![format!(
        "configuration {}  state {}  answered by {}{stale}",
        overview.changed, overview.version, overview.control,
    )];
    lines.push("control instances".to_owned());
    for control in &overview.controls {
        lines.push(format!("  {}  state {}", control.control, control.version));
        lines.extend(control.replicas.iter().map(render_replica));
    }
    let unreachable = overview.unreachable.iter();
    lines.extend(unreachable.map(|name| format!("  {name}  UNREACHABLE")));
    lines.push("entries".to_owned());
    if !overview.heartbeats {
        lines.push("  the leader did not answer; heartbeats are not known".to_owned());
    }
    lines.extend(overview.entries.iter().map(render_entry));
    lines.push(String::new());
    lines.join("\n")
}

fn render_replica(replica: &Replica) -> String {
    let status = &replica.status;
    let role = format!("{:?}", status.role).to_lowercase();
    let quorum = if status.quorum { "" } else { "  NO QUORUM" };
    format!(
        "    {}  {role}  term {}  commit {}  applied {}{quorum}",
        replica.group, status.term, status.commit, status.applied
    )
}

fn render_entry(entry: &Entry) -> String {
    let member = &entry.member;
    let in_force = entry.in_force.map(|v| v.to_string());
    let in_force = in_force.as_deref().unwrap_or("-");
    let since = entry.in_force_ms.map(|ms| format!(" for {ms} ms"));
    let since = since.unwrap_or_default();
    let heartbeat = entry.heartbeat_ms.map(|ms| format!("heard {ms} ms ago"));
    let heartbeat = heartbeat.as_deref().unwrap_or("not heard");
    let draining = if member.draining { "  draining" } else { "" };
    format!(
        "  {}  {}  incarnation {}  in force {in_force}{since}  {heartbeat}{draining}",
        member.entry, member.zone, member.incarnation.0
    )
}
