//! Which availability zones may serve a request, from the state of the own zone and the last summary of each other one.
//!
//! Load pattern: the demand of one zone exceeds its slots for some seconds while other zones have free ones, several
//! zones may be short at once, and bytes between zones are expensive. A zone that decides from old summaries must not
//! send more than the other one can take, and zones must not send each other requests in circles.
//!
//! Each zone publishes the slots that its own requests leave. Zones that are short of slots divide them: each may have its
//! part of them in use at any time. An absolute bound needs no feedback, so that the age of a summary causes no
//! oscillation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Worker, Zone};
use chestnutvalve_model::rank::Rank;

use super::queue::Queue;
use super::upstream::Upstream;
use super::{Request, Scheduler};

/// Additional load, in slots, of a worker in another zone whose summary is known. It exceeds the cost of any worker of the
/// own zone that answers at the usual speed and doesn't fail.
const DETOUR_COST: f64 = 1.5;
/// The same for a response that is large.
const DETOUR_COST_DOWNLOAD: f64 = 3.0;
/// Age from which a summary counts as unknown. Demand moves between zones within some seconds.
const MAX_AGE: Duration = Duration::from_millis(2_500);
/// Share of the response time by which a request may wait for a slot of its zone. Callers don't notice it.
const WAIT_SHARE: f64 = 0.05;
/// Minimum of that wait: the time on the way to another zone and back.
const MIN_WAIT: Duration = Duration::from_millis(10);
/// The wait for large responses, relative to that of others.
const DOWNLOAD_WAIT_FACTOR: f64 = 2.0;
/// Part of the wait from which a zone is short below which it no longer is.
const END_FACTOR: f64 = 0.5;
/// Share of its slots that a zone keeps for itself, by the rank of the request that another zone would send. The own
/// urgent requests must not wait for deferrable ones of others.
const RESERVE: [f64; 3] = [0.05, 0.1, 0.15];
/// Additional reserve for each second of a summary's age: a zone's demand may rise by half within some seconds.
const RESERVE_GROWTH: f64 = 0.02;
/// Time for which a new coordinator offers no slots. Requests that the last one dispatched still run.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// What the coordinator of a service in a zone tells those in other zones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Slots of the zone's workers that are not avoided.
    pub slots: u32,
    /// Slots that the zone's own requests leave, 0 if it is short.
    pub spare: u32,
    /// Whether the zone has less room than it needs.
    pub is_short: bool,
    /// Queued requests by rank, most urgent first.
    pub queued: [u32; 3],
    /// Requests that the zone has in progress in each other zone.
    pub sent: BTreeMap<Zone, u32>,
}

/// Number of requests sent to another zone, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Spills {
    /// The own zone had no free slot, and the wait was worth the way, or none of its workers could serve the request.
    pub full: u64,
    /// The workers of the own zone that had room were slow or likely to fail.
    pub better: u64,
    /// No other zone had sent a summary.
    pub unknown: u64,
}

/// Summary of another zone.
#[derive(Clone, Debug)]
struct Remote {
    summary: Summary,
    /// When the other zone had this state.
    at: Instant,
}

/// What is known about zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Zones {
    remotes: BTreeMap<Zone, Remote>,
    /// Expected wait from which requests leave the zone, and whether it is exceeded.
    threshold: f64,
    wait: f64,
    is_short: bool,
    /// Time of the first summary of this coordinator.
    since: Option<Instant>,
    spills: BTreeMap<Zone, Spills>,
}

/// Which zones a request may use.
#[derive(Clone, Debug)]
pub(super) struct Access {
    /// Whether an accepted worker of the own zone has room.
    pub(super) has_local_room: bool,
    /// Other zones, each with the part of the slots for this one that is in use. `None` if there was no summary yet.
    others: Option<Vec<(Zone, f64)>>,
}

impl Access {
    /// Returns whether requests keep to the rules for zones whose summaries are known.
    pub(super) fn is_known(&self) -> bool {
        self.others.is_some()
    }

    /// Returns the additional cost of a worker in another zone, `former` if nothing is known about zones. Returns `None`
    /// if the zone must not be used.
    pub(super) fn detour(&self, zone: &Zone, download: bool, former: f64) -> Option<f64> {
        let Some(zones) = &self.others else {
            return Some(former);
        };
        let (_, used) = zones.iter().find(|(known, _)| known == zone)?;
        let detour = if download {
            DETOUR_COST_DOWNLOAD
        } else {
            DETOUR_COST
        };
        Some(detour + used)
    }

