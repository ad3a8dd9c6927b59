//! Option `--wait`: polls until a version is in force at all live entries.

use std::time::Duration;

use chestnutvalve_control::daemon::status::Overview;
use chestnutvalve_model::version::Version;
use tokio::time::{Instant, sleep};

use crate::http::Client;
use crate::{Error, output};

/// Interval at which the status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until all live entries have `version` or a later one in force, and prints that they have.
///
/// # Errors
///
/// Returns [`Error::Unconfirmed`] with the names of the lagging entries when `timeout` has elapsed.
pub async fn until_in_force(
    client: &Client,
    version: Version,
    timeout: Duration,
) -> Result<(), Error> {
    let deadline = Instant::now() + timeout;
    loop {
        let reason = match client.get_any::<Overview>("/v1/status").await {
            Ok(overview) if overview.heartbeats => {
                let lagging = lagging_entries(&overview, version);
                if lagging.is_empty() {
                    let count = overview.entries.len();
                    let text = format!("in force at all {count} live entries\n");
                    return output::print(&text);
                }
                format!("not in force at {}", lagging.join(", "))
            }
            Ok(_) => "the heartbeats at the leader are unknown".to_owned(),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= deadline {
            let timeout = timeout.as_millis();
            let context = format!(
                "version {version} is accepted, but not confirmed in force after {timeout} ms: {reason}"
            );
            return Err(Error::Unconfirmed(context));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the live entries that have an older version in force, or whose version in force is unknown.
#[must_use]
pub fn lagging_entries(overview: &Overview, version: Version) -> Vec<String> {
    let behind = overview.entries.iter();
    let behind = behind.filter(|e| e.in_force.is_none_or(|v| v < version));
    behind.map(|e| e.member.entry.to_string()).collect()
}
