//! Adaptive limit of the requests that one entry has at the workers of a service.

use std::time::{Duration, Instant};

use chestnutvalve_model::rank::Rank;

use super::Limits;
use crate::sample::{Sample, Verdict};

/// Attempts after which the limit is adjusted. The median of 24 latencies with a heavy tail stays within half and
/// double the true median.
const WINDOW: usize = 24;
/// Median latency, as a multiple of the baseline, above which the limit shrinks.
const INFLATED: f64 = 2.0;
/// Median latency, as a multiple of the baseline, below which the limit may grow.
const NEAR: f64 = 1.4;
/// Factor by which the limit shrinks.
const SHRINK: f64 = 0.85;
/// Factors by which the baseline grows with each window at the least limit, above and below [`INFLATED`]. Without
/// them, a service that had become three times slower kept one busy entry at a tenth of its possible rate.
const LEARN_FAST: f64 = 1.25;
const LEARN_SLOWLY: f64 = 1.02;
/// Shortest time between two reactions to shedding.
const SHED_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts after which the first baseline is known.
const FIRST: u32 = 16;
/// Attempts after which the baseline only changes slowly.
const SETTLED: u32 = 100;
/// Relative change of the baseline with each attempt while the limit is not in use.
const IDLE_STEP: f64 = 0.01;
/// Relative change while the limit is in use, when latency may be inflated by this entry's own requests. With 0.0005
/// four busy entries took an inflated latency for the baseline within a minute.
const BUSY_STEP: f64 = 0.000_02;

/// Median latency of one rank without overload, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    seconds: f64,
    known: u32,
}

impl Baseline {
    /// Moves towards `latency` and returns the latency as a multiple of the baseline, once it is known.
    fn observe(&mut self, latency: f64, busy: bool) -> Option<f64> {
        let latency = latency.max(1e-6);
        if self.known < FIRST {
            self.known += 1;
            // The geometric mean of the first latencies, which a tail moves little.
            let previous = if self.known == 1 {
                latency
            } else {
                self.seconds
            };
            self.seconds = previous * (latency / previous).powf(1.0 / f64::from(self.known));
            return None;
        }
        let ratio = latency / self.seconds;
        // Equal steps up and down lead to the median; the first ones are large, because the first mean is rough.
        self.known = self.known.saturating_add(1);
        let step = if busy { BUSY_STEP } else { IDLE_STEP };
        let first = 0.5 / f64::from(self.known);
        let step = if self.known < SETTLED {
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
    /// An equal share of the slots.
    share: f64,
    least: f64,
    most: f64,
    baselines: [Baseline; 3],
    ratios: Vec<f64>,
    /// Whether the limit was reached within the window.
    reached: bool,
    shed_at: Option<Instant>,
}

impl Limit {
    pub(super) fn new(limits: &Limits) -> Self {
        let mut limit = Self {
            value: 1.0,
            share: 1.0,
            least: 1.0,
            most: 1.0,
            baselines: [Baseline::default(); 3],
            ratios: Vec::new(),
            reached: false,
            shed_at: None,
        };
        limit.configure(limits);
        limit
    }

    /// Sets the bounds: from half of an equal share of the slots to all of them, because other entries may be idle.
    ///
    /// The limit changes in proportion to the share, so that it follows workers that come and go.
    pub(super) fn configure(&mut self, limits: &Limits) {
        let before = self.share;
        self.share = share(limits);
        self.least = (self.share / 2.0).max(1.0);
        self.most = f64::from(limits.slots).max(1.0);
        self.value = (self.value * self.share / before).clamp(self.least, self.most);
    }

    /// Returns whether another request may run and leave `kept` places free.
    pub(super) fn has_room(&self, running: u32, kept: f64) -> bool {
        f64::from(running) + kept + 1.0 <= self.value
    }

    /// Returns the limit, at least 1.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Records that the limit kept a request from running.
    pub(super) fn reached(&mut self) {
        self.reached = true;
    }

    /// Records that requests wait while none of the running ones ends: the limit grows, up to all slots.
    ///
    /// It learns from ended requests only, and would stay where it is while long ones hold all places.
    pub(super) fn stalled(&mut self, running: u32) {
        self.value = self.value.max(f64::from(running) + 1.0).min(self.most);
    }

    pub(super) fn observe(&mut self, now: Instant, rank: Rank, sample: &Sample) {
        match sample.verdict {
            Verdict::Shed => self.shed(now),
            Verdict::Success | Verdict::Timeout => {
                let latency = sample.latency.as_secs_f64();
                let ratio = self.baselines[rank.index()].observe(latency, self.reached);
                self.ratios.extend(ratio);
                if self.ratios.len() >= WINDOW {
                    self.adjust();
                }
            }
            _ => {}
        }
    }

    fn shed(&mut self, now: Instant) {
        let recent = |at| now.saturating_duration_since(at) < SHED_INTERVAL;
        if !self.shed_at.is_some_and(recent) {
            self.shed_at = Some(now);
            self.shrink();
        }
    }

    fn shrink(&mut self) {
        self.value = (self.value * SHRINK).max(self.least);
        self.ratios.clear();
        self.reached = false;
    }

    /// Raises the baselines at the least limit, where latency is not this entry's doing: the service itself is slower.
    fn learn(&mut self, factor: f64) {
        if self.value <= self.least {
            for baseline in &mut self.baselines {
                baseline.seconds *= factor;
            }
        }
    }

    fn adjust(&mut self) {
        let middle = self.ratios.len() / 2;
        let median = *self.ratios.select_nth_unstable_by(middle, f64::total_cmp).1;
        if median > INFLATED {
            self.learn(LEARN_FAST);
            self.shrink();
            return;
        }
        if median > NEAR {
            self.learn(LEARN_SLOWLY);
        } else if self.reached {
            self.value = (self.value + 1.0).min(self.most);
        }
        self.ratios.clear();
        self.reached = false;
    }
}

/// Returns an equal share of the slots, at least 1.
fn share(limits: &Limits) -> f64 {
    (f64::from(limits.slots) / f64::from(limits.entries.max(1))).max(1.0)
}
