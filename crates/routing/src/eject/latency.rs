//! Reference latency of a route over all workers.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of recent latencies of all workers that are kept.
const MAX_SAMPLES: usize = 64;
/// Minimum number of latencies for a reference.
const MIN_SAMPLES: usize = 16;
/// Number of latencies between two updates of the reference.
const UPDATE_INTERVAL: usize = 8;
/// Percentile of the latencies that is the reference. It is below the median, so that a slow worker out of two doesn't
/// become the reference.
const QUANTILE_PERCENT: usize = 40;
/// Multiple of the reference above which an attempt is slow. For a log-normal latency whose logarithm has a standard
/// deviation of 1, 13% of the attempts exceed it.
const SLOW_FACTOR: u32 = 4;
/// Constant part of the threshold, because the path to another availability zone and the scheduling take a few
/// milliseconds.
const SLOW_TOLERANCE: Duration = Duration::from_millis(5);

/// Reference latency of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct Latency {
    samples: VecDeque<Duration>,
    since_update: usize,
    threshold: Option<Duration>,
}

impl Latency {
    /// Records a latency; returns whether it was slow, if there is a reference.
    pub(super) fn observe(&mut self, latency: Duration) -> Option<bool> {
        let slow = self.threshold.map(|threshold| latency > threshold);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(latency);
        self.since_update += 1;
        if self.samples.len() >= MIN_SAMPLES && self.since_update >= UPDATE_INTERVAL {
            self.since_update = 0;
            let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
            let position = sorted.len() * QUANTILE_PERCENT / 100;
            let reference = *sorted.select_nth_unstable(position).1;
            self.threshold = Some(reference * SLOW_FACTOR + SLOW_TOLERANCE);
        }
        slow
    }
}
