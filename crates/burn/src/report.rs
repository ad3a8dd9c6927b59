//! Burn rates from the counters of all instances.

use std::collections::BTreeMap;

use chestnutvalve_model::config::{Document, Target};
use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use serde::Serialize;

use crate::{Count, Export, Window};

/// Burn rate that uses 2% of a 30-day error budget in one hour.
pub const FAST_RATE: f64 = 14.4;
/// Burn rate that uses 5% of a 30-day error budget in six hours.
pub const SLOW_RATE: f64 = 6.0;
/// Bad requests in the long window below which there is no alert, because a single failure of a service with few
/// requests gives a high rate.
pub const MIN_BAD: u64 = 10;

/// How urgent a burn rate is. Each alert needs a long window, so that short disturbances don't raise it, and a short
/// one, so that it ends soon after the disturbance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// The budget lasts.
    None,
    /// [`SLOW_RATE`] over six hours and over 30 minutes.
    Slow,
    /// [`FAST_RATE`] over one hour and over five minutes.
    Fast,
}

/// Requests and burn rate of one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// The window.
    pub window: Window,
    /// Requests in the window.
    pub count: Count,
    /// Burn rate, 0 without requests.
    pub burn: f64,
}

/// Burn rates of one service and rank.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Service of the requests.
    pub service: Service,
    /// Rank of the requests.
    pub rank: Rank,
    /// Objective in percent.
    pub objective_percent: f64,
    /// Rates in the order of [`Window::ALL`].
    pub rates: [Rate; Window::ALL.len()],
    /// Urgency.
    pub alert: Alert,
}

/// Adds up the counters of all instances and returns the burn rates, sorted by service and rank.
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
            burn: burn(count, objective_percent),
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

/// Returns the burn rate of a count.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts stay far below 2^52, where f64 is exact"
)]
pub fn burn(count: Count, objective_percent: f64) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let bad_share = count.bad() as f64 / count.total as f64;
    bad_share / (1.0 - objective_percent / 100.0)
}

fn alert(rates: &[Rate; Window::ALL.len()]) -> Alert {
    let exceeds = |long: Window, short: Window, limit: f64| {
        let (long, short) = (&rates[long.index()], &rates[short.index()]);
        long.count.bad() >= MIN_BAD && long.burn >= limit && short.burn >= limit
    };
    if exceeds(Window::Hour, Window::FiveMinutes, FAST_RATE) {
        Alert::Fast
    } else if exceeds(Window::SixHours, Window::HalfHour, SLOW_RATE) {
        Alert::Slow
    } else {
        Alert::None
    }
}
