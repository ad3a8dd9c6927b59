//! Slots kept free for urgent requests that can't wait until long requests end.

use std::time::{Duration, Instant};

use chestnutvalve_model::rank::{PerRank, Rank};

use super::Request;
use super::credit::Credits;

/// Time after its last request for which slots are kept free for a rank.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Weight of the newest value in the means.
const NEWEST_WEIGHT: f64 = 0.1;
/// Expected number of ended requests from which no slots are kept free: the natural logarithm of 1,000. With
/// exponential service times, one of `n` running requests ends within `t` mean service times in all but 1 of 1,000
/// cases if `n * t` is at least this.
const MIN_EXPECTED_ENDS: f64 = 6.9;

/// Demand of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    last_arrival: Option<Instant>,
    /// Mean time from arrival to the deadline, in seconds.
    deadline: f64,
    /// Mean time between two arrivals, in seconds.
    interval: f64,
}

/// Current use of the capacity.
pub(super) struct Usage<'a> {
    pub(super) running: &'a [u32; 3],
    pub(super) credits: &'a Credits,
    pub(super) percent: &'a PerRank<u8>,
    pub(super) limit: f64,
}

/// Computes how many slots less urgent ranks must leave free.
///
/// While short requests run, a slot is released in time and none is kept free, so that unused shares can be used.
#[derive(Clone, Debug, Default)]
pub(super) struct Headroom {
    demands: [Demand; 3],
}

impl Headroom {
    /// Records a new request.
    pub(super) fn record_arrival(&mut self, now: Instant, request: &Request) {
        let demand = &mut self.demands[request.rank.index()];
        let left = request
            .deadline
            .saturating_duration_since(now)
            .as_secs_f64();
        if let Some(last) = demand.last_arrival {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            demand.deadline += NEWEST_WEIGHT * (left - demand.deadline);
            demand.interval += NEWEST_WEIGHT * (interval - demand.interval);
        } else {
            // A rank that was idle starts with a low demand.
            (demand.deadline, demand.interval) = (left, ACTIVE_TIMEOUT.as_secs_f64());
        }
        demand.last_arrival = Some(now);
    }

    /// Returns the number of slots that a new request of `rank` must leave free.
    pub(super) fn kept_free(&self, now: Instant, rank: Rank, usage: &Usage<'_>) -> f64 {
        let urgent = Rank::ALL.into_iter().filter(|&r| r < rank);
        urgent.map(|r| self.unmet_demand(now, r, usage)).sum()
    }

    /// Returns the number of slots that `rank` needs and doesn't use.
    fn unmet_demand(&self, now: Instant, rank: Rank, usage: &Usage<'_>) -> f64 {
        let demand = &self.demands[rank.index()];
        let active = |last| now.saturating_duration_since(last) < ACTIVE_TIMEOUT;
        let service = usage.credits.service_time(rank);
        let (true, Some(service)) = (demand.last_arrival.is_some_and(active), service) else {
            return 0.0;
        };
        let slack = (demand.deadline - service).max(0.0);
        let longer = Rank::ALL.into_iter().filter(|&r| r > rank);
        let ends = longer.map(|r| {
            let other = usage.credits.service_time(r).unwrap_or(service).max(1e-6);
            f64::from(usage.running[r.index()]) * slack / other
        });
        if ends.sum::<f64>() >= MIN_EXPECTED_ENDS {
            return 0.0;
        }
        // The number of requests in progress has a standard deviation of the square root of the load.
        let load = service / demand.interval.max(1e-6);
        let share = f64::from(*usage.percent.get(rank)) / 100.0 * usage.limit;
        let needed = (load + load.sqrt()).min(share).max(1.0);
        let free = needed - f64::from(usage.running[rank.index()]);
        free.max(0.0)
    }
}
