//! Whether a request is sent, queued or refused, from the work that is queued and the time that is left.

use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;
use chestnutvalve_model::rank::Rank;
use xxhash_rust::xxh3::xxh3_64;

use super::probe::Group;
use super::queue::{Queue, Service};
use super::upstream::Upstream;
use super::{Action, Decision, Reason, Refusal, Request, Scheduler, low_half};

/// Bounds of the retry delay in a refusal. Callers wait for at most a third of their remaining time, which is below 2 s
/// on the deployments.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));
/// Share of the remaining time that the expected wait of a new request may take. The estimate is a mean, so the request
/// needs a safety margin.
const MAX_WAIT_SHARE: f64 = 0.7;

/// Number of refused requests by the estimate that caused the refusal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Refusals {
    /// The expected wait was too long.
    pub wait: u64,
    /// Requests that need less work took the room.
    pub work: u64,
    /// The time left was shorter than the work.
    pub time_left: u64,
}

impl Scheduler {
    /// Decides whether a request is sent, queued or refused. A queued request may displace others, for which
    /// [`Self::take_displaced`] returns the decisions.
    pub fn offer(&mut self, now: Instant, request: Request) -> Decision {
        if let Some(refusal) = self.refusal_without_workers(now, &request) {
            return Decision::Refuse(refusal);
        }
        let rank = request.rank;
        let work = self.service_times.work(request.class);
        let mut ahead = self.queues[..=rank.index()].iter();
        if ahead.all(Queue::is_empty)
            && let Some(worker) = self.reserve_in_zone_or_leave(now, &request, work.mean)
        {
            return Decision::Send(worker);
        }
        let running = self.running(now);
        let needed = self
            .expected_wait(now, rank, running)
            .div_f64(MAX_WAIT_SHARE)
            + work.time();
        // Under overload, each request that is answered late delays another one. A queue that is shorter than the
        // number of requests in progress doesn't indicate overload, and then a late response is better than none.
        let is_overloaded = self.excess(rank, running) > 0;
        let due = request.target.min(request.deadline);
        let in_time = now + Duration::from_secs_f64(work.likely()) <= due;
        if in_time && is_overloaded {
            let service = self.service(now, rank, running, 1.0 / MAX_WAIT_SHARE);
            return self.offer_under_overload(service, request, needed);
        }
        let left = request.deadline.saturating_duration_since(now);
        if is_overloaded || needed > left {
            // A worker that failed recently may still answer, which is better than a certain refusal.
            if let Some(worker) = self.reserve_at_one_of(now, &request, Group::Avoided) {
                return Decision::Send(worker);
            }
            if work.time() > left {
                self.refusals.time_left += 1;
            } else {
                self.refusals.wait += 1;
            }
            return Decision::Refuse(self.overload(now, &request, needed.saturating_sub(left)));
        }
        self.queues[rank.index()].push(now, request, work);
        Decision::Wait
    }

    /// Queues a request if it can meet its target, and refuses those whose refusal loses least if not all can.
    fn offer_under_overload(
        &mut self,
        service: Service,
        request: Request,
        needed: Duration,
    ) -> Decision {
        let (now, id, rank) = (service.now, request.id, request.rank);
        let work = self.service_times.work(request.class);
        let removed = self.queues[rank.index()].push_and_trim(service, request, work);
        let mut decision = Decision::Wait;
        for request in removed {
            let due = request.target.min(request.deadline);
            let excess = needed.saturating_sub(due.saturating_duration_since(now));
            let worker = self.reserve_at_one_of(now, &request, Group::Avoided);
            if request.id == id {
                self.refusals.wait += u64::from(worker.is_none());
                decision = match worker {
                    Some(worker) => Decision::Send(worker),
                    None => Decision::Refuse(self.overload(now, &request, excess)),
                };
                continue;
            }
            self.refusals.work += u64::from(worker.is_none());
            let action = match worker {
                Some(worker) => Action::Send(request.id, worker),
                None => Action::Refuse(request.id, self.overload(now, &request, excess)),
            };
            self.displaced.push(action);
        }
        decision
    }

