//! Order of the ranks: strict urgency above minimum shares.

use chestnutvalve_model::rank::{PerRank, Rank};

/// Weight of the newest service time in the average.
const NEWEST: f64 = 0.1;
/// Excess of the credit over the share. Credits follow averages and the limit is at times below the slots; without an
/// excess the bottom rank had 4.95% of the slots instead of 5%.
const MARGIN: f64 = 1.03;
/// Most credit of a rank, in requests, so that a rank that got its share late is not served in bursts.
const MAX_CREDIT: f64 = 2.0;

/// Credits of the ranks, in seconds of service time. Each start gives every waiting rank its share of the started
/// service time, so that a share is one of the capacity and not of the number of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Share {
    credit: [f64; 3],
    service: [Option<Service>; 3],
}

/// Service time of a rank, in seconds.
#[derive(Clone, Copy, Debug)]
struct Service {
    average: f64,
    /// Average distance from the average.
    deviation: f64,
}

impl Share {
    /// Records the service time of a finished request, in seconds.
    pub(super) fn observe(&mut self, rank: Rank, seconds: f64) {
        let first = Service {
            average: seconds,
            deviation: 0.0,
        };
        let service = self.service[rank.index()].get_or_insert(first);
        let distance = seconds - service.average;
        service.average += NEWEST * distance;
        service.deviation += NEWEST * (distance.abs() - service.deviation);
    }

    /// Returns the average service time of a rank in seconds, if it is known.
    pub(super) fn service(&self, rank: Rank) -> Option<f64> {
        self.service[rank.index()].map(|s| s.average)
    }

    /// Returns the service time that a request of a rank exceeds rarely: the average and `deviations` deviations.
    pub(super) fn long_service(&self, rank: Rank, deviations: f64) -> f64 {
        let service = self.service[rank.index()];
        service.map_or(0.0, |s| s.average + deviations * s.deviation)
    }

    /// Returns the service time of a rank, or an estimate from the others.
    fn cost(&self, rank: Rank) -> f64 {
        let known = self
            .service(rank)
            .or_else(|| Rank::ALL.into_iter().find_map(|r| self.service(r)));
        known.unwrap_or(1.0).max(1e-6)
    }

    /// Returns the rank to serve next: a waiting one with a whole request of credit, else the most urgent waiting one
    /// that has room.
    pub(super) fn next(
        &self,
        waiting: impl Fn(Rank) -> bool,
        has_room: impl Fn(Rank) -> bool,
    ) -> Option<Rank> {
        let ranks = Rank::ALL.into_iter().filter(|&r| waiting(r));
        let mut due = ranks
            .clone()
            .filter(|&r| self.credit[r.index()] >= self.cost(r));
        due.next().or_else(|| ranks.clone().find(|&r| has_room(r)))
    }

    /// Accounts for a started request; `waiting` tells the ranks that waited before the start.
    pub(super) fn start(
        &mut self,
        rank: Rank,
        shares: PerRank<u8>,
        waiting: impl Fn(Rank) -> bool,
    ) {
        let cost = self.cost(rank);
        for other in Rank::ALL {
            let most = MAX_CREDIT * self.cost(other);
            let credit = &mut self.credit[other.index()];
            if waiting(other) {
                let share = f64::from(*shares.get(other)) / 100.0 * MARGIN;
                *credit = (*credit + share * cost).min(most);
            } else {
                *credit = 0.0;
            }
        }
        let credit = &mut self.credit[rank.index()];
        *credit = (*credit - cost).max(0.0);
    }
}
