//! Simulation of load patterns at one scheduler, compared with plain queues and with a plan that knows the future.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Range;
use std::time::{Duration, Instant};

use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::retry::{Bounds, Purpose, WindowBudget};
use chestnutvalve_routing::schedule::{Action, Decision, Outcome, Request, Scheduler};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::replay::index;
use crate::{scheduler, worker};

pub const SLOTS: usize = 2;
/// Value of a late response relative to one in time.
const LATE_VALUE: f64 = 1.0 / 3.0;
/// Standard deviation of the logarithm of the work.
const WORK_SPREAD: f64 = 0.6;
const MAX_ATTEMPTS: usize = 3;

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub rank: Rank,
    pub customer: Option<u64>,
    /// Requests per second.
    pub rate: f64,
    /// Factor of the rate during the pattern's disturbance.
    pub burst: f64,
    /// Mean work, target and deadline in milliseconds.
    pub work_ms: u64,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub value: f64,
}

/// A load and its disturbance.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub kinds: Vec<Kind>,
    pub workers: usize,
    pub duration_s: f64,
    /// Time of the disturbance in seconds.
    pub disturbed_s: Range<f64>,
    /// Factor of the work during the disturbance.
    pub slowness: f64,
    /// Share of the attempts that workers turn away during the disturbance.
    pub shed: f64,
    /// Whether the retry budget distinguishes ranks.
    pub ranked_budget: bool,
}

/// Order in which requests are served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    Scheduler,
    Arrival,
    Deadline,
    Work,
}

impl Order {
    pub const ALL: [Self; 4] = [Self::Scheduler, Self::Arrival, Self::Deadline, Self::Work];
}

/// Results of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Sum of the response times in seconds.
    pub time: f64,
    /// Longest time for which a request was queued before it was refused, in milliseconds.
    pub queued_ms: u128,
    pub retry_after: (Duration, Duration),
}

#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    arrived: Instant,
    work: Duration,
    tried: Vec<usize>,
    worker: usize,
    started: Instant,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    End(u64, bool),
    Tick,
}

pub struct Simulation {
    pattern: Pattern,
    order: Order,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    jobs: BTreeMap<u64, Job>,
    scheduler: Scheduler,
    budget: WindowBudget,
    /// Running requests of each worker, and the queue, of the plain orders.
    running: Vec<usize>,
    waiting: BTreeSet<(Rank, Instant, u64)>,
    tallies: Vec<Tally>,
    /// Responses in time by second of arrival, with the requests offered.
    pub seconds: Vec<(u32, u32)>,
    arrivals: Vec<Job>,
}

