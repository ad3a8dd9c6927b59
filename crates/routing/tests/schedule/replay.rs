//! Replay of a load at workers with two slots, which run their queues in order and refuse when they are full.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{Action, Decision, Evidence, Outcome, Scheduler};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::{DEADLINE, TARGET, WORK, request, schedule, worker};

const SLOTS: usize = 2;
const QUEUE: usize = 8;
const LENGTH: Duration = Duration::from_secs(20);

/// One load.
#[derive(Clone, Copy)]
pub struct Load {
    pub entries: usize,
    pub workers: usize,
    /// Offered work as a share of what the workers can do.
    pub room: f64,
    /// Share of the requests that are urgent.
    pub urgent: f64,
    /// Part of the workers that fail nine of ten requests at once, each for 3 s of every 10 s.
    pub bad: f64,
    /// Whether the entries tell each other of failures.
    pub shared: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub asked: u32,
    pub in_time: u32,
    /// Answered within three times the mean work.
    pub quick: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    /// Longest time for which a request was held that was then refused, in milliseconds.
    pub held_ms: u128,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    End { worker: usize, id: u64, good: bool },
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

/// Decides where a request goes: by the schedules of the entries, or to workers in turn.
enum Way {
    Schedules(Vec<Scheduler>),
    InTurn(usize),
}

pub struct Replay {
    load: Load,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    upstreams: Vec<Upstream>,
    jobs: BTreeMap<u64, Job>,
    way: Way,
    sequence: u64,
    tallies: [Tally; 2],
}

impl Replay {
    /// Plays a load and returns the tallies of urgent and other requests.
    pub fn run(load: Load, planned: bool) -> [Tally; 2] {
        let start = Instant::now();
        let way = if planned {
            Way::Schedules(
                (0..load.entries)
                    .map(|_| schedule(start, load.workers, u32::try_from(load.entries).unwrap()))
                    .collect(),
            )
        } else {
            Way::InTurn(0)
        };
        let mut replay = Self {
            load,
            rng: StdRng::seed_from_u64(7),
            start,
            now: start,
            events: BinaryHeap::new(),
            upstreams: (0..load.workers).map(|_| Upstream::default()).collect(),
            jobs: BTreeMap::new(),
            way,
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
        let over = self.now >= self.start + LENGTH;
        match event {
            Event::Arrive if over => {}
            Event::Arrive => {
                let slots = count(self.load.workers * SLOTS);
                let rate = slots / WORK.as_secs_f64() * self.load.room;
                let pause: f64 = -self.rng.random_range(1e-9..1.0_f64).ln() / rate;
                self.push(self.now + Duration::from_secs_f64(pause), Event::Arrive);
                self.arrive();
            }
            Event::Tick => {
                for entry in 0..self.load.entries {
                    if let Way::Schedules(schedules) = &mut self.way {
                        let actions = schedules[entry].tick(self.now);
                        self.act(actions);
                    }
                }
                if !over || !self.jobs.is_empty() {
                    self.push(self.now + Duration::from_millis(50), Event::Tick);
                }
            }
            Event::End { worker, id, good } => self.end(worker, id, good),
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
        self.tally(rank).asked += 1;
        self.jobs.insert(id, job);
        match &mut self.way {
            Way::InTurn(next) => {
                *next = (*next + 1) % self.load.workers;
                let to = *next;
                self.send(id, to);
            }
            Way::Schedules(schedules) => {
                let decision = schedules[entry].offer(self.now, request(id, self.now, rank));
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
            let held = (self.now - job.arrived).as_millis();
            let tally = self.tally(job.rank);
            tally.refused += 1;
            tally.held_ms = tally.held_ms.max(held);
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
        } else if upstream.waiting.len() < QUEUE {
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
        let bad = count(at) < self.load.bad * count(self.load.workers) && phase % 10.0 < 3.0;
        let good = !(bad && self.rng.random_bool(0.9));
        let spread: f64 = -self.rng.random_range(1e-3..1.0_f64).ln();
        let work = if good {
            WORK.mul_f64(spread)
        } else {
            Duration::from_millis(1)
        };
        let end = Event::End {
            worker: at,
            id,
            good,
        };
        self.push(self.now + work, end);
    }

    fn end(&mut self, at: usize, id: u64, good: bool) {
        let upstream = &mut self.upstreams[at];
        // Workers report their load with the request that ends.
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
        let took = self.now - job.arrived;
        let tally = self.tally(job.rank);
        tally.quick += u32::from(good && took <= 3 * WORK);
        match good {
            true if took <= TARGET => tally.in_time += 1,
            true if took <= DEADLINE => tally.late += 1,
            _ => tally.failed += 1,
        }
        if let Way::Schedules(schedules) = &mut self.way {
            schedules[job.entry].record_load(self.now, &worker(at), load);
            if !good && self.load.shared {
                for (entry, schedule) in schedules.iter_mut().enumerate() {
                    if entry != job.entry {
                        schedule.observe(self.now, &worker(at), Evidence::Failure);
                    }
                }
            }
        }
        let outcome = if good {
            Outcome::Success
        } else {
            Outcome::Failure
        };
        self.finish(job.entry, at, job.started, outcome);
    }

    fn finish(&mut self, entry: usize, at: usize, started: Instant, outcome: Outcome) {
        if let Way::Schedules(schedules) = &mut self.way {
            let actions = schedules[entry].finish(self.now, &worker(at), started, outcome);
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

pub fn load(room: f64) -> Load {
    Load {
        entries: 4,
        workers: 21,
        room,
        urgent: 0.2,
        bad: 0.0,
        shared: true,
    }
}