    /// Returns whether a worker of the own zone is so slow or likely to fail that others should be compared with it.
    pub(super) fn is_poor(&self, cost: f64) -> bool {
        self.is_known() && cost > DETOUR_COST
    }
}

impl Zones {
    /// Records the expected wait for a slot of the zone. Below the threshold, a lower one must be reached until the zone
    /// is no longer short.
    fn record_wait(&mut self, wait: f64, typical: Duration) {
        self.wait = wait;
        self.threshold = (WAIT_SHARE * typical.as_secs_f64()).max(MIN_WAIT.as_secs_f64());
        let factor = if self.is_short { END_FACTOR } else { 1.0 };
        self.is_short = wait > factor * self.threshold;
    }

    /// Returns the summaries that are not too old.
    fn known(&self, now: Instant) -> impl Iterator<Item = (&Zone, &Remote)> {
        let is_known = move |r: &Remote| now.saturating_duration_since(r.at) <= MAX_AGE;
        self.remotes.iter().filter(move |(_, r)| is_known(r))
    }

    /// Returns how many requests of a rank this zone may have in progress in another one.
    fn cap(&self, now: Instant, zone: &Zone, remote: &Remote, rank: Rank) -> f64 {
        let summary = &remote.summary;
        let queued: u32 = summary.queued[..=rank.index()].iter().sum();
        if summary.is_short || queued > 0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(remote.at).as_secs_f64();
        let reserve = RESERVE[rank.index()] + RESERVE_GROWTH * age;
        // What zones that are no longer short have in progress there ends soon; those that are short get equal parts.
        let others = self.known(now).filter(|(other, _)| *other != zone);
        let (mut short, mut ending) = (0, 0);
        for (_, other) in others {
            if other.summary.is_short {
                short += 1;
            } else {
                ending += other.summary.sent.get(zone).copied().unwrap_or(0);
            }
        }
        let left = f64::from(summary.spare) - f64::from(ending);
        (left - reserve * f64::from(summary.slots)) / f64::from(1 + short)
    }

    /// Returns the other zones that a request may use, `None` if there was no summary yet. `can_wait` tells whether a slot of
    /// the own zone will become free for it. `used` are the requests in progress in each of them.
    fn others(
        &self,
        now: Instant,
        request: &Request,
        can_wait: bool,
        used: &[(&Zone, u32)],
    ) -> Option<Vec<(Zone, f64)>> {
        if self.remotes.is_empty() {
            return None;
        }
        let leaves = if request.download {
            self.wait >= DOWNLOAD_WAIT_FACTOR * self.threshold
        } else {
            self.is_short
        };
        if can_wait && !leaves {
            return Some(Vec::new());
        }
        let unbounded = |(zone, _): &(&Zone, u32)| ((*zone).clone(), 1.0);
        // A zone that has become silent may be cut off, and is used only if all are silent.
        if self.known(now).next().is_none() {
            return Some(used.iter().map(unbounded).collect());
        }
        let zones = self.known(now).filter_map(|(zone, remote)| {
            let cap = self.cap(now, zone, remote, request.rank);
            let used = used.iter().find(|(known, _)| *known == zone);
            let next = f64::from(used.map_or(0, |(_, used)| *used) + 1);
            (next <= cap).then(|| (zone.clone(), next / cap))
        });
        let mut zones: Vec<_> = zones.collect();
        // A zone that never sent a summary may have no coordinator. Its load is known from responses only.
        if zones.is_empty() {
            let unheard = used.iter().filter(|(z, _)| !self.remotes.contains_key(*z));
            zones.extend(unheard.map(unbounded));
        }
        Some(zones)
    }
}

