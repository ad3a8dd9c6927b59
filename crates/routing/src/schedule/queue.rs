//! Queue of one rank: which request is served next, and which one is refused when not all can be answered in time.
//!
//! Within a customer, the request that may be passed over least is served first. Customers get equal shares of the slot
//! time. Requests that miss their target use what is left.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::Request;
use super::service_times::{ServiceTimes, Work};

/// Maximum number of queued requests that one pass over the queue skips because no worker with room is acceptable to
/// them.
const MAX_SKIPPED: usize = 16;

/// Maximum number of requests that a new one displaces. A long one may displace several short ones; more would be
/// displaced when the estimated capacity has just fallen, which may pass.
const MAX_DISPLACED: usize = 16;

/// Rate at which a queue is served, and the work that is served before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Service {
    pub(super) now: Instant,
    /// Number of slots.
    pub(super) slots: f64,
    /// Work of queued requests that are more urgent, in seconds of slot time.
    pub(super) ahead: f64,
    /// Factor by which an expected wait may be exceeded.
    pub(super) wait_factor: f64,
}

/// A queued request.
#[derive(Clone, Debug)]
struct Entry {
    request: Request,
    sequence: u64,
    work: Work,
    /// Time until which later requests may be served first: half of the time from the arrival to the target.
    patience_end: Instant,
}

impl Entry {
    /// Time until which a response has its full value.
    fn due(&self) -> Instant {
        self.request.target.min(self.request.deadline)
    }

    fn is_in_time(&self, now: Instant) -> bool {
        now + Duration::from_secs_f64(self.work.likely()) <= self.due()
    }
}

/// Queued requests of one customer that can meet their target, by the end of their patience.
#[derive(Clone, Debug, Default)]
struct Lane {
    entries: VecDeque<Entry>,
    /// Work of the queued requests, in seconds.
    work: f64,
    /// Classes of the queued requests.
    classes: Vec<Class>,
    /// Slot time that the customer got, in seconds, counted from that of the customers that were queued before.
    served: f64,
}

/// Queued requests of one class.
#[derive(Clone, Copy, Debug)]
struct Class {
    id: u64,
    /// Slot time that is gained by refusing one of them, in seconds.
    refusal_gain: f64,
    requests: usize,
}

impl Lane {
    /// Adds a request; returns its position.
    fn insert(&mut self, entry: Entry) -> usize {
        let key = |e: &Entry| (e.patience_end, e.sequence);
        let at = self.entries.partition_point(|e| key(e) < key(&entry));
        self.count(&entry);
        self.entries.insert(at, entry);
        at
    }

    fn push(&mut self, entry: Entry) {
        self.count(&entry);
        self.entries.push_back(entry);
    }

    fn remove(&mut self, at: usize) -> Option<Entry> {
        let entry = self.entries.remove(at)?;
        self.work -= entry.work.mean;
        let of_class = |c: &Class| c.id == entry.request.class;
        if let Some(at) = self.classes.iter().position(of_class) {
            self.classes[at].requests -= 1;
            if self.classes[at].requests == 0 {
                self.classes.swap_remove(at);
            }
        }
        Some(entry)
    }

    /// Removes the requests that `leaves` selects.
    fn split_off(&mut self, leaves: impl FnMut(&Entry) -> bool) -> VecDeque<Entry> {
        let entries = std::mem::take(&mut self.entries);
        let (left, kept) = entries.into_iter().partition(leaves);
        self.entries = kept;
        self.count_all();
        left
    }

    fn count(&mut self, entry: &Entry) {
        let (id, refusal_gain) = (entry.request.class, entry.work.refusal_gain());
        self.work += entry.work.mean;
        if let Some(known) = self.classes.iter_mut().find(|c| c.id == id) {
            known.refusal_gain = refusal_gain;
            known.requests += 1;
        } else {
            self.classes.push(Class {
                id,
                refusal_gain,
                requests: 1,
            });
        }
    }

