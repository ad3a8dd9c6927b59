//! Sliding-window counters of good and total requests, and the burn-rate report.
//!
//! The burn rate is the share of bad requests divided by the share that the objective allows. At a rate of 1 the error
//! budget lasts exactly for the period of the objective. This crate does no I/O and reads no clock.

pub mod counters;
pub mod report;
mod ring;

pub use counters::{Count, Counters, Export, Series};
pub use report::{Alert, Line, Rate};

use std::time::Duration;

/// Sliding window over which requests are counted.
#[derive(
    Clone, Copy, Debug, serde::Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize,
)]
pub enum Window {
    /// One minute.
    #[serde(rename = "1m")]
    Minute,
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Thirty minutes.
    #[serde(rename = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 5] = [
        Self::Minute,
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
    ];

    /// Returns the index in [`Window::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the length of the window.
    #[must_use]
    pub fn duration(self) -> Duration {
        let minutes = [1, 5, 30, 60, 360];
        Duration::from_mins(minutes[self.index()])
    }

    /// Returns the label used in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        ["1m", "5m", "30m", "1h", "6h"][self.index()]
    }
}
