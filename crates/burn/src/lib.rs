//! Windowed good/total counters and the burn-rate report.
//!
//! The burn rate is the share of bad requests divided by the share that the objective allows; at a rate of 1 the error
//! budget lasts exactly as long as the objective's period. This crate does no I/O and reads no clock.

pub mod counters;
pub mod report;
mod ring;

pub use counters::{Count, Counters, Export, Series};
pub use report::{Alert, Line, Rate};

use std::time::Duration;

/// Time span over which requests are counted.
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

    /// Returns the position in [`Window::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the duration.
    #[must_use]
    pub fn duration(self) -> Duration {
        let minutes = [1, 5, 30, 60, 360];
        Duration::from_mins(minutes[self.index()])
    }

    /// Returns the name used in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        ["1m", "5m", "30m", "1h", "6h"][self.index()]
    }
}
