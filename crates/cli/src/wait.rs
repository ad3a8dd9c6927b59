//! Waits until a version is in force at all live entries.

use std::time::Duration;

use chestnutvalve_control::daemon::status::Overview;
use chestnutvalve_model::version::Version;
use tokio::time::{Instant, sleep};

use crate::http::Client;
use crate::{Error, output};

/// Interval between two looks at the status.
const INTERVAL: Duration = Duration::from_millis(200);

/// Returns when all live entries have `version` or a later one in force.
///
/// # Errors
///
/// Returns [`Error::Unconfirmed`] with the names of the missing entries when the time is up.
pub async fn in_force(client: &Client, version: Version, limit: Duration) -> Result<(), Error> {
    let deadline = Instant::now() + limit;
    loop {
        let problem = match client.read::<Overview>("/v1/status").await {
            Ok(overview) if overview.heartbeats => {
                let missing = missing(&overview, version);
                if missing.is_empty() {
                    let count = overview.entries.len();
                    let text = format!("in force at all {count} live entries\n");
                    return output::print(&text);
                }
                format!("not in force at {}", missing.join(", "))
            }
            Ok(_) => "the leader's heartbeats are not known".to_owned(),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= deadline {
            let limit = limit.as_millis();
            let context = format!("version {version} is accepted, but after {limit} ms: {problem}");
            return Err(Error::Unconfirmed(context));
        }
        sleep(INTERVAL).await;
    }
}

/// Returns the live entries that have an older version in force, or of which none is known.
#[must_use]
pub fn missing(overview: &Overview, version: Version) -> Vec<String> {
    let behind = overview.entries.iter();
    let behind = behind.filter(|e| e.in_force.is_none_or(|v| v < version));
    behind.map(|e| e.member.entry.to_string()).collect()
}
