//! Places kept free for urgent requests that could not wait for long ones to end.

use std::time::{Duration, Instant};

use chestnutvalve_model::rank::{PerRank, Rank};

use super::Request;
use super::share::Share;

/// Time after its last request for which places are kept for a rank.
const ACTIVE: Duration = Duration::from_secs(10);
/// Weight of the newest time to the deadline in the average.
const NEWEST: f64 = 0.1;
/// Natural logarithm of 1,000: of exponential service times, one of `n` running requests ends within `t` average
/// service times in all but 1 of 1,000 cases if `n * t` is at least this.
const RARE: f64 = 6.9;

/// Demand of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    last: Option<Instant>,
    /// Average time from arrival to the deadline, in seconds.
    deadline: f64,
    /// Average time between two arrivals, in seconds.
    interval: f64,
}

/// Present use of the capacity.
pub(super) struct Usage<'a> {
    pub(super) running: &'a [u32; 3],
    pub(super) shares: &'a Share,
    pub(super) percent: &'a PerRank<u8>,
    pub(super) limit: f64,
}

/// Decides how many places less urgent ranks leave free.
///
/// While short requests run, a place becomes free in time and nothing is kept, so that unused shares are used.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    demands: [Demand; 3],
}

impl Reserve {
    /// Records a new request.
    pub(super) fn arrive(&mut self, now: Instant, ticket: &Request) {
        let demand = &mut self.demands[ticket.rank.index()];
        let left = ticket.deadline.saturating_duration_since(now).as_secs_f64();
        if let Some(last) = demand.last {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            demand.deadline += NEWEST * (left - demand.deadline);
            demand.interval += NEWEST * (interval - demand.interval);
        } else {
            // A rank that was idle starts with a low demand.
            (demand.deadline, demand.interval) = (left, ACTIVE.as_secs_f64());
        }
        demand.last = Some(now);
    }

    /// Returns the places that a new request of `rank` must leave free.
    pub(super) fn places(&self, now: Instant, rank: Rank, usage: &Usage<'_>) -> f64 {
        let urgent = Rank::ALL.into_iter().filter(|&r| r < rank);
        urgent.map(|r| self.missing(now, r, usage)).sum()
    }

    /// Returns the places that `rank` needs and does not use.
    fn missing(&self, now: Instant, rank: Rank, usage: &Usage<'_>) -> f64 {
        let demand = &self.demands[rank.index()];
        let active = |last| now.saturating_duration_since(last) < ACTIVE;
        let service = usage.shares.service(rank);
        let (true, Some(service)) = (demand.last.is_some_and(active), service) else {
            return 0.0;
        };
        let slack = (demand.deadline - service).max(0.0);
        let longer = Rank::ALL.into_iter().filter(|&r| r > rank);
        let ends = longer.map(|r| {
            let other = usage.shares.service(r).unwrap_or(service).max(1e-6);
            f64::from(usage.running[r.index()]) * slack / other
        });
        if ends.sum::<f64>() >= RARE {
            return 0.0;
        }
        // The requests in progress vary around the load by its square root.
        let load = service / demand.interval.max(1e-6);
        let share = f64::from(*usage.percent.get(rank)) / 100.0 * usage.limit;
        let needed = (load + load.sqrt()).min(share).max(1.0);
        let free = needed - f64::from(usage.running[rank.index()]);
        free.max(0.0)
    }
}
