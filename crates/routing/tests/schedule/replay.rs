//! Simulation of a load at workers with two slots, which process their queues in order and shed requests when they are
//! full.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{Action, Decision, Evidence, Outcome, Scheduler};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::{DEADLINE, SERVICE_TIME, TARGET, request, scheduler, worker};

const SLOTS: usize = 2;
const QUEUE_LIMIT: usize = 8;
const DURATION: Duration = Duration::from_secs(20);

/// Parameters of a simulated load.
#[derive(Clone, Copy)]
pub struct Load {
    pub entries: usize,
    pub workers: usize,
    /// Offered load as a share of the workers' capacity.
    pub utilization: f64,
    /// Share of the requests that are urgent.
    pub urgent: f64,
    /// Share of the workers that immediately fail nine of ten requests, each for 3 s of every 10 s.
    pub faulty_share: f64,
    /// Whether entries report failures to each other.
    pub share_failures: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub offered: u32,
    pub in_time: u32,
    /// Answered within three times the mean service time.
    pub quick: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    /// Maximum time for which a request was queued before it was refused, in milliseconds.
    pub queued_ms: u128,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    End {
        worker: usize,
        id: u64,
        success: bool,
    },
    Tick,
}

#[derive(Default)]
struct Upstream {
    running: usize,
    waiting: VecDeque<u64>,
}

struct Job {
    entry: usize,
    rank: Rank,
    arrived: Instant,
    worker: usize,
    started: Instant,
}

/// Dispatch policy: the schedulers of the entries, or round-robin.
enum Policy {
    Schedulers(Vec<Scheduler>),
    RoundRobin(usize),
}

pub struct Replay {
    load: Load,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    upstreams: Vec<Upstream>,
    jobs: BTreeMap<u64, Job>,
    policy: Policy,
    sequence: u64,
    tallies: [Tally; 2],
}

impl Replay {
    /// Simulates a load; returns the tallies of urgent and of other requests.
    pub fn run(load: Load, scheduled: bool) -> [Tally; 2] {
        let start = Instant::now();
        let policy = if scheduled {
            Policy::Schedulers(
                (0..load.entries)
                    .map(|_| scheduler(start, load.workers, u32::try_from(load.entries).unwrap()))
                    .collect(),
            )
        } else {
            Policy::RoundRobin(0)
        };
        let mut replay = Self {
            load,
            rng: StdRng::seed_from_u64(7),
            start,
            now: start,
            events: BinaryHeap::new(),
            upstreams: (0..load.workers).map(|_| Upstream::default()).collect(),
            jobs: BTreeMap::new(),
            policy,
            sequence: 0,
            tallies: Default::default(),
        };
        replay.push(start, Event::Arrive);
        replay.push(start, Event::Tick);
        while let Some(Reverse((at, _, event))) = replay.events.pop() {
            replay.now = at;
            replay.step(event);
        }
        replay.tallies
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: Event) {
        let over = self.now >= self.start + DURATION;
        match event {
            Event::Arrive if over => {}
            Event::Arrive => {
                let slots = count(self.load.workers * SLOTS);
                let rate = slots / SERVICE_TIME.as_secs_f64() * self.load.utilization;
                let interval: f64 = -self.rng.random_range(1e-9..1.0_f64).ln() / rate;
                self.push(self.now + Duration::from_secs_f64(interval), Event::Arrive);
                self.arrive();
            }
            Event::Tick => {
                for entry in 0..self.load.entries {
                    if let Policy::Schedulers(schedulers) = &mut self.policy {
                        let actions = schedulers[entry].tick(self.now);
                        self.act(actions);
                    }
                }
                if !over || !self.jobs.is_empty() {
                    self.push(self.now + Duration::from_millis(50), Event::Tick);
                }
            }
            Event::End {
                worker,
                id,
                success,
            } => self.end(worker, id, success),
        }
    }

