//! Adaptive limit of the concurrent requests that one entry has at the workers of a service.

use std::time::{Duration, Instant};

use chestnutvalve_model::rank::Rank;

use super::Limits;
use crate::sample::{Sample, Verdict};

/// Number of attempts between two adjustments of the limit. The median of 24 latencies with a heavy tail stays between
/// half and double the true median.
const ADJUST_WINDOW: usize = 24;
/// Ratio of the median latency to the baseline above which the limit shrinks.
const SHRINK_RATIO: f64 = 2.0;
/// Ratio of the median latency to the baseline below which the limit may grow.
const GROW_RATIO: f64 = 1.4;
/// Factor that shrinks the limit.
const SHRINK_FACTOR: f64 = 0.85;
/// Factors that raise the baseline in each window at the minimum limit, above and below [`SHRINK_RATIO`]. Without them,
/// one busy entry was kept at a tenth of its possible rate after a service had become three times slower.
const FAST_BASELINE_GROWTH: f64 = 1.25;
const SLOW_BASELINE_GROWTH: f64 = 1.02;
/// Minimum time between two reductions because of shed requests.
const MIN_SHED_INTERVAL: Duration = Duration::from_millis(100);
/// Number of attempts that give the first baseline.
const INITIAL_SAMPLES: u32 = 16;
/// Number of attempts after which the baseline changes slowly.
const SETTLED_SAMPLES: u32 = 100;
/// Relative change of the baseline for each attempt while the limit isn't reached.
const IDLE_STEP: f64 = 0.01;
/// Relative change while the limit is reached, when this entry's own requests may inflate the latency. With 0.0005, the
/// baselines of four busy entries drifted to the inflated latency within a minute.
const BUSY_STEP: f64 = 0.000_02;

/// Median latency of one rank without overload, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    seconds: f64,
    samples: u32,
}

impl Baseline {
    /// Updates the baseline with `latency`; returns the ratio of the latency to the baseline, once it is known.
    fn observe(&mut self, latency: f64, busy: bool) -> Option<f64> {
        let latency = latency.max(1e-6);
        if self.samples < INITIAL_SAMPLES {
            self.samples += 1;
            // The geometric mean of the first latencies is robust against a heavy tail.
            let previous = if self.samples == 1 {
                latency
            } else {
                self.seconds
            };
            self.seconds = previous * (latency / previous).powf(1.0 / f64::from(self.samples));
            return None;
        }
        let ratio = latency / self.seconds;
        // Equal steps up and down converge to the median. The first steps are large, because the first mean is
        // inaccurate.
        self.samples = self.samples.saturating_add(1);
        let step = if busy { BUSY_STEP } else { IDLE_STEP };
        let first = 0.5 / f64::from(self.samples);
        let step = if self.samples < SETTLED_SAMPLES {
            step.max(first)
        } else {
            step
        };
        self.seconds *= 1.0 + if ratio > 1.0 { step } else { -step };
        Some(ratio)
    }
}

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    value: f64,
    /// An equal share of the slots among the entries.
    equal_share: f64,
    lower_bound: f64,
    upper_bound: f64,
    baselines: [Baseline; 3],
    ratios: Vec<f64>,
    /// Whether the limit was reached in the current window.
    reached: bool,
    last_shed_at: Option<Instant>,
}

impl Limit {
    pub(super) fn new(limits: &Limits) -> Self {
        let mut limit = Self {
            value: 1.0,
            equal_share: 1.0,
            lower_bound: 1.0,
            upper_bound: 1.0,
            baselines: [Baseline::default(); 3],
            ratios: Vec::new(),
            reached: false,
            last_shed_at: None,
        };
        limit.configure(limits);
        limit
    }

    /// Sets the bounds: from half of an equal share of the slots to all of them, because other entries may be idle.
    ///
    /// The limit is scaled with the equal share, so that it follows changes of the workers.
    pub(super) fn configure(&mut self, limits: &Limits) {
        let before = self.equal_share;
        self.equal_share = equal_share(limits);
        self.lower_bound = (self.equal_share / 2.0).max(1.0);
        self.upper_bound = f64::from(limits.slots).max(1.0);
        self.value =
            (self.value * self.equal_share / before).clamp(self.lower_bound, self.upper_bound);
    }

    /// Returns whether another request may run and leave `kept_free` slots unused.
    pub(super) fn has_room(&self, running: u32, kept_free: f64) -> bool {
        f64::from(running) + kept_free + 1.0 <= self.value
    }

    /// Returns the limit, at least 1.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Records that the limit kept a request from running.
    pub(super) fn record_reached(&mut self) {
        self.reached = true;
    }

    /// Raises the limit, up to all slots, because requests wait while no running request ends.
    ///
    /// The limit otherwise adapts only to ended requests, and would stay constant while long requests hold all slots.
    pub(super) fn grow_when_stalled(&mut self, running: u32) {
        self.value = self
            .value
            .max(f64::from(running) + 1.0)
            .min(self.upper_bound);
    }

    pub(super) fn observe(&mut self, now: Instant, rank: Rank, sample: &Sample) {
        match sample.verdict {
            Verdict::Shed => self.record_shed(now),
            Verdict::Success | Verdict::Timeout => {
                let latency = sample.latency.as_secs_f64();
                let ratio = self.baselines[rank.index()].observe(latency, self.reached);
                self.ratios.extend(ratio);
                if self.ratios.len() >= ADJUST_WINDOW {
                    self.adjust();
                }
            }
            _ => {}
        }
    }

    fn record_shed(&mut self, now: Instant) {
        let recent = |at| now.saturating_duration_since(at) < MIN_SHED_INTERVAL;
        if !self.last_shed_at.is_some_and(recent) {
            self.last_shed_at = Some(now);
            self.shrink();
        }
    }

    fn shrink(&mut self) {
        self.value = (self.value * SHRINK_FACTOR).max(self.lower_bound);
        self.ratios.clear();
        self.reached = false;
    }

    /// Raises the baselines at the minimum limit. There this entry doesn't cause the latency; the service itself is
    /// slower.
    fn raise_baselines(&mut self, factor: f64) {
        if self.value <= self.lower_bound {
            for baseline in &mut self.baselines {
                baseline.seconds *= factor;
            }
        }
    }

    fn adjust(&mut self) {
        let middle = self.ratios.len() / 2;
        let median = *self.ratios.select_nth_unstable_by(middle, f64::total_cmp).1;
        if median > SHRINK_RATIO {
            self.raise_baselines(FAST_BASELINE_GROWTH);
            self.shrink();
            return;
        }
        if median > GROW_RATIO {
            self.raise_baselines(SLOW_BASELINE_GROWTH);
        } else if self.reached {
            self.value = (self.value + 1.0).min(self.upper_bound);
        }
        self.ratios.clear();
        self.reached = false;
    }
}

/// Returns an equal share of the slots, at least 1.
fn equal_share(limits: &Limits) -> f64 {
    (f64::from(limits.slots) / f64::from(limits.entries.max(1))).max(1.0)
}
