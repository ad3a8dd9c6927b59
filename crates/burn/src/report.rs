//! Burn rates computed from the counters of all instances.

use std::collections::BTreeMap;

use chestnutvalve_model::config::{Document, Target};
use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use serde::Serialize;

use crate::{Count, Export, Window};

/// Burn rate that consumes 2% of a 30-day error budget in one hour.
pub const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate that consumes 5% of a 30-day error budget in six hours.
pub const SLOW_BURN_RATE: f64 = 6.0;
/// Minimum number of bad requests in the long window for an alert, because a single failure of a service with few
/// requests results in a high rate.
pub const MIN_BAD_REQUESTS: u64 = 10;

/// Severity of a burn rate. Each alert combines a long window, so that brief disturbances don't raise it, with a short
/// one, so that it clears soon after the disturbance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// Neither threshold is exceeded.
    None,
    /// At least [`SLOW_BURN_RATE`] over six hours and over 30 minutes.
    Slow,
    /// At least [`FAST_BURN_RATE`] over one hour and over five minutes.
    Fast,
}

/// Requests and burn rate of one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// The window.
    pub window: Window,
    /// Requests in the window.
    pub count: Count,
    /// Burn rate; 0 without requests.
    pub burn: f64,
}

/// Burn rates of one pair of service and rank.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Service of the requests.
    pub service: Service,
    /// Rank of the requests.
    pub rank: Rank,
    /// Objective for the share of good requests, in percent.
    pub objective_percent: f64,
    /// Rates in the order of [`Window::ALL`].
    pub rates: [Rate; Window::ALL.len()],
    /// Alert that the rates raise.
    pub alert: Alert,
}

/// Sums the counters of all instances and returns the burn rates, sorted by service and rank.
#[must_use]
pub fn report(document: &Document, exports: &[Export]) -> Vec<Line> {
    let mut sums: BTreeMap<(&Service, Rank), [Count; Window::ALL.len()]> = BTreeMap::new();
    for series in exports.iter().flat_map(|e| &e.series) {
        let sum = sums.entry((&series.service, series.rank)).or_default();
        for (sum, count) in sum.iter_mut().zip(series.windows) {
            sum.add(count);
        }
    }
    let lines = sums.into_iter();
    let lines = lines.map(|((service, rank), counts)| line(document, service, rank, counts));
    lines.collect()
}

fn line(
    document: &Document,
    service: &Service,
    rank: Rank,
    counts: [Count; Window::ALL.len()],
) -> Line {
    let settings = document.resolve(&Target {
        service,
        path: None,
        method: None,
        customer: None,
    });
    let objective_percent = *settings.objective_percent.get(rank);
    let rates = Window::ALL.map(|window| {
        let count = counts[window.index()];
        Rate {
            window,
            count,
            burn: burn_rate(count, objective_percent),
        }
    });
    Line {
        service: service.clone(),
        rank,
        objective_percent,
        rates,
        alert: alert(&rates),
    }
}

/// Returns the burn rate of a count; 0 without requests.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below 2^52, where f64 is exact"
)]
pub fn burn_rate(count: Count, objective_percent: f64) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let bad_share = count.bad() as f64 / count.total as f64;
    bad_share / (1.0 - objective_percent / 100.0)
}

fn alert(rates: &[Rate; Window::ALL.len()]) -> Alert {
    let exceeds = |long: Window, short: Window, threshold: f64| {
        let (long, short) = (&rates[long.index()], &rates[short.index()]);
        long.count.bad() >= MIN_BAD_REQUESTS && long.burn >= threshold && short.burn >= threshold
    };
    if exceeds(Window::Hour, Window::FiveMinutes, FAST_BURN_RATE) {
        Alert::Fast
    } else if exceeds(Window::SixHours, Window::HalfHour, SLOW_BURN_RATE) {
        Alert::Slow
    } else {
        Alert::None
    }
}
