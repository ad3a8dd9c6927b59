//! Response times of a service's workers at this entry, and the share of the throughput that is left to each rank.

use std::collections::VecDeque;
use std::time::Duration;

use chestnutvalve_model::rank::Rank;

/// Weight of a new response time in the mean.
const NEWEST_WEIGHT: f64 = 0.05;
/// Response time assumed before the first response.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Number of recent starts from which the shares of the ranks are computed.
const START_WINDOW: usize = 24;
/// Minimum share of the slots that a rank is assumed to get.
const MIN_SHARE: f64 = 0.05;
/// Mean deviations above the mean response time from which a response is late. Service times are log-normal with a
/// standard deviation of 0.5 to 0.8, so about one in fifty responses is later.
const LATE_DEVIATIONS: f64 = 4.0;
/// Minimum time after which a response counts as late.
const MIN_LATE_THRESHOLD: Duration = Duration::from_millis(100);

/// Response times, and recent starts by rank.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    /// Mean response time and mean deviation, in seconds.
    mean: Option<(f64, f64)>,
    /// Ranks of the last requests that got a slot.
    starts: VecDeque<Rank>,
}

impl ServiceTimes {
    pub(super) fn record_response(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = Some(match self.mean {
            None => (time, time / 2.0),
            Some((mean, deviation)) => (
                mean + NEWEST_WEIGHT * (time - mean),
                deviation + NEWEST_WEIGHT * ((time - mean).abs() - deviation),
            ),
        });
    }

    /// Records that a request of a rank got a slot.
    pub(super) fn record_start(&mut self, rank: Rank) {
        self.starts.push_back(rank);
        if self.starts.len() > START_WINDOW {
            self.starts.pop_front();
        }
    }

    /// Returns the share of the slots that more urgent requests leave to a rank.
    fn share_left_to(&self, rank: Rank) -> f64 {
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        let left = self.starts.iter().filter(|r| **r >= rank).count();
        let share = (count(left) + 1.0) / (count(self.starts.len()) + 1.0);
        share.max(MIN_SHARE)
    }

    /// Returns the mean response time.
    pub(super) fn typical(&self) -> Duration {
        self.mean.map_or(INITIAL_RESPONSE_TIME, |(mean, _)| {
            Duration::from_secs_f64(mean)
        })
    }

    /// Returns the time after which a response is late.
    pub(super) fn late_threshold(&self) -> Duration {
        let threshold = self.mean.map_or(
            4.0 * INITIAL_RESPONSE_TIME.as_secs_f64(),
            |(mean, deviation)| mean + LATE_DEVIATIONS * deviation,
        );
        Duration::from_secs_f64(threshold).max(MIN_LATE_THRESHOLD)
    }

    /// Returns the expected wait of a request of `rank` behind `ahead` others while `running` requests are in progress.
    ///
    /// `running` is the capacity of this entry; slots that other entries use don't count. More urgent requests that are
    /// yet to arrive take their share.
    pub(super) fn expected_wait(&self, rank: Rank, ahead: usize, running: u32) -> Duration {
        let rate = f64::from(running.max(1)) / self.typical().as_secs_f64();
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        let wait = ahead / (rate * self.share_left_to(rank));
        Duration::from_secs_f64(wait.clamp(0.0, 3_600.0))
    }
}