    fn count_all(&mut self) {
        let entries = std::mem::take(&mut self.entries);
        self.work = 0.0;
        self.classes.clear();
        for entry in &entries {
            self.count(entry);
        }
        self.entries = entries;
    }

    /// Removes requests from `from` on, whose wait has grown, until those that are left can be answered in time.
    ///
    /// They are considered in the order in which they are served. For each one that misses its target, one is removed of
    /// those that are served until then. Removing the one with the most work would keep the most requests.
    fn trim(&mut self, from: usize, service: Service, others: &Others) -> Vec<Request> {
        let mut removed = Vec::new();
        let following = self.entries.range(from..).map(|e| e.work.mean);
        let mut own = self.work - following.sum::<f64>();
        let mut at = from;
        while let Some(entry) = self.entries.get(at) {
            let left = entry.due().saturating_duration_since(service.now);
            let needed = service.wait(own, others.served_within(own)) + entry.work.likely();
            own += entry.work.mean;
            at += 1;
            if needed > left.as_secs_f64()
                && removed.len() < MAX_DISPLACED
                && let Some(victim) = self.least_lost(service.now, at)
                && let Some(entry) = self.remove(victim)
            {
                own -= entry.work.mean;
                at -= 1;
                removed.push(entry.request);
            }
        }
        removed
    }

    /// Returns the position of the request before `end` whose refusal gains most, the latest of its class, except those
    /// that have been passed over for as long as is allowed.
    fn least_lost(&self, now: Instant, end: usize) -> Option<usize> {
        let classes = self.classes.iter();
        let most = classes
            .max_by(|a, b| a.refusal_gain.total_cmp(&b.refusal_gain))?
            .id;
        let mut found: Option<(usize, &Entry)> = None;
        for at in (0..end).rev() {
            let entry = &self.entries[at];
            if entry.patience_end <= now {
                break;
            }
            let class = entry.request.class;
            if found.is_none_or(|(_, f)| {
                f.request.class != class && f.work.refusal_gain() < entry.work.refusal_gain()
            }) {
                found = Some((at, entry));
            }
            if class == most {
                break;
            }
        }
        found.map(|(at, _)| at)
    }
}

/// Search of one customer's queue for requests to divert.
#[derive(Debug, Default)]
struct Walk {
    /// Work of the requests before `at` that remain, in seconds.
    own: f64,
    /// Position of the next request to consider.
    at: usize,
    /// Positions of the considered requests that may be repeated.
    repeatable: Vec<usize>,
    /// Position of the request to divert next.
    chosen: Option<usize>,
}

impl Walk {
    /// Goes on to the next request to divert.
    fn advance(&mut self, lane: &Lane, service: Service, customers: &Others) {
        self.chosen = None;
        while self.chosen.is_none()
            && let Some(entry) = lane.entries.get(self.at)
        {
            let left = entry.due().saturating_duration_since(service.now);
            // What is served within `own` seconds includes the work of this customer.
            let wait = service.wait(0.0, customers.served_within(self.own));
            let needed = wait + entry.work.likely();
            self.own += entry.work.mean;
            if !entry.request.at_most_once {
                self.repeatable.push(self.at);
            }
            if needed > left.as_secs_f64() {
                let has_waited = entry.patience_end <= service.now;
                let itself = (entry.request.at_most_once && has_waited).then_some(self.at);
                self.chosen = self.repeatable.pop().or(itself);
            }
            self.at += 1;
        }
    }
}

/// Part of a queue.
#[derive(Clone, Copy, Debug)]
enum Group {
    /// Requests of one customer that can meet their target.
    Customer(Option<u64>),
    /// Requests that miss their target.
    Late,
}

