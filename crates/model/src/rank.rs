//! The three priority classes of requests.

use serde::{Deserialize, Serialize};

/// Priority class of a request, ordered from most to least urgent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Urgent requests, such as ration lookups and cover checks.
    Top,
    /// Ordinary requests, such as visit orders, contributions and grants.
    Middle,
    /// Deferrable requests, such as archive pulls.
    Bottom,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Top, Self::Middle, Self::Bottom];

    /// Returns the position in [`Rank::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the lower-case name used in settings, metrics and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        ["top", "middle", "bottom"][self.index()]
    }
}

/// One value for each rank.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PerRank<T> {
    /// Value for the top rank.
    pub top: T,
    /// Value for the middle rank.
    pub middle: T,
    /// Value for the bottom rank.
    pub bottom: T,
}

impl<T> PerRank<T> {
    /// Returns the value for `rank`.
    pub fn get(&self, rank: Rank) -> &T {
        match rank {
            Rank::Top => &self.top,
            Rank::Middle => &self.middle,
            Rank::Bottom => &self.bottom,
        }
    }
}
