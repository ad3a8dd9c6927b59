//! What an attempt means for the retry budget.

use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::retry::{Ask, Purpose, Usage};
use serde::{Deserialize, Serialize};

/// What the retry budget records for an attempt, by whoever places it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Charge {
    /// The request is counted: this is its first attempt.
    Deposit,
    /// Nothing: the request is counted, and the attempt replaces one that reached no worker.
    Nothing,
    /// An extra attempt for a failed one.
    Retry {
        /// Whether it was asked for before, and was denied or found no slot.
        is_repeated: bool,
    },
    /// An extra attempt beside a late one.
    Hedge,
}

impl Charge {
    /// Returns the charge of the same attempt if somebody else is asked to place it. A request that may have been
    /// counted is not counted again: too many counted requests would permit more attempts than the fleet may make.
    #[must_use]
    pub fn repeated(self) -> Self {
        match self {
            Self::Deposit | Self::Nothing => Self::Nothing,
            Self::Retry { .. } => Self::Retry { is_repeated: true },
            Self::Hedge => Self::Hedge,
        }
    }

    /// Returns what the budget has counted when it was asked and granted the attempt, if `is_granted`, or not.
    #[must_use]
    pub fn usage(self, is_granted: bool) -> Usage {
        let is_extra = matches!(self, Self::Retry { .. } | Self::Hedge);
        Usage {
            requests: u32::from(self == Self::Deposit),
            extra_attempts: u32::from(is_extra && is_granted),
        }
    }

    /// Returns the question for an extra attempt, if the attempt is one.
    #[must_use]
    pub fn ask(self, rank: Rank) -> Option<Ask> {
        let (purpose, is_repeated) = match self {
            Self::Deposit | Self::Nothing => return None,
            Self::Retry { is_repeated } => (Purpose::Retry, is_repeated),
            Self::Hedge => (Purpose::Hedge, false),
        };
        Some(Ask {
            purpose,
            rank,
            is_repeated,
        })
    }
}
