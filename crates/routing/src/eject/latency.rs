//! Reference latency of a route over all workers.

use std::collections::VecDeque;
use std::time::Duration;

/// Latest latencies of all workers that are kept.
const KEPT: usize = 64;
/// Fewest latencies for a reference.
const ENOUGH: usize = 16;
/// Attempts after which the reference is computed again.
const INTERVAL: usize = 8;
/// Share of the latencies below the reference. It is below one half, so that one of two workers that is slow does not
/// become the reference.
const QUANTILE_PERCENT: usize = 40;
/// Multiple of the reference above which an attempt is slow. Of a log-normal latency with a standard deviation of 1
/// in the logarithm, 13% are above.
const FACTOR: u32 = 4;
/// Part of the limit that does not depend on the reference, because the way to another availability zone and the
/// scheduling take a few milliseconds.
const ALLOWANCE: Duration = Duration::from_millis(5);

/// Reference latency of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct Latency {
    latest: VecDeque<Duration>,
    stale: usize,
    limit: Option<Duration>,
}

impl Latency {
    /// Records a latency and returns whether it was slow, if enough are known.
    pub(super) fn observe(&mut self, latency: Duration) -> Option<bool> {
        let slow = self.limit.map(|limit| latency > limit);
        if self.latest.len() == KEPT {
            self.latest.pop_front();
        }
        self.latest.push_back(latency);
        self.stale += 1;
        if self.latest.len() >= ENOUGH && self.stale >= INTERVAL {
            self.stale = 0;
            let mut sorted: Vec<Duration> = self.latest.iter().copied().collect();
            let position = sorted.len() * QUANTILE_PERCENT / 100;
            let reference = *sorted.select_nth_unstable(position).1;
            self.limit = Some(reference * FACTOR + ALLOWANCE);
        }
        slow
    }
}