impl Simulation {
    pub fn run(pattern: &Pattern, order: Order, seed: u64) -> Self {
        let start = Instant::now();
        let budget = Bounds {
            ratio: 0.2,
            slack: 1.0,
            window: Duration::from_secs(10),
        };
        let mut simulation = Self {
            order,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: start,
            events: BinaryHeap::new(),
            sequence: 0,
            jobs: BTreeMap::new(),
            scheduler: scheduler(start, pattern.workers, 1),
            budget: WindowBudget::new(budget),
            running: vec![0; pattern.workers],
            waiting: BTreeSet::new(),
            tallies: vec![Tally::default(); pattern.kinds.len()],
            seconds: vec![(0, 0); 100],
            arrivals: Vec::new(),
            pattern: pattern.clone(),
        };
        // All arrivals are drawn first, so that they are the same for each order.
        for kind in 0..pattern.kinds.len() {
            simulation.draw(kind);
        }
        simulation.push(start, Event::Tick);
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            simulation.now = at;
            simulation.step(event);
        }
        simulation
    }

    pub fn tallies(&self) -> &[Tally] {
        &self.tallies
    }

    /// Returns the share of the value that was earned.
    pub fn worth(&self) -> f64 {
        let kinds = self.pattern.kinds.iter().zip(&self.tallies);
        let (mut earned, mut owed) = (0.0, 0.0);
        for (kind, tally) in kinds {
            let late = f64::from(tally.late) * LATE_VALUE;
            earned += kind.value * (f64::from(tally.in_time) + late);
            owed += kind.value * f64::from(tally.offered);
        }
        earned / owed
    }

    /// Returns the share of the value that a plan earns which knows all arrivals and their work: requests by value for
    /// their work, each in the free slot time between its arrival and its target.
    pub fn planned_worth(&self) -> f64 {
        const BUCKET_S: f64 = 0.05;
        let capacity = f64::from(u32::try_from(self.pattern.workers * SLOTS).unwrap()) * BUCKET_S;
        let mut buckets = vec![capacity; 4_000];
        let value = |job: &Job| self.pattern.kinds[job.kind].value;
        let mut jobs: Vec<&Job> = self.arrivals.iter().collect();
        let density = |job: &Job| value(job) / job.work.as_secs_f64();
        jobs.sort_by(|a, b| density(b).total_cmp(&density(a)));
        let (mut earned, mut owed) = (0.0, 0.0);
        for job in jobs {
            owed += value(job);
            let kind = self.pattern.kinds[job.kind];
            let bucket = |at: Instant| {
                let bucket = at.duration_since(self.start).as_secs_f64() / BUCKET_S;
                (0..buckets.len()).find(|b| f64::from(u32::try_from(*b).unwrap()) >= bucket)
            };
            let from = bucket(job.arrived).unwrap();
            let to = bucket(job.arrived + Duration::from_millis(kind.target_ms)).unwrap();
            let mut needed = job.work.as_secs_f64();
            if buckets[from..to].iter().sum::<f64>() < needed {
                continue;
            }
            for bucket in &mut buckets[from..to] {
                let taken = needed.min(*bucket);
                *bucket -= taken;
                needed -= taken;
            }
            earned += value(job);
        }
        earned / owed
    }

    fn draw(&mut self, kind: usize) {
        let Kind {
            rate,
            burst,
            work_ms,
            ..
        } = self.pattern.kinds[kind];
        let mut at = 0.0;
        while at < self.pattern.duration_s {
            let disturbed = self.pattern.disturbed_s.contains(&at);
            let rate = if disturbed { rate * burst } else { rate };
            at -= self.rng.random_range(1e-9..1.0_f64).ln() / rate;
            let (u, v): (f64, f64) = (
                self.rng.random_range(1e-9..1.0),
                self.rng.random_range(0.0..1.0),
            );
            let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
            let factor = (WORK_SPREAD * normal - WORK_SPREAD * WORK_SPREAD / 2.0).exp();
            let arrived = self.start + Duration::from_secs_f64(at);
            let job = Job {
                kind,
                arrived,
                work: Duration::from_millis(work_ms).mul_f64(factor),
                tried: Vec::new(),
                worker: 0,
                started: arrived,
            };
            self.push(arrived, Event::Arrive(self.arrivals.len()));
            self.arrivals.push(job);
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn is_disturbed(&self) -> bool {
        let at = self.now.duration_since(self.start).as_secs_f64();
        self.pattern.disturbed_s.contains(&at)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                let job = self.arrivals[index].clone();
                self.sequence += 1;
                let id = self.sequence;
                self.tallies[job.kind].offered += 1;
                self.second(&job).1 += 1;
                let rank = self.pattern.kinds[job.kind].rank;
                self.deposit(rank);
                self.jobs.insert(id, job);
                self.offer(id);
            }
            Event::Tick => {
                let actions = self.scheduler.tick(self.now);
                self.act(actions);
                self.expire();
                self.serve();
                let end = self.start + Duration::from_secs_f64(self.pattern.duration_s);
                if self.now < end || !self.jobs.is_empty() {
                    self.push(self.now + Duration::from_millis(50), Event::Tick);
                }
            }
            Event::End(id, success) => self.end(id, success),
        }
    }

    fn second(&mut self, job: &Job) -> &mut (u32, u32) {
        let second = job.arrived.duration_since(self.start).as_secs();
        &mut self.seconds[usize::try_from(second).unwrap()]
    }

    fn deposit(&mut self, rank: Rank) {
        if self.pattern.ranked_budget {
            self.budget.deposit_for(self.now, rank);
        } else {
            self.budget.deposit(self.now);
        }
    }

    fn try_withdraw(&mut self, rank: Rank) -> bool {
        if self.pattern.ranked_budget {
            self.budget.try_withdraw_for(self.now, Purpose::Retry, rank)
        } else {
            self.budget.try_withdraw(self.now, Purpose::Retry)
        }
    }

    fn offer(&mut self, id: u64) {
        if self.order != Order::Scheduler {
            self.waiting.insert(self.key(id));
            self.serve();
            return;
        }
        let job = &self.jobs[&id];
        let kind = self.pattern.kinds[job.kind];
        let request = Request {
            id,
            rank: kind.rank,
            class: u64::try_from(job.kind).unwrap() + 1,
            customer: kind.customer,
            download: false,
            at_most_once: true,
            target: job.arrived + Duration::from_millis(kind.target_ms),
            deadline: job.arrived + Duration::from_millis(kind.deadline_ms),
            tried: job.tried.iter().map(|w| worker(*w)).collect(),
            connected: Vec::new(),
            remote: false,
        };
        let decision = self.scheduler.offer(self.now, request);
        let displaced = self.scheduler.take_displaced();
        self.act(displaced);
        match decision {
            Decision::Send(to) => self.start(id, index(&to)),
            Decision::Wait => {}
            Decision::Refuse(refusal) => self.refuse(id, refusal.retry_after),
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(id, to) => self.start(id, index(&to)),
                Action::Refuse(id, refusal) => self.refuse(id, refusal.retry_after),
            }
        }
    }

    fn refuse(&mut self, id: u64, retry_after: Duration) {
        let job = self.jobs.remove(&id).unwrap();
        let queued = self.now.duration_since(job.arrived).as_millis();
        let tally = &mut self.tallies[job.kind];
        let (least, most) = &mut tally.retry_after;
        *least = (*least).min(retry_after);
        *most = (*most).max(retry_after);
        tally.refused += 1;
        tally.queued_ms = tally.queued_ms.max(queued);
    }

    fn start(&mut self, id: u64, at: usize) {
        let (now, disturbed) = (self.now, self.is_disturbed());
        let shed = disturbed && self.rng.random_bool(self.pattern.shed);
        let slowness = if disturbed {
            self.pattern.slowness
        } else {
            1.0
        };
        let job = self.jobs.get_mut(&id).unwrap();
        (job.worker, job.started) = (at, now);
        job.tried.push(at);
        self.running[at] += 1;
        let work = if shed {
            Duration::from_millis(2)
        } else {
            job.work.mul_f64(slowness)
        };
        self.push(now + work, Event::End(id, !shed));
    }

    fn end(&mut self, id: u64, success: bool) {
        let job = self.jobs[&id].clone();
        self.running[job.worker] -= 1;
        let kind = self.pattern.kinds[job.kind];
        let elapsed = self.now.duration_since(job.arrived);
        if success {
            self.jobs.remove(&id);
            let tally = &mut self.tallies[job.kind];
            tally.time += elapsed.as_secs_f64();
            if elapsed <= Duration::from_millis(kind.target_ms) {
                tally.in_time += 1;
                self.second(&job).0 += 1;
            } else if elapsed <= Duration::from_millis(kind.deadline_ms) {
                tally.late += 1;
            }
        }
        if self.order == Order::Scheduler {
            let outcome = if success {
                Outcome::Success
            } else {
                Outcome::Shed
            };
            let worker = worker(job.worker);
            let actions = self
                .scheduler
                .finish(self.now, &worker, job.started, outcome);
            self.act(actions);
        }
        if !success {
            if job.tried.len() < MAX_ATTEMPTS && self.try_withdraw(kind.rank) {
                self.offer(id);
            } else {
                self.refuse(id, Duration::ZERO);
            }
        }
        self.serve();
    }

    fn deadline(&self, job: &Job) -> Instant {
        job.arrived + Duration::from_millis(self.pattern.kinds[job.kind].deadline_ms)
    }

    /// Returns the position of a request in a plain order within each rank.
    fn key(&self, id: u64) -> (Rank, Instant, u64) {
        let job = &self.jobs[&id];
        let kind = &self.pattern.kinds[job.kind];
        let at = match self.order {
            Order::Deadline => self.deadline(job),
            Order::Work => self.start + Duration::from_millis(kind.work_ms),
            Order::Arrival | Order::Scheduler => job.arrived,
        };
        (kind.rank, at, id)
    }

    /// Drops the requests that have missed their deadline from a plain queue.
    fn expire(&mut self) {
        let expired = self.waiting.iter().copied();
        let expired: Vec<_> = expired
            .filter(|(_, _, id)| self.now > self.deadline(&self.jobs[id]))
            .collect();
        for entry in expired {
            self.waiting.remove(&entry);
            self.refuse(entry.2, Duration::ZERO);
        }
    }

    /// Fills free slots from a plain queue.
    fn serve(&mut self) {
        while let Some(at) = (0..self.running.len()).find(|w| self.running[*w] < SLOTS) {
            let Some((_, _, id)) = self.waiting.pop_first() else {
                return;
            };
            self.start(id, at);
        }
    }
}
