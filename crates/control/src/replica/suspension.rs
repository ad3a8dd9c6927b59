//! Detection of suspensions: times during which the process and the clock of [`std::time::Instant`] stood still.
//!
//! A lease that is measured by that clock seems valid after a suspension, although another leader may have been elected.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Suspensions below this duration are ignored; the lease margin covers them. Reading the two clocks is not atomic.
const TOLERANCE: Duration = Duration::from_millis(20);

/// Total time for which the machine was suspended, as a closure that tests replace.
#[derive(Clone)]
pub struct Suspension {
    total: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl fmt::Debug for Suspension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Suspension")
    }
}

impl Default for Suspension {
    fn default() -> Self {
        Self::new(read_total)
    }
}

impl Suspension {
    /// Creates the detection from a source of the total suspended time.
    pub fn new(total: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self {
            total: Arc::new(total),
        }
    }

    /// Returns the total suspended time.
    #[must_use]
    pub(super) fn total(&self) -> Duration {
        (self.total)()
    }

    /// Returns whether the machine was suspended since the total was `earlier`.
    #[must_use]
    pub(super) fn occurred_since(&self, earlier: Duration) -> bool {
        self.total() > earlier + TOLERANCE
    }
}

/// Returns by how much the clock that counts suspensions is ahead of the one that does not. A platform without these clocks
/// reports no suspension.
fn read_total() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    // A pause between the two readings must not look like a suspension, so the steady clock is read last.
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(with), Ok(without)) => with.saturating_sub(without),
        _ => Duration::ZERO,
    }
}
