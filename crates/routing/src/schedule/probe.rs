//! Which workers are probed after failures, and by which requests.
//!
//! Load pattern: three workers in ten fail most requests for some seconds. A probe of such a worker fails a request,
//! which is lost if it must not run twice. A worker that isn't probed stays unused after it has recovered, and the floor
//! demands that most workers are in use while many requests fail.

use std::time::Instant;

use super::upstream::Upstream;
use super::{Request, Scheduler};

/// One of this many workers may be avoided for longer than 2 s. At least 70% of the healthy workers must stay in use, and
/// a worker that failed counts as healthy again after 2 s; the remainder is reserved for workers that are avoided for
/// other reasons.
const WORKERS_PER_LONG_AVOIDANCE: f64 = 5.0;
/// The same where the floor is kept by probes and no request waits, so that other workers have free slots.
const WORKERS_PER_LONG_AVOIDANCE_WITH_PROBES: f64 = 2.5;
/// Share of requests that may be repeated below which other requests are probes too.
const MIN_REPEATABLE_SHARE: f64 = 0.1;
/// Weight of a new request in the share of those that may be repeated.
const REPEATABLE_WEIGHT: f64 = 0.02;

/// Group of workers from which one is selected.
#[derive(Clone, Copy, Debug)]
pub(super) enum Group {
    /// Workers that are not avoided.
    Accepted,
    /// Workers that are avoided.
    Avoided,
    /// Workers that are avoided because they failed, not because they can't be reached.
    Suspect,
    /// Avoided workers that have failed only once and have no request in progress.
    Doubtful,
    /// Accepted workers without those that a probe in progress will show to be faulty or not.
    Unprobed,
}

impl Group {
    pub(super) fn contains(self, now: Instant, upstream: &Upstream) -> bool {
        match self {
            Self::Accepted => !upstream.is_avoided(now),
            Self::Avoided => upstream.is_avoided(now),
            Self::Suspect => upstream.is_avoided(now) && !upstream.is_unreachable(now),
            Self::Doubtful => {
                upstream.is_avoided(now)
                    && !upstream.is_unreachable(now)
                    && !upstream.is_avoided_longer(now)
                    && !upstream.is_probed()
            }
            Self::Unprobed => !upstream.is_avoided(now) && !upstream.is_probed(),
        }
    }
}

/// Selects the idle workers that get probes.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProbeMode {
    /// All of them, because the failure rate is high.
    All,
    /// Those with the lowest suspicion first, because too few workers are in use.
    LeastSuspect,
}

impl ProbeMode {
    /// Returns the cost of an idle worker, which is lower than that of any worker in use.
    pub(super) fn cost(self, suspicion: f64) -> f64 {
        match self {
            Self::All => 0.0,
            Self::LeastSuspect => suspicion,
        }
    }
}

impl Scheduler {
    /// Returns whether one more worker can be avoided for longer while enough workers stay in use.
    pub(super) fn may_avoid_longer(&self, now: Instant) -> bool {
        let upstreams = self.upstreams.values();
        let avoided_longer = upstreams.filter(|u| u.is_avoided_longer(now)).count();
        let per_avoidance = if self.floor.is_some() && self.queue_len() == 0 {
            WORKERS_PER_LONG_AVOIDANCE_WITH_PROBES
        } else {
            WORKERS_PER_LONG_AVOIDANCE
        };
        count(avoided_longer + 1) * per_avoidance <= count(self.usable_workers())
    }

    /// Returns whether a request that finds no slot at an accepted worker may probe a doubtful one. Most workers that fail
    /// once are healthy, and their slots are needed.
    pub(super) fn may_use_doubtful(&self, request: &Request) -> bool {
        self.floor.is_some() && !request.at_most_once
    }

    /// Records whether a request that got a slot may be repeated.
    pub(super) fn record_repeatable(&mut self, request: &Request) {
        let repeatable = f64::from(u8::from(!request.at_most_once));
        self.repeatable_share += REPEATABLE_WEIGHT * (repeatable - self.repeatable_share);
    }

    /// Returns whether a request may be a probe. A failed probe is lost if the request must not run twice, so such
    /// requests are probes only while the failure rate is high, or where the service has no others and the probes are
    /// needed soon or hardly ever fail.
    fn may_probe(&self, request: &Request) -> bool {
        let rate = &self.failure_rate;
        !request.at_most_once
            || rate.is_high()
            || (self.repeatable_share < MIN_REPEATABLE_SHARE
                && (rate.is_elevated() || rate.is_low()))
    }

    /// Returns which idle workers of the zone the request should probe.
    pub(super) fn probe_mode(&self, now: Instant, request: &Request) -> Option<ProbeMode> {
        let floor = self.floor.filter(|_| self.may_probe(request))?;
        if self.failure_rate.is_high() {
            return Some(ProbeMode::All);
        }
        // Where many requests fail soon, workers that have just failed don't make up for others that are idle.
        let is_elevated = self.failure_rate.is_elevated();
        self.is_floor_missed(now, floor, |u| !is_elevated || !u.has_just_failed(now))
            .then_some(ProbeMode::LeastSuspect)
    }

    /// Returns whether the floor requires that avoided workers get requests too: the failure rate is high, and no other
    /// worker of the zone is idle.
    pub(super) fn needs_avoided(&self, now: Instant, request: &Request) -> bool {
        let Some(floor) = self.floor.filter(|_| self.failure_rate.is_high()) else {
            return false;
        };
        let takes = |u: &&Upstream| u.zone() == &self.zone && u.takes(now, request.remote);
        let mut idle = self
            .upstreams
            .values()
            .filter(takes)
            .filter(|u| u.is_idle(now));
        let is_sound = |u: &Upstream| !u.has_just_failed(now);
        idle.all(|u| u.is_avoided(now)) && self.is_floor_missed(now, floor, is_sound)
    }

    /// Returns whether fewer of those workers of the zone that count for the floor had a request recently than it demands.
    fn is_floor_missed(
        &self,
        now: Instant,
        floor: f64,
        counts: impl Fn(&Upstream) -> bool,
    ) -> bool {
        let is_local = |u: &&Upstream| !u.is_gone() && u.zone() == &self.zone && counts(u);
        let local = || self.upstreams.values().filter(is_local);
        let used = local().filter(|u| !u.is_idle(now)).count();
        count(used) < floor * count(local().count())
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
