//! Request counters of one instance, per service and rank.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use serde::{Deserialize, Serialize};

use crate::Window;
use crate::ring::Ring;

/// Maximum number of pairs of service and rank. Beyond it, the pair whose last request is oldest is evicted. At 7 KB per
/// pair the counters use at most 14 MB.
pub const MAX_SERIES: usize = 2_048;
/// Resolution of the windows up to five minutes.
const FINE_STEP: Duration = Duration::from_secs(5);
/// Steps in five minutes, and the current step.
const FINE_STEPS: usize = 61;
/// Resolution of the longer windows.
const COARSE_STEP: Duration = Duration::from_mins(1);
/// Steps in six hours, and the current step.
const COARSE_STEPS: usize = 361;

/// Number of requests and of good ones among them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Count {
    /// Requests answered successfully and in time.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl Count {
    pub(crate) fn record(&mut self, good: bool) {
        self.good += u64::from(good);
        self.total += 1;
    }

    /// Adds the counts of another instance or step.
    pub fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.total = self.total.saturating_add(other.total);
    }

    /// Returns the number of requests that were not good.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.total.saturating_sub(self.good)
    }
}

/// Counts of one pair of service and rank.
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

/// Snapshot of the counters, as an instance reports it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// Seconds since the instance started to count. Longer windows are not yet full.
    pub counted_s: u64,
    /// Counts, sorted by service and rank.
    pub series: Vec<Series>,
}

#[derive(Clone, Debug)]
struct Rings {
    fine: Ring,
    coarse: Ring,
    /// Time of the latest request, relative to the start of the counters.
    last_request: Duration,
}

impl Rings {
    fn new() -> Self {
        Self {
            fine: Ring::new(FINE_STEP, FINE_STEPS),
            coarse: Ring::new(COARSE_STEP, COARSE_STEPS),
            last_request: Duration::ZERO,
        }
    }

    fn count(&self, elapsed: Duration, window: Window) -> Count {
        match window {
            Window::Minute | Window::FiveMinutes => self.fine.sum(elapsed, window.duration()),
            Window::HalfHour | Window::Hour | Window::SixHours => {
                self.coarse.sum(elapsed, window.duration())
            }
        }
    }
}

/// Request counters of one instance.
#[derive(Clone, Debug)]
pub struct Counters {
    start: Instant,
    rings: HashMap<(Service, Rank), Rings>,
}

impl Counters {
    /// Creates empty counters that start to count at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            rings: HashMap::new(),
        }
    }

    /// Counts a finished request.
    pub fn record(&mut self, now: Instant, service: &Service, rank: Rank, good: bool) {
        let elapsed = now.saturating_duration_since(self.start);
        let key = (service.clone(), rank);
        if self.rings.len() >= MAX_SERIES && !self.rings.contains_key(&key) {
            let oldest = self
                .rings
                .iter()
                .min_by_key(|(_, rings)| rings.last_request);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.rings.remove(&oldest);
            }
        }
        let rings = self.rings.entry(key).or_insert_with(Rings::new);
        rings.fine.record(elapsed, good);
        rings.coarse.record(elapsed, good);
        rings.last_request = rings.last_request.max(elapsed);
    }

    /// Returns the counts of all windows, sorted by service and rank. Pairs without requests are omitted.
    #[must_use]
    pub fn export(&self, now: Instant) -> Export {
        let elapsed = now.saturating_duration_since(self.start);
        let series = self.rings.iter().map(|((service, rank), rings)| Series {
            service: service.clone(),
            rank: *rank,
            windows: Window::ALL.map(|window| rings.count(elapsed, window)),
        });
        let mut series: Vec<_> = series
            .filter(|s| s.windows.iter().any(|c| c.total > 0))
            .collect();
        series.sort_by(|a, b| (&a.service, a.rank).cmp(&(&b.service, b.rank)));
        Export {
            counted_s: elapsed.as_secs(),
            series,
        }
    }
}