    fn arrive(&mut self) {
        self.sequence += 1;
        let id = self.sequence;
        let urgent = self.rng.random_bool(self.load.urgent);
        let rank = if urgent { Rank::Top } else { Rank::Bottom };
        let entry = self.rng.random_range(0..self.load.entries);
        let job = Job {
            entry,
            rank,
            arrived: self.now,
            worker: 0,
            started: self.now,
        };
        self.tally(rank).offered += 1;
        self.jobs.insert(id, job);
        match &mut self.policy {
            Policy::RoundRobin(next) => {
                *next = (*next + 1) % self.load.workers;
                let to = *next;
                self.send(id, to);
            }
            Policy::Schedulers(schedulers) => {
                let decision = schedulers[entry].offer(self.now, request(id, self.now, rank));
                match decision {
                    Decision::Send(to) => self.send(id, index(&to)),
                    Decision::Wait => {}
                    Decision::Refuse(_) => self.refuse(id),
                }
            }
        }
    }

    fn tally(&mut self, rank: Rank) -> &mut Tally {
        &mut self.tallies[usize::from(rank != Rank::Top)]
    }

    fn refuse(&mut self, id: u64) {
        if let Some(job) = self.jobs.remove(&id) {
            let queued = (self.now - job.arrived).as_millis();
            let tally = self.tally(job.rank);
            tally.refused += 1;
            tally.queued_ms = tally.queued_ms.max(queued);
        }
    }

    fn send(&mut self, id: u64, to: usize) {
        if let Some(job) = self.jobs.get_mut(&id) {
            (job.worker, job.started) = (to, self.now);
        }
        let upstream = &mut self.upstreams[to];
        if upstream.running < SLOTS {
            upstream.running += 1;
            self.work(id, to);
        } else if upstream.waiting.len() < QUEUE_LIMIT {
            upstream.waiting.push_back(id);
        } else {
            let job = self.jobs.get(&id).map(|job| (job.entry, job.started));
            self.refuse(id);
            if let Some((entry, started)) = job {
                self.finish(entry, to, started, Outcome::Shed);
            }
        }
    }

    fn work(&mut self, id: u64, at: usize) {
        let phase = (self.now - self.start).as_secs_f64() + count(at) * 1.7;
        let faulty =
            count(at) < self.load.faulty_share * count(self.load.workers) && phase % 10.0 < 3.0;
        let success = !(faulty && self.rng.random_bool(0.9));
        let spread: f64 = -self.rng.random_range(1e-3..1.0_f64).ln();
        let work = if success {
            SERVICE_TIME.mul_f64(spread)
        } else {
            Duration::from_millis(1)
        };
        let end = Event::End {
            worker: at,
            id,
            success,
        };
        self.push(self.now + work, end);
    }

    fn end(&mut self, at: usize, id: u64, success: bool) {
        let upstream = &mut self.upstreams[at];
        // Workers report their load with the response that ends.
        let load = u32::try_from(upstream.running + upstream.waiting.len()).unwrap();
        upstream.running -= 1;
        let next = upstream.waiting.pop_front();
        upstream.running += usize::from(next.is_some());
        if let Some(next) = next {
            self.work(next, at);
        }
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let elapsed = self.now - job.arrived;
        let tally = self.tally(job.rank);
        tally.quick += u32::from(success && elapsed <= 3 * SERVICE_TIME);
        match success {
            true if elapsed <= TARGET => tally.in_time += 1,
            true if elapsed <= DEADLINE => tally.late += 1,
            _ => tally.failed += 1,
        }
        if let Policy::Schedulers(schedulers) = &mut self.policy {
            schedulers[job.entry].record_load(self.now, &worker(at), load);
            if !success && self.load.share_failures {
                for (entry, scheduler) in schedulers.iter_mut().enumerate() {
                    if entry != job.entry {
                        scheduler.observe(self.now, &worker(at), Evidence::Failure);
                    }
                }
            }
        }
        let outcome = if success {
            Outcome::Success
        } else {
            Outcome::Failure
        };
        self.finish(job.entry, at, job.started, outcome);
    }

    fn finish(&mut self, entry: usize, at: usize, started: Instant, outcome: Outcome) {
        if let Policy::Schedulers(schedulers) = &mut self.policy {
            let actions = schedulers[entry].finish(self.now, &worker(at), started, outcome);
            self.act(actions);
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(id, to) => self.send(id, index(&to)),
                Action::Refuse(id, _) => self.refuse(id),
            }
        }
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

pub fn index(worker: &Worker) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

pub fn load(utilization: f64) -> Load {
    Load {
        entries: 4,
        workers: 21,
        utilization,
        urgent: 0.2,
        faulty_share: 0.0,
        share_failures: true,
    }
}