    /// Returns the decisions on queued requests that were displaced by the last ones offered.
    #[must_use]
    pub fn take_displaced(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.displaced)
    }

    /// Returns the number of requests refused because of overload.
    #[must_use]
    pub fn refusals(&self) -> Refusals {
        self.refusals
    }

    /// Refuses queued requests that can no longer be answered in time, and dispatches others if there is room.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.refuse_without_workers(now);
        for rank in Rank::ALL {
            self.queues[rank.index()].refresh(now, &self.service_times);
            // A request that misses its target waits behind all requests that don't, so its wait is that of the whole
            // queue.
            let running = self.running(now);
            let wait = self.expected_wait(now, rank, running);
            let mut refused = self.queues[rank.index()].remove_expired(now, wait);
            let excess = self.excess(rank, running);
            let mut has_room = true;
            for request in self.queues[rank.index()].remove_late(excess) {
                // A worker that failed recently may still answer, which is better than a certain refusal.
                let worker = has_room
                    .then(|| self.reserve_at_one_of(now, &request, Group::Avoided))
                    .flatten();
                has_room &= worker.is_some() || !request.tried.is_empty();
                match worker {
                    Some(worker) => actions.push(Action::Send(request.id, worker)),
                    None => refused.push(request),
                }
            }
            self.refusals.time_left += count(&refused);
            for request in refused {
                let refusal = self.overload(now, &request, Duration::ZERO);
                actions.push(Action::Refuse(request.id, refusal));
            }
        }
        actions.extend(self.dispatch_waiting(now));
        // A higher rank may use some of the suspect workers too, and comes first.
        for rank in Rank::ALL {
            let diverted = self.divert_to_suspect(now, rank).into_iter();
            actions.extend(diverted.map(|(id, worker)| Action::Send(id, worker)));
        }
        actions
    }

    /// Sends queued requests to suspect workers under overload, so that fewer miss their target.
    ///
    /// The wait that admission expects counts attempts at avoided workers as capacity, which the queue doesn't have.
    /// Admission can't leave them out: it would refuse requests that these workers have room for.
    fn divert_to_suspect(&mut self, now: Instant, rank: Rank) -> Vec<(u64, Worker)> {
        let excess = self.excess(rank, self.running(now));
        if excess == 0 || self.floor.is_none() {
            return Vec::new();
        }
        let service = self.service(
            now,
            rank,
            self.running_at_accepted(now),
            1.0 / MAX_WAIT_SHARE,
        );
        let mut queue = std::mem::take(&mut self.queues[rank.index()]);
        let diverted = queue.divert(service, excess, |request| {
            self.reserve_at_one_of(now, request, Group::Suspect)
        });
        self.queues[rank.index()] = queue;
        diverted
    }

    /// Returns the refusal of a request for which no worker is left, or whose deadline passes before the workers' pauses
    /// end.
    fn refusal_without_workers(&self, now: Instant, request: &Request) -> Option<Refusal> {
        if self.candidates(request).next().is_none() {
            let retry_after = self.service_times.typical();
            return Some(Refusal {
                reason: Reason::NoWorker,
                retry_after: retry_after.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1),
            });
        }
        // The time is that of the workers and is not bounded: an earlier retry would only be refused again.
        let retry_after = self.pause_left(now, request)?;
        let answered_at = now + retry_after + self.service_times.typical();
        (answered_at > request.deadline).then_some(Refusal {
            reason: Reason::Paused,
            retry_after,
        })
    }

    fn refuse_without_workers(&mut self, now: Instant) -> Vec<Action> {
        let mut refused = Vec::new();
        for request in self.queues.iter().flat_map(Queue::requests) {
            if let Some(refusal) = self.refusal_without_workers(now, request) {
                refused.push(Action::Refuse(request.id, refusal));
            }
        }
        for action in &refused {
            if let Action::Refuse(id, _) = action {
                self.cancel(*id);
            }
        }
        refused
    }

    /// Reserves free slots for queued requests, the most urgent rank first.
    pub(super) fn dispatch_waiting(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.take_displaced();
        self.record_zone_wait(now, 0.0);
        for rank in 0..self.queues.len() {
            let mut queue = std::mem::take(&mut self.queues[rank]);
            let (sent, all_considered) = queue.dispatch(now, |request| self.reserve(now, request));
            self.queues[rank] = queue;
            let sent = sent.into_iter();
            actions.extend(sent.map(|(id, worker)| Action::Send(id, worker)));
            if !all_considered {
                break;
            }
        }
        actions
    }

    /// Returns by how much the number of requests queued before one of `rank` exceeds that of the requests in progress.
    fn excess(&self, rank: Rank, running: u32) -> usize {
        let queues = &self.queues[..=rank.index()];
        let ahead: usize = queues.iter().map(Queue::len).sum();
        ahead.saturating_sub(usize::try_from(running).unwrap_or(usize::MAX))
    }

    /// Returns the number of requests that this entry has in progress, or its share of the slots if that is larger.
    fn running(&self, now: Instant) -> u32 {
        let running: u32 = self.upstreams.values().map(Upstream::running).sum();
        let slots: u32 = self.upstreams.values().map(|u| u.slots(now)).sum();
        running.max(slots / self.entries)
    }

    /// Returns the same without the requests in progress at avoided workers.
    fn running_at_accepted(&self, now: Instant) -> u32 {
        let accepted = self.upstreams.values().filter(|u| !u.is_avoided(now));
        let (running, slots) = accepted.fold((0, 0), |(running, slots), u| {
            (running + u.running(), slots + u.slots(now))
        });
        running.max(slots / self.entries)
    }

    /// Returns the rate at which the queue of a rank is served, and what is served before it.
    fn service(&self, now: Instant, rank: Rank, running: u32, wait_factor: f64) -> Service {
        let more_urgent: f64 = self.queues[..rank.index()].iter().map(Queue::work).sum();
        Service {
            now,
            slots: self.service_times.slots_left_to(rank, running),
            // The next slot becomes free after the mean response time, divided by the slots.
            ahead: more_urgent + self.service_times.typical().as_secs_f64(),
            wait_factor,
        }
    }

    /// Returns the expected wait of a request behind all that are queued in its rank.
    fn expected_wait(&self, now: Instant, rank: Rank, running: u32) -> Duration {
        let service = self.service(now, rank, running, 1.0);
        let work = service.ahead + self.queues[rank.index()].work();
        Duration::from_secs_f64((work / service.slots).clamp(0.0, 3_600.0))
    }

    /// Returns the refusal of a request for which the wait is longer by `excess` than the time that it has.
    ///
    /// Callers come back when there is room, spread over the time in which the queue drains: those that return at the
    /// same moment would be refused again.
    fn overload(&mut self, now: Instant, request: &Request, excess: Duration) -> Refusal {
        self.service_times.record_served(request.class, false);
        let share = f64::from(low_half(xxh3_64(&request.id.to_le_bytes()))) / f64::from(u32::MAX);
        let drain = self.expected_wait(now, request.rank, self.running(now));
        let spread = drain.mul_f64(share);
        let retry_after = excess.max(self.service_times.typical()) + spread;
        Refusal {
            reason: Reason::Overload,
            retry_after: retry_after.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1),
        }
    }
}

fn count(requests: &[Request]) -> u64 {
    u64::try_from(requests.len()).unwrap_or(u64::MAX)
}