/// Queued requests of one rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    lanes: BTreeMap<Option<u64>, Lane>,
    /// Requests that miss their target, in order of arrival.
    late: Lane,
    len: usize,
    /// Slot time that a customer got which was queued all the time, from which customers that join are counted.
    served: f64,
    sequence: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the work of all queued requests, in seconds of slot time.
    pub(super) fn work(&self) -> f64 {
        let in_time: f64 = self.lanes.values().map(|lane| lane.work).sum();
        in_time + self.late.work
    }

    pub(super) fn requests(&self) -> impl Iterator<Item = &Request> {
        let in_time = self.lanes.values().flat_map(|lane| &lane.entries);
        in_time.chain(&self.late.entries).map(|e| &e.request)
    }

    pub(super) fn push(&mut self, now: Instant, request: Request, work: Work) {
        let entry = self.entry(now, request, work);
        self.insert(now, entry);
    }

    /// Adds a request, and removes those whose refusal loses least if not all can be answered in time. Returns the
    /// removed requests, among which may be the new one.
    pub(super) fn push_and_trim(
        &mut self,
        service: Service,
        request: Request,
        work: Work,
    ) -> Vec<Request> {
        let customer = request.customer;
        let entry = self.entry(service.now, request, work);
        let Some(at) = self.insert(service.now, entry) else {
            return Vec::new();
        };
        let others = self.lanes.iter().filter(|(c, _)| **c != customer);
        let others = Others::new(others.map(|(_, lane)| lane.work).collect());
        let Some(lane) = self.lanes.get_mut(&customer) else {
            return Vec::new();
        };
        let removed = lane.trim(at, service, &others);
        self.len -= removed.len();
        if lane.entries.is_empty() {
            self.lanes.remove(&customer);
        }
        removed
    }

    fn entry(&mut self, now: Instant, request: Request, work: Work) -> Entry {
        self.sequence += 1;
        let due = request.target.min(request.deadline);
        let patience = due.saturating_duration_since(now) / 2;
        Entry {
            request,
            sequence: self.sequence,
            work,
            patience_end: now + patience,
        }
    }

    /// Adds a request; returns its position among those of its customer, unless it misses its target.
    fn insert(&mut self, now: Instant, entry: Entry) -> Option<usize> {
        self.len += 1;
        if !entry.is_in_time(now) {
            self.late.push(entry);
            return None;
        }
        let joined = Lane {
            served: self.served,
            ..Lane::default()
        };
        let lane = self.lanes.entry(entry.request.customer);
        Some(lane.or_insert(joined).insert(entry))
    }

    pub(super) fn cancel(&mut self, id: u64) -> bool {
        let position = |entries: &VecDeque<Entry>| entries.iter().position(|e| e.request.id == id);
        if let Some(at) = position(&self.late.entries) {
            self.late.remove(at);
            self.len -= 1;
            return true;
        }
        let mut found = self.lanes.iter();
        let found = found.find_map(|(customer, lane)| Some((*customer, position(&lane.entries)?)));
        found.is_some_and(|(customer, at)| self.remove(customer, at).is_some())
    }

    fn remove(&mut self, customer: Option<u64>, at: usize) -> Option<Entry> {
        let lane = self.lanes.get_mut(&customer)?;
        let entry = lane.remove(at)?;
        if lane.entries.is_empty() {
            self.lanes.remove(&customer);
        }
        self.len -= 1;
        Some(entry)
    }

    /// Updates the expected work of the queued requests, and sets those apart that miss their target.
    pub(super) fn refresh(&mut self, now: Instant, times: &ServiceTimes) {
        let refresh = |entry: &mut Entry| entry.work = times.work(entry.request.class);
        self.late.entries.iter_mut().for_each(refresh);
        for lane in self.lanes.values_mut() {
            lane.entries.iter_mut().for_each(refresh);
            if lane.entries.iter().all(|e| e.is_in_time(now)) {
                lane.count_all();
            } else {
                let late = lane.split_off(|e| !e.is_in_time(now));
                self.late.entries.extend(late);
            }
        }
        self.late.count_all();
        self.lanes.retain(|_, lane| !lane.entries.is_empty());
    }

    /// Removes the requests that can't be answered before their deadline. A late request waits for `late_wait`, behind
    /// all that can meet their target.
    pub(super) fn remove_expired(&mut self, now: Instant, late_wait: Duration) -> Vec<Request> {
        let misses_deadline = |e: &Entry| now + late_wait + e.work.time() > e.request.deadline;
        let expired = self.late.split_off(misses_deadline);
        self.len -= expired.len();
        expired.into_iter().map(|e| e.request).collect()
    }

    /// Removes up to `most` late requests, those with the least time left first.
    pub(super) fn remove_late(&mut self, most: usize) -> Vec<Request> {
        let removed = most.min(self.late.entries.len());
        self.len -= removed;
        let removed = (0..removed).filter_map(|_| self.late.remove(0));
        removed.map(|e| e.request).collect()
    }

    /// Calls `reserve` for up to `most` requests, so that those behind them meet their target, and removes those that get a
    /// worker. Returns their ids and workers.
    ///
    /// For each request that is expected to miss its target, one is chosen of those that are served until then: the last
    /// one that may be repeated, otherwise the request itself once it has waited for half of its time to the target. The
    /// customer that got least comes first, and what is diverted counts as slot time that it got.
    pub(super) fn divert<W>(
        &mut self,
        service: Service,
        most: usize,
        mut reserve: impl FnMut(&Request) -> Option<W>,
    ) -> Vec<(u64, W)> {
        let customers = Others::new(self.lanes.values().map(|lane| lane.work).collect());
        let mut walks: BTreeMap<Option<u64>, Walk> = BTreeMap::new();
        for (customer, lane) in &self.lanes {
            let mut walk = Walk::default();
            walk.advance(lane, service, &customers);
            walks.insert(*customer, walk);
        }
        let mut diverted = Vec::new();
        let mut skipped = 0;
        while diverted.len() < most
            && skipped < MAX_SKIPPED
            && let Some((customer, chosen)) = self.next_diverted(&walks)
        {
            let Some(walk) = walks.get_mut(&customer) else {
                break;
            };
            let request = &self.lanes[&customer].entries[chosen].request;
            match reserve(request) {
                Some(worker) => {
                    diverted.push((request.id, worker));
                    self.charge(customer, chosen);
                    if let Some(entry) = self.remove(customer, chosen) {
                        walk.own -= entry.work.mean;
                        walk.at -= 1;
                    }
                }
                None if request.tried.is_empty() => break,
                None => skipped += 1,
            }
            match self.lanes.get(&customer) {
                Some(lane) => walk.advance(lane, service, &customers),
                None => walk.chosen = None,
            }
        }
        diverted
    }

    /// Returns the position of the next request to divert, of the customer that got least.
    fn next_diverted(&self, walks: &BTreeMap<Option<u64>, Walk>) -> Option<(Option<u64>, usize)> {
        let chosen = walks.iter().filter_map(|(customer, walk)| {
            let (lane, at) = (self.lanes.get(customer)?, walk.chosen?);
            Some((lane.served, lane.entries[at].patience_end, *customer, at))
        });
        let least = chosen.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(.., customer, at)| (customer, at))
    }

    /// Calls `reserve` for the queued requests in the order in which they are served, and removes those that get a
    /// worker. Returns their ids and workers, and whether all of the queue was considered.
    ///
    /// A request that excludes workers may find no slot where others do, and must not block the requests behind it.
    pub(super) fn dispatch<W>(
        &mut self,
        now: Instant,
        mut reserve: impl FnMut(&Request) -> Option<W>,
    ) -> (Vec<(u64, W)>, bool) {
        let mut sent = Vec::new();
        let mut skipped = Vec::new();
        while let Some((group, at)) = self.next(now, &skipped) {
            let entry = match group {
                Group::Customer(customer) => &self.lanes[&customer].entries[at],
                Group::Late => &self.late.entries[at],
            };
            match reserve(&entry.request) {
                Some(worker) => {
                    sent.push((entry.request.id, worker));
                    self.take(group, at);
                }
                None if entry.request.tried.is_empty() || skipped.len() >= MAX_SKIPPED => {
                    return (sent, false);
                }
                None => skipped.push(entry.request.id),
            }
        }
        (sent, true)
    }

    /// Returns the position of the next request: among those that can meet their target of the customer that got least,
    /// otherwise among the late ones.
    fn next(&self, now: Instant, skipped: &[u64]) -> Option<(Group, usize)> {
        let is_eligible = |e: &Entry| !skipped.contains(&e.request.id);
        let mut first: Option<(f64, Instant, Option<u64>, usize)> = None;
        for (customer, lane) in &self.lanes {
            let mut entries = lane.entries.iter();
            if first.is_none_or(|(served, ..)| lane.served <= served)
                && let Some(at) = entries.position(|e| e.is_in_time(now) && is_eligible(e))
            {
                let patience_end = lane.entries[at].patience_end;
                // Customers that got the same take turns by the time that their requests may still wait.
                let is_first = first
                    .is_none_or(|(served, end, ..)| lane.served < served || patience_end < end);
                if is_first {
                    first = Some((lane.served, patience_end, *customer, at));
                }
            }
        }
        if let Some((_, _, customer, at)) = first {
            return Some((Group::Customer(customer), at));
        }
        if let Some(at) = self.late.entries.iter().position(is_eligible) {
            return Some((Group::Late, at));
        }
        let mut lanes = self.lanes.iter();
        lanes.find_map(|(customer, lane)| {
            let at = lane.entries.iter().position(is_eligible)?;
            Some((Group::Customer(*customer), at))
        })
    }

    fn take(&mut self, group: Group, at: usize) {
        let Group::Customer(customer) = group else {
            self.late.remove(at);
            self.len -= 1;
            return;
        };
        self.charge(customer, at);
        self.remove(customer, at);
    }

    /// Counts the work of a request that gets a worker as slot time of its customer.
    fn charge(&mut self, customer: Option<u64>, at: usize) {
        let lanes = f64::from(u32::try_from(self.lanes.len()).unwrap_or(u32::MAX));
        if let Some(lane) = self.lanes.get_mut(&customer) {
            let work = lane.entries[at].work.mean;
            lane.served += work;
            self.served += work / lanes;
        }
        // Customers that join must not go before one that has waited for its share.
        let least = self.lanes.values().map(|lane| lane.served);
        self.served = least
            .reduce(f64::min)
            .map_or(self.served, |least| self.served.max(least));
    }
}

impl Service {
    /// Returns the expected wait, in seconds, behind `own` seconds of work of the same customer and `others` of others.
    fn wait(&self, own: f64, others: f64) -> f64 {
        (self.ahead + own + others) / self.slots * self.wait_factor
    }
}

/// Queued work of the other customers.
struct Others {
    /// Work of each, in ascending order, with the sum of those before it.
    work: Vec<(f64, f64)>,
    total: f64,
}

impl Others {
    fn new(mut work: Vec<f64>) -> Self {
        work.sort_by(f64::total_cmp);
        let mut total = 0.0;
        let with_sum = work.into_iter().map(|work| {
            let before = total;
            total += work;
            (work, before)
        });
        let work = with_sum.collect();
        Self { work, total }
    }

    /// Returns the work that is served while `own` seconds of one customer are: customers are served at the same rate
    /// until nothing of theirs is queued.
    fn served_within(&self, own: f64) -> f64 {
        let less = self.work.partition_point(|(work, _)| *work <= own);
        let Some((_, before)) = self.work.get(less) else {
            return self.total;
        };
        let more = u32::try_from(self.work.len() - less).unwrap_or(u32::MAX);
        before + own * f64::from(more)
    }
}
