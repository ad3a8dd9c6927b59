//! Waiting for conditions.

use std::time::{Duration, Instant};

use crate::Error;

/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(20);

/// Looks at a condition until it gives a value.
///
/// # Errors
///
/// Returns [`Error::Timeout`] after `limit`.
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
        tokio::time::sleep(PAUSE).await;
    }
}
