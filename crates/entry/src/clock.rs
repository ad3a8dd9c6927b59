//! Clock of the async runtime, as the standard instants that the routing and membership crates use.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

/// Returns the current instant of the runtime's clock.
#[must_use]
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Returns the current instant of the runtime's clock plus the time for which the machine was suspended, during which that
/// clock stands still. For the age of what others have granted.
#[must_use]
pub fn now_with_suspension() -> Instant {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    // A pause between the two readings must not look like a suspension, so the steady clock is read last.
    let suspended = match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(with), Ok(without)) => with.saturating_sub(without),
        _ => Duration::ZERO,
    };
    now() + suspended
}
