//! Speed at which the workers of a service answer this entry, and what is left of it for each rank.

use std::collections::VecDeque;
use std::time::Duration;

use chestnutvalve_model::rank::Rank;

/// Weight of a new response time in the typical one.
const WEIGHT: f64 = 0.05;
/// Response time assumed before the first response.
const FIRST: Duration = Duration::from_millis(100);
/// Starts of requests from which the shares of the ranks are taken.
const WINDOW: usize = 24;
/// Least share of the places that a rank is taken to get.
const LEAST_SHARE: f64 = 0.05;
/// Deviations above the typical response time that make a response slow. Work times have a log-normal spread of 0.5 to
/// 0.8, so that about one in fifty is slower.
const SLOW_DEVIATIONS: f64 = 4.0;
/// Least time after which a response counts as slow.
const LEAST_SLOW: Duration = Duration::from_millis(100);

/// Response times and shares of the ranks.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    /// Mean response time and mean deviation, in seconds.
    mean: Option<(f64, f64)>,
    /// Ranks of the last requests that got a place.
    starts: VecDeque<Rank>,
}

impl Pace {
    /// Records a response.
    pub(super) fn served(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = Some(match self.mean {
            None => (time, time / 2.0),
            Some((mean, deviation)) => (
                mean + WEIGHT * (time - mean),
                deviation + WEIGHT * ((time - mean).abs() - deviation),
            ),
        });
    }

    /// Records that a request of a rank got a place.
    pub(super) fn started(&mut self, rank: Rank) {
        self.starts.push_back(rank);
        if self.starts.len() > WINDOW {
            self.starts.pop_front();
        }
    }

    /// Returns the share of the places that more urgent requests leave to a rank.
    fn left_to(&self, rank: Rank) -> f64 {
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let left = self.starts.iter().filter(|r| **r >= rank).count();
        let share = (count(left) + 1.0) / (count(self.starts.len()) + 1.0);
        share.max(LEAST_SHARE)
    }

    /// Returns the usual response time.
    pub(super) fn typical(&self) -> Duration {
        self.mean
            .map_or(FIRST, |(mean, _)| Duration::from_secs_f64(mean))
    }

    /// Returns the time after which a response is unusually late.
    pub(super) fn slow(&self) -> Duration {
        let slow = self
            .mean
            .map_or(4.0 * FIRST.as_secs_f64(), |(mean, deviation)| {
                mean + SLOW_DEVIATIONS * deviation
            });
        Duration::from_secs_f64(slow).max(LEAST_SLOW)
    }

    /// Returns the expected wait of a request of a rank behind `ahead` others while `running` ones run, which are all
    /// that this entry has room for: slots that other entries use are not its own. More urgent requests that have yet to
    /// come take their share.
    pub(super) fn wait(&self, rank: Rank, ahead: usize, running: u32) -> Duration {
        let rate = f64::from(running.max(1)) / self.typical().as_secs_f64();
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        let wait = ahead / (rate * self.left_to(rank));
        Duration::from_secs_f64(wait.clamp(0.0, 3_600.0))
    }
}
