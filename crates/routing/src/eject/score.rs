//! Sequential test whether a worker does worse than its peers.

use std::time::{Duration, Instant};

/// Time in which evidence loses half of its weight, so that old faults don't add up over hours. With 15 s, the
/// evidence of a worker with few requests faded before it was complete.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Weight of the newest attempt in the rate of bad attempts.
const NEWEST: f64 = 1.0 / 16.0;
/// Bad attempts of peers are multiplied by this before they count as normal, because their lower quartile is an estimate.
const MARGIN: f64 = 1.5;
/// Greatest normal rate; above it nothing can be told from a fault of the whole service.
const MAX_NORMAL: f64 = 0.9;
/// Evidence beyond the threshold that is kept, as a multiple of the threshold.
const KEPT: f64 = 1.2;

/// Kind of evidence.
#[derive(Clone, Copy, Debug)]
pub(super) struct Test {
    /// Rate of bad attempts that is always normal.
    pub(super) normal: f64,
    /// Distance of the faulty rate from the normal one, as a share of what is left to 1.
    pub(super) gap: f64,
    /// Log-likelihood ratio at which the evidence is sufficient.
    pub(super) threshold: f64,
}

/// Evidence against one worker: a cumulative sum of log-likelihood ratios (CUSUM).
#[derive(Clone, Debug, Default)]
pub(super) struct Score {
    sum: f64,
    rate: f64,
    last: Option<Instant>,
}

impl Score {
    /// Records an attempt; `peers` is the lower quartile of the rates of the peers, if there are any to compare with.
    pub(super) fn observe(&mut self, now: Instant, bad: bool, peers: Option<f64>, test: &Test) {
        let sum = self.sum(now);
        self.rate += NEWEST * (f64::from(u8::from(bad)) - self.rate);
        self.last = Some(now);
        let Some(peers) = peers else {
            self.sum = 0.0;
            return;
        };
        let normal = (MARGIN * peers).clamp(test.normal, MAX_NORMAL);
        let faulty = normal + test.gap * (1.0 - normal);
        let ratio = if bad {
            faulty / normal
        } else {
            (1.0 - faulty) / (1.0 - normal)
        };
        self.sum = (sum + ratio.ln()).clamp(0.0, KEPT * test.threshold);
    }

    /// Returns the evidence as a multiple of the threshold.
    pub(super) fn level(&self, now: Instant, test: &Test) -> f64 {
        self.sum(now) / test.threshold
    }

    /// Takes away the evidence that `part` has collected from the same attempts.
    pub(super) fn subtract(&mut self, now: Instant, part: &Self) {
        self.sum = (self.sum(now) - part.sum(now)).max(0.0);
        self.last = Some(now);
    }

    /// Returns the evidence beyond what `part` has collected from some of the attempts, as a multiple of the threshold.
    pub(super) fn level_beyond(&self, now: Instant, part: &Self, test: &Test) -> f64 {
        (self.sum(now) - part.sum(now)).max(0.0) / test.threshold
    }

    /// Sets the evidence to a multiple of the threshold.
    pub(super) fn reset(&mut self, now: Instant, level: f64, test: &Test) {
        self.sum = level * test.threshold;
        self.rate = 0.0;
        self.last = Some(now);
    }

    /// Returns the recent rate of bad attempts.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the instant of the last attempt.
    pub(super) fn last(&self) -> Option<Instant> {
        self.last
    }

    fn sum(&self, now: Instant) -> f64 {
        // The usual case, without a power.
        if self.sum <= 0.0 {
            return 0.0;
        }
        let idle = self.last.map(|l| now.saturating_duration_since(l));
        let halvings = idle.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.sum * 0.5_f64.powf(halvings)
    }
}
