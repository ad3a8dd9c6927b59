//! Clock of the async runtime, as the standard instants that the routing and membership crates use.

use std::time::Instant;

/// Returns the current instant of the runtime's clock.
#[must_use]
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
