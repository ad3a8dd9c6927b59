//! Scheduling order of the ranks: strict priority above minimum shares.

use chestnutvalve_model::rank::{PerRank, Rank};

/// Weight of the newest service time in the mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Factor on the credit that a share earns. Credits follow means, and the limit is at times below the slots; without a
/// margin the bottom rank got 4.95% of the slots instead of 5%.
const CREDIT_MARGIN: f64 = 1.03;
/// Maximum credit of a rank, in requests, so that a rank whose share was delayed isn't served in bursts.
const MAX_CREDIT: f64 = 2.0;

/// Credits of the ranks, in seconds of service time. Each start credits every waiting rank with its share of the
/// started service time, so that shares refer to the capacity and not to the number of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Credits {
    credits: [f64; 3],
    service_times: [Option<ServiceTime>; 3],
}

/// Service time of a rank, in seconds.
#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    average: f64,
    /// Mean absolute deviation.
    deviation: f64,
}

impl Credits {
    /// Records the service time of a finished request, in seconds.
    pub(super) fn observe(&mut self, rank: Rank, seconds: f64) {
        let first = ServiceTime {
            average: seconds,
            deviation: 0.0,
        };
        let service = self.service_times[rank.index()].get_or_insert(first);
        let distance = seconds - service.average;
        service.average += NEWEST_WEIGHT * distance;
        service.deviation += NEWEST_WEIGHT * (distance.abs() - service.deviation);
    }

    /// Returns the mean service time of a rank in seconds, if it is known.
    pub(super) fn service_time(&self, rank: Rank) -> Option<f64> {
        self.service_times[rank.index()].map(|s| s.average)
    }

    /// Returns a service time that requests of a rank rarely exceed: the mean plus `deviations` mean deviations.
    pub(super) fn long_service_time(&self, rank: Rank, deviations: f64) -> f64 {
        let service = self.service_times[rank.index()];
        service.map_or(0.0, |s| s.average + deviations * s.deviation)
    }

    /// Returns the service time of a rank, or an estimate from the other ranks.
    fn cost(&self, rank: Rank) -> f64 {
        let known = self
            .service_time(rank)
            .or_else(|| Rank::ALL.into_iter().find_map(|r| self.service_time(r)));
        known.unwrap_or(1.0).max(1e-6)
    }

    /// Returns the rank to serve next: a waiting one whose credit covers a request, or else the most urgent waiting one
    /// that has room.
    pub(super) fn next_rank(
        &self,
        waiting: impl Fn(Rank) -> bool,
        has_room: impl Fn(Rank) -> bool,
    ) -> Option<Rank> {
        let ranks = Rank::ALL.into_iter().filter(|&r| waiting(r));
        let mut due = ranks
            .clone()
            .filter(|&r| self.credits[r.index()] >= self.cost(r));
        due.next().or_else(|| ranks.clone().find(|&r| has_room(r)))
    }

    /// Debits the started request; `waiting` returns whether a rank had queued requests before the start.
    pub(super) fn record_start(
        &mut self,
        rank: Rank,
        shares: PerRank<u8>,
        waiting: impl Fn(Rank) -> bool,
    ) {
        let cost = self.cost(rank);
        for other in Rank::ALL {
            let limit = MAX_CREDIT * self.cost(other);
            let credit = &mut self.credits[other.index()];
            if waiting(other) {
                let share = f64::from(*shares.get(other)) / 100.0 * CREDIT_MARGIN;
                *credit = (*credit + share * cost).min(limit);
            } else {
                *credit = 0.0;
            }
        }
        let credit = &mut self.credits[rank.index()];
        *credit = (*credit - cost).max(0.0);
    }
}
