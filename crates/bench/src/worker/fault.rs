//! Faults that a worker shows while its announcements stay good.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults in force; all can be combined.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Share of requests answered with status 500 after the work, in percent.
    pub fail_percent: f64,
    /// Share of requests that are slowed down, in percent.
    pub slow_percent: f64,
    /// Extra service time of slowed requests, in milliseconds.
    pub slow_ms: u64,
    /// Share of answers that break off in the middle, in percent.
    pub truncate_percent: f64,
    /// Share of requests that get no answer, in percent.
    pub hang_percent: f64,
    /// Path prefix that the faults are limited to.
    pub route: Option<String>,
    /// Faults alternate between on and off with this half period, in milliseconds; zero keeps them on.
    pub flap_ms: u64,
    /// Whether the worker leaves without telling: no withdrawal and no header that says so.
    pub mute: bool,
    /// Whether announcements stop, as after a fault of the announcing part alone.
    pub silent: bool,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            fail_percent: 0.0,
            slow_percent: 100.0,
            slow_ms: 0,
            truncate_percent: 0.0,
            hang_percent: 0.0,
            route: None,
            flap_ms: 0,
            mute: false,
            silent: false,
        }
    }
}

impl Fault {
    /// Returns whether the faults apply to a request for `path`, `age` after they were set.
    #[must_use]
    pub fn applies(&self, path: &str, age: Duration) -> bool {
        let half = age.as_millis().checked_div(self.flap_ms.into());
        let on = half.is_none_or(|h| h.is_multiple_of(2));
        on && self.route.as_deref().is_none_or(|r| path.starts_with(r))
    }
}
