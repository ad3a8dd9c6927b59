//! Sequential test of whether a worker performs worse than its peers.

use std::time::{Duration, Instant};

/// Half-life of evidence, so that old faults don't add up over hours. With 15 s, the evidence against a worker with few
/// requests decayed before it was sufficient.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Weight of the newest attempt in the rate of bad attempts.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;
/// Factor on the peers' rate of bad attempts for the normal rate, because the lower quartile is an estimate.
const PEER_RATE_MARGIN: f64 = 1.5;
/// Maximum normal rate. Above it a faulty worker can't be distinguished from a fault of the whole service.
const MAX_NORMAL_RATE: f64 = 0.9;
/// Maximum accumulated evidence, as a multiple of the threshold.
const MAX_LEVEL: f64 = 1.2;

/// Parameters of the test for one kind of evidence.
#[derive(Clone, Copy, Debug)]
pub(super) struct TestParameters {
    /// Minimum normal rate of bad attempts.
    pub(super) normal_rate: f64,
    /// Difference between the faulty and the normal rate, as a share of the difference between 1 and the normal rate.
    pub(super) rate_gap: f64,
    /// Log-likelihood ratio at which the evidence is sufficient.
    pub(super) threshold: f64,
}

/// Evidence against one worker: a cumulative sum (CUSUM) of log-likelihood ratios.
#[derive(Clone, Debug, Default)]
pub(super) struct Cusum {
    sum: f64,
    rate: f64,
    last_attempt: Option<Instant>,
}

impl Cusum {
    /// Records an attempt. `peers` is the lower quartile of the peers' rates, or `None` without enough peers.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        bad: bool,
        peers: Option<f64>,
        test: &TestParameters,
    ) {
        let sum = self.sum(now);
        self.rate += NEWEST_WEIGHT * (f64::from(u8::from(bad)) - self.rate);
        self.last_attempt = Some(now);
        let Some(peers) = peers else {
            self.sum = 0.0;
            return;
        };
        let normal = (PEER_RATE_MARGIN * peers).clamp(test.normal_rate, MAX_NORMAL_RATE);
        let faulty = normal + test.rate_gap * (1.0 - normal);
        let ratio = if bad {
            faulty / normal
        } else {
            (1.0 - faulty) / (1.0 - normal)
        };
        self.sum = (sum + ratio.ln()).clamp(0.0, MAX_LEVEL * test.threshold);
    }

    /// Returns the evidence as a multiple of the threshold.
    pub(super) fn level(&self, now: Instant, test: &TestParameters) -> f64 {
        self.sum(now) / test.threshold
    }

    /// Subtracts the evidence that `part` collected from the same attempts.
    pub(super) fn subtract(&mut self, now: Instant, part: &Self) {
        self.sum = (self.sum(now) - part.sum(now)).max(0.0);
        self.last_attempt = Some(now);
    }

    /// Returns the evidence beyond that in `part`, which comes from a subset of the attempts, as a multiple of the
    /// threshold.
    pub(super) fn level_beyond(&self, now: Instant, part: &Self, test: &TestParameters) -> f64 {
        (self.sum(now) - part.sum(now)).max(0.0) / test.threshold
    }

    /// Sets the evidence to a multiple of the threshold.
    pub(super) fn reset(&mut self, now: Instant, level: f64, test: &TestParameters) {
        self.sum = level * test.threshold;
        self.rate = 0.0;
        self.last_attempt = Some(now);
    }

    /// Returns the recent rate of bad attempts.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    pub(super) fn last_attempt(&self) -> Option<Instant> {
        self.last_attempt
    }

    fn sum(&self, now: Instant) -> f64 {
        // The common case avoids computing a power.
        if self.sum <= 0.0 {
            return 0.0;
        }
        let idle = self.last_attempt.map(|l| now.saturating_duration_since(l));
        let halvings = idle.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.sum * 0.5_f64.powf(halvings)
    }
}
