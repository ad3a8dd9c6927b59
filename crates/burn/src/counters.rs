//! Counters of one instance, per service and rank.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use serde::{Deserialize, Serialize};

use crate::Window;
use crate::ring::Ring;

/// Most pairs of service and rank that are counted; above that, the one that was silent longest is dropped. At 7 KB a
/// pair the counters take at most 14 MB.
pub const MAX_SERIES: usize = 2_048;
/// Step of the windows up to five minutes.
const FINE_STEP: Duration = Duration::from_secs(5);
/// Steps of five minutes and the present one.
const FINE_STEPS: usize = 61;
/// Step of the longer windows.
const COARSE_STEP: Duration = Duration::from_mins(1);
/// Steps of six hours and the present one.
const COARSE_STEPS: usize = 361;

/// Requests and the good ones among them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Count {
    /// Requests answered well and in time.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl Count {
    pub(crate) fn record(&mut self, good: bool) {
        self.good += u64::from(good);
        self.total += 1;
    }

    /// Adds the counts of another instance.
    pub fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.total = self.total.saturating_add(other.total);
    }

    /// Returns the number of bad requests.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.total.saturating_sub(self.good)
    }
}

/// Counts of one service and rank.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// Service of the requests.
    pub service: Service,
    /// Rank of the requests.
    pub rank: Rank,
    /// Counts in the order of [`Window::ALL`].
    pub windows: [Count; Window::ALL.len()],
}

/// Counters as an instance reports them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// Time for which the instance has counted, in seconds; longer windows are not full yet.
    pub counted_s: u64,
    /// Counts by service and rank.
    pub series: Vec<Series>,
}

#[derive(Clone, Debug)]
struct Rings {
    fine: Ring,
    coarse: Ring,
    last: Duration,
}

impl Rings {
    fn new() -> Self {
        Self {
            fine: Ring::new(FINE_STEP, FINE_STEPS),
            coarse: Ring::new(COARSE_STEP, COARSE_STEPS),
            last: Duration::ZERO,
        }
    }

    fn count(&self, at: Duration, window: Window) -> Count {
        match window {
            Window::Minute | Window::FiveMinutes => self.fine.sum(at, window.duration()),
            Window::HalfHour | Window::Hour | Window::SixHours => {
                self.coarse.sum(at, window.duration())
            }
        }
    }
}

/// Counters of one instance.
#[derive(Clone, Debug)]
pub struct Counters {
    start: Instant,
    rings: HashMap<(Service, Rank), Rings>,
}

impl Counters {
    /// Creates empty counters.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            rings: HashMap::new(),
        }
    }

    /// Counts a finished request.
    pub fn record(&mut self, now: Instant, service: &Service, rank: Rank, good: bool) {
        let at = now.saturating_duration_since(self.start);
        let key = (service.clone(), rank);
        if self.rings.len() >= MAX_SERIES && !self.rings.contains_key(&key) {
            let silent = self.rings.iter().min_by_key(|(_, rings)| rings.last);
            if let Some(silent) = silent.map(|(key, _)| key.clone()) {
                self.rings.remove(&silent);
            }
        }
        let rings = self.rings.entry(key).or_insert_with(Rings::new);
        rings.fine.record(at, good);
        rings.coarse.record(at, good);
        rings.last = rings.last.max(at);
    }

    /// Returns the counts of all windows, sorted by service and rank; pairs without requests are left out.
    #[must_use]
    pub fn export(&self, now: Instant) -> Export {
        let at = now.saturating_duration_since(self.start);
        let series = self.rings.iter().map(|((service, rank), rings)| Series {
            service: service.clone(),
            rank: *rank,
            windows: Window::ALL.map(|window| rings.count(at, window)),
        });
        let mut series: Vec<_> = series
            .filter(|s| s.windows.iter().any(|c| c.total > 0))
            .collect();
        series.sort_by(|a, b| (&a.service, a.rank).cmp(&(&b.service, b.rank)));
        Export {
            counted_s: at.as_secs(),
            series,
        }
    }
}
