//! The runtime's clock, as the decision crates expect it.

use std::time::Instant;

/// Returns the present instant of the runtime's clock.
#[must_use]
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
