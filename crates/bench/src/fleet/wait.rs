//! Polling for conditions with a timeout.

use std::time::{Duration, Instant};

use crate::Error;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value. `what` names the condition in the error.
///
/// # Errors
///
/// Returns [`Error::Timeout`] if there is no value after `limit`.
pub async fn until<T>(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> Option<T>,
) -> Result<T, Error> {
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if start.elapsed() >= limit {
            let what = what.to_owned();
            return Err(Error::Timeout { what, limit });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