impl Scheduler {
    /// Records the summary of another zone, which was made `age` ago, and dispatches queued requests to it.
    pub fn record_summary(
        &mut self,
        now: Instant,
        zone: &Zone,
        age: Duration,
        summary: Summary,
    ) -> Vec<super::Action> {
        if self.floor.is_none() || *zone == self.zone {
            return Vec::new();
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let known = self.zones.remotes.get(zone);
        if known.is_some_and(|known| known.at > at) {
            return Vec::new();
        }
        let remote = Remote { summary, at };
        self.zones.remotes.insert(zone.clone(), remote);
        self.dispatch_waiting(now)
    }

    /// Returns the summary for other zones, if all requests of the zone pass through here.
    pub fn summary(&mut self, now: Instant) -> Option<Summary> {
        self.floor?;
        self.record_zone_wait(now, 0.0);
        let is_settling = now < *self.zones.since.get_or_insert(now) + SETTLING_TIME;
        let local = || self.upstreams.values().filter(|u| *u.zone() == self.zone);
        let slots: u32 = local().map(|u| u.slots(now)).sum();
        let running: u32 = local().map(Upstream::running).sum();
        let spare = if self.zones.is_short || is_settling {
            0
        } else {
            slots.saturating_sub(running)
        };
        let queued = |rank: usize| u32::try_from(self.queues[rank].len()).unwrap_or(u32::MAX);
        let sent = self.running_by_zone().into_iter();
        let sent = sent.filter(|(zone, running)| **zone != self.zone && *running > 0);
        Some(Summary {
            slots,
            spare,
            is_short: self.zones.is_short,
            queued: [queued(0), queued(1), queued(2)],
            sent: sent.map(|(zone, count)| (zone.clone(), count)).collect(),
        })
    }

    /// Returns whether a zone has requests of the service, as far as is known.
    #[must_use]
    pub fn is_in_use(&self, now: Instant) -> bool {
        let is_used = |s: &Summary| s.spare < s.slots || !s.sent.is_empty();
        self.queue_len() > 0
            || self.upstreams.values().any(|u| u.running() > 0)
            || self.zones.known(now).any(|(_, r)| is_used(&r.summary))
    }

    /// Returns the number of requests that were sent to each other zone while a coordinator dispatched.
    #[must_use]
    pub fn spills(&self) -> &BTreeMap<Zone, Spills> {
        &self.zones.spills
    }

    /// Records the expected wait for a slot of the zone behind the queued requests and `more` work, in seconds of slot
    /// time.
    pub(super) fn record_zone_wait(&mut self, now: Instant, more: f64) {
        if self.floor.is_none() {
            return;
        }
        let typical = self.service_times.typical();
        let work: f64 = more + self.queues.iter().map(Queue::work).sum::<f64>();
        let wait = if work > 0.0 {
            let local = self.upstreams.values().filter(|u| *u.zone() == self.zone);
            let slots: u32 = local.map(|u| u.slots(now)).sum();
            work / f64::from(slots.max(1))
        } else {
            0.0
        };
        self.zones.record_wait(wait, typical);
    }

    /// Reserves a slot for a new request with the expected work, in seconds. It may leave the zone if it would wait for
    /// longer than the way is worth.
    pub(super) fn reserve_in_zone_or_leave(
        &mut self,
        now: Instant,
        request: &Request,
        work: f64,
    ) -> Option<Worker> {
        self.record_zone_wait(now, 0.0);
        let reserved = self.reserve(now, request);
        if reserved.is_some() || self.zones.remotes.is_empty() || self.zones.is_short {
            return reserved;
        }
        self.record_zone_wait(now, work);
        self.zones.is_short.then(|| self.reserve(now, request))?
    }

    /// Returns which zones a request may use.
    pub(super) fn zone_access(&self, now: Instant, request: &Request) -> Access {
        if self.zones.remotes.is_empty() {
            return Access {
                has_local_room: false,
                others: None,
            };
        }
        let typical = self.service_times.typical();
        let accepted = |(worker, u): &(&Worker, &Upstream)| {
            *u.zone() == self.zone
                && u.takes(now, request.remote)
                && !u.is_avoided(now)
                && !request.tried.contains(worker)
        };
        let local = || self.upstreams.iter().filter(accepted);
        let has_local_room = local().any(|(_, u)| u.has_room(now, typical));
        // A retry may have tried all workers of the zone, so that no slot there serves it, however short the wait is.
        let can_wait = !has_local_room && local().next().is_some();
        let mut used = self.running_by_zone();
        used.retain(|(zone, _)| **zone != self.zone);
        let others = self.zones.others(now, request, can_wait, &used);
        Access {
            has_local_room,
            others,
        }
    }

    /// Records that a request was sent to a zone.
    pub(super) fn record_zone(&mut self, zone: &Zone, access: &Access) {
        if self.floor.is_none() || *zone == self.zone {
            return;
        }
        let spills = self.zones.spills.entry(zone.clone()).or_default();
        let reason = match (access.is_known(), access.has_local_room) {
            (false, _) => &mut spills.unknown,
            (true, true) => &mut spills.better,
            (true, false) => &mut spills.full,
        };
        *reason += 1;
    }

    fn running_by_zone(&self) -> Vec<(&Zone, u32)> {
        let mut running: Vec<(&Zone, u32)> = Vec::new();
        for upstream in self.upstreams.values() {
            match running
                .iter_mut()
                .find(|(zone, _)| *zone == upstream.zone())
            {
                Some((_, count)) => *count += upstream.running(),
                None => running.push((upstream.zone(), upstream.running())),
            }
        }
        running
    }
}
