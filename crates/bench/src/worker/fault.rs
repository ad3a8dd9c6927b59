//! Faults that can be set on a worker. Its announcements and health responses stay good unless a fault says otherwise.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults in force, in any combination.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Share of requests that fail with status 500 after the service time, in percent.
    pub fail_percent: f64,
    /// Share of requests that are delayed by `slow_ms`, in percent.
    pub slow_percent: f64,
    /// Additional service time of delayed requests, in milliseconds.
    pub slow_ms: u64,
    /// Share of responses that are truncated in the middle of the body, in percent.
    pub truncate_percent: f64,
    /// Share of requests that get no response, in percent.
    pub hang_percent: f64,
    /// Share of requests that are turned away as not executed, in percent.
    pub shed_percent: f64,
    /// Time for which the worker wants no further requests from the entry whose request it turns away, in milliseconds.
    /// Zero states no time.
    pub pause_ms: u64,
    /// Whether responses say that the worker leaves, although its announcement does not.
    pub leaving: bool,
    /// Path prefix of the affected requests. `None` affects all requests.
    pub route: Option<String>,
    /// Half period with which the faults alternate between on and off, in milliseconds. Zero keeps them on.
    pub flap_ms: u64,
    /// Whether the worker leaves without notice: it sends neither a withdrawal nor the header with its state.
    pub mute: bool,
    /// Whether announcements stop while requests are still served, as after a failure of the announcer alone.
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
            shed_percent: 0.0,
            pause_ms: 0,
            leaving: false,
            route: None,
            flap_ms: 0,
            mute: false,
            silent: false,
        }
    }
}

impl Fault {
    /// Returns whether the faults apply to a request for `path` at `age` after they were set.
    #[must_use]
    pub fn applies_to(&self, path: &str, age: Duration) -> bool {
        let half = age.as_millis().checked_div(self.flap_ms.into());
        let on = half.is_none_or(|h| h.is_multiple_of(2));
        on && self.route.as_deref().is_none_or(|r| path.starts_with(r))
    }
}
