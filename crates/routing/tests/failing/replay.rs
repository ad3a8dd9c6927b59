//! Simulation of zones that share workers with failing phases. Each zone has one scheduler, which sees its own requests,
//! and the observations of the others after a delay.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{
    Action, Decision, Evidence, Outcome, Request, Scheduler, Spec,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DURATION: Duration = Duration::from_secs(40);
/// Time before the figures are counted, in which the schedulers learn the response times.
const WARM_UP: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(50);
/// Time from the end of an attempt until the scheduler of the zone knows its outcome.
const REPORT_DELAY: Duration = Duration::from_millis(6);
/// Time from an outcome until the schedulers of the other zones know it.
const OBSERVATION_DELAY: Duration = Duration::from_millis(12);
/// Share of the attempts that healthy workers fail.
const RANDOM_ERRORS: f64 = 0.012;
/// Share of the attempts that a worker fails in a failing phase.
const PHASE_ERRORS: f64 = 0.9;
/// Share of the attempts that a worker fails in an outage, and the seconds in which it takes place.
const OUTAGE_ERRORS: f64 = 0.5;
const OUTAGE: std::ops::Range<u64> = 20..30;
/// Time after which a worker answers with an error.
const FAILURE_TIME: Duration = Duration::from_millis(10);
/// Time from the first success of a worker in which it should get another request.
const MAX_RETURN_TIME: Duration = Duration::from_secs(2);
/// Share of the sound workers that must get requests.
const FLOOR: f64 = 0.7;
/// Span in which the floor's share of the workers must get requests.
const FLOOR_SPAN: Duration = Duration::from_secs(2);
const TARGET: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(3);
/// Maximum number of attempts of a request that may be repeated.
const MAX_ATTEMPTS: usize = 2;

/// Parameters of a simulated fleet.
#[derive(Clone, Copy)]
pub struct Fleet {
    pub zones: usize,
    pub workers: usize,
    pub slots: u32,
    pub requests_per_s: f64,
    pub service_time: Duration,
    /// Share of the requests that must not run twice.
    pub at_most_once: f64,
    /// Length of a failing phase, and the share of the time that a worker spends in one.
    pub phase: Duration,
    pub failing_share: f64,
    /// Share of the workers that fail half of their requests from 20 to 30 s in addition.
    pub outage: f64,
    /// Whether the workers to use are known instead of learned.
    pub oracle: bool,
    pub seed: u64,
}

/// Figures of a replay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub requests: u32,
    pub failed: u32,
    pub refused: u32,
    pub late: u32,
    pub retries: u32,
    pub phases: u32,
    /// Failed attempts of workers in a failing phase.
    pub phase_failures: u32,
    /// Mean share of the sound workers that all schedulers avoid or that got no request in [`FLOOR_SPAN`].
    pub unused_sound: f64,
    /// Smallest share of the sound workers that got a request in [`FLOOR_SPAN`], while over a tenth of the requests fail
    /// and at any time.
    pub floor_when_failing: f64,
    pub floor: f64,
    /// Samples in which the floor is missed while over a tenth and under half of the requests fail, and all samples with
    /// such a share of failures.
    pub floor_missed: u32,
    pub failing_samples: u32,
    /// Workers that got a request after their first success after a phase, and those that waited longer than
    /// [`MAX_RETURN_TIME`] for it.
    pub returns: u32,
    pub late_returns: u32,
}

impl Figures {
    /// Returns the share of failed and refused requests in percent.
    pub fn failed_percent(&self) -> f64 {
        100.0 * f64::from(self.failed + self.refused) / f64::from(self.requests)
    }

    /// Returns the failed attempts for each failing phase.
    pub fn failures_per_phase(&self) -> f64 {
        f64::from(self.phase_failures) / f64::from(self.phases.max(1))
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    End {
        id: u64,
        success: bool,
    },
    Report {
        id: u64,
        success: bool,
    },
    Observe {
        zone: usize,
        worker: usize,
        success: bool,
    },
    Tick,
    Sample,
}

#[derive(Clone, Copy, Debug)]
struct Phase {
    start: Instant,
    end: Instant,
}

struct Upstream {
    running: u32,
    phases: Vec<Phase>,
    last_sent: Instant,
    last_failed: Option<Instant>,
    /// First success after the last phase, while the worker has had no request since.
    recovered_at: Option<Instant>,
}

struct Job {
    zone: usize,
    at_most_once: bool,
    arrived: Instant,
    tried: Vec<Worker>,
}

struct Attempt {
    job: u64,
    zone: usize,
    worker: usize,
    started: Instant,
}

pub struct Replay {
    fleet: Fleet,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    upstreams: Vec<Upstream>,
    schedulers: Vec<Scheduler>,
    jobs: BTreeMap<u64, Job>,
    attempts: BTreeMap<u64, Attempt>,
    sequence: u64,
    figures: Figures,
    samples: f64,
    /// Ends of requests in the last [`FLOOR_SPAN`], and whether they failed.
    ends: Vec<(Instant, bool)>,
}

fn worker(index: usize) -> Worker {
    Worker::new(&format!("w{index}")).unwrap()
}

fn index(worker: &Worker) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

fn zone(index: usize) -> Zone {
    Zone::new(&format!("z{index}")).unwrap()
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

/// Creates the scheduler of a zone.
pub fn scheduler(now: Instant, fleet: Fleet, at: usize) -> Scheduler {
    let spec = |zone| Spec {
        incarnation: Incarnation(1),
        zone,
        slots: fleet.slots,
        warm_up: Duration::ZERO,
    };
    let workers = 0..fleet.workers;
    let specs: Vec<_> = workers
        .map(|w| (worker(w), spec(zone(w % fleet.zones))))
        .collect();
    let mut scheduler = Scheduler::new(zone(at));
    scheduler.sync_workers(now, &specs, u32::try_from(fleet.zones).unwrap());
    scheduler.set_floor(Some(FLOOR));
    scheduler
}

pub fn request(id: u64, arrived: Instant, at_most_once: bool, tried: Vec<Worker>) -> Request {
    Request {
        class: 0,
        customer: None,
        id,
        rank: Rank::Middle,
        download: false,
        at_most_once,
        target: arrived + TARGET,
        deadline: arrived + DEADLINE,
        tried,
        connected: Vec::new(),
        remote: true,
    }
}

impl Replay {
    /// Simulates a fleet.
    pub fn run(fleet: Fleet) -> Figures {
        let start = Instant::now();
        let mut rng = StdRng::seed_from_u64(fleet.seed);
        let schedulers = (0..fleet.zones).map(|zone| scheduler(start, fleet, zone));
        let schedulers = schedulers.collect();
        let upstreams = (0..fleet.workers).map(|_| Upstream {
            running: 0,
            phases: phases(fleet, &mut rng, start),
            last_sent: start,
            last_failed: None,
            recovered_at: None,
        });
        let mut replay = Self {
            fleet,
            start,
            now: start,
            events: BinaryHeap::new(),
            upstreams: upstreams.collect(),
            rng,
            schedulers,
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sequence: 0,
            figures: Figures {
                floor: 1.0,
                floor_when_failing: 1.0,
                ..Figures::default()
            },
            samples: 0.0,
            ends: Vec::new(),
        };
        for event in [Event::Arrive, Event::Tick, Event::Sample] {
            replay.push(start, event);
        }
        while let Some(Reverse((at, _, event))) = replay.events.pop() {
            replay.now = at;
            replay.step(event);
        }
        replay.summarize()
    }

    fn summarize(mut self) -> Figures {
        let counted = self.start + WARM_UP..self.start + DURATION;
        let phases = self.upstreams.iter().flat_map(|u| &u.phases);
        let phases = phases.filter(|p| counted.contains(&p.start)).count();
        self.figures.phases = u32::try_from(phases).unwrap();
        self.figures.unused_sound /= self.samples.max(1.0);
        self.figures
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn is_counted(&self) -> bool {
        self.now >= self.start + WARM_UP
    }

    fn step(&mut self, event: Event) {
        let over = self.now >= self.start + DURATION;
        match event {
            Event::Arrive if over => {}
            Event::Arrive => {
                let interval: f64 =
                    -self.rng.random_range(1e-9..1.0_f64).ln() / self.fleet.requests_per_s;
                self.push(self.now + Duration::from_secs_f64(interval), Event::Arrive);
                self.arrive();
            }
            Event::Tick => {
                for zone in 0..self.fleet.zones {
                    let actions = self.schedulers[zone].tick(self.now);
                    self.act(actions);
                }
                if !over || !self.jobs.is_empty() {
                    self.push(self.now + TICK, Event::Tick);
                }
            }
            Event::Sample => {
                if self.is_counted() {
                    self.sample();
                }
                if !over {
                    self.push(self.now + 4 * TICK, Event::Sample);
                }
            }
            Event::End { id, success } => self.end(id, success),
            Event::Report { id, success } => self.report(id, success),
            Event::Observe {
                zone,
                worker: at,
                success,
            } => {
                let evidence = if success {
                    Evidence::Success
                } else {
                    Evidence::Failure
                };
                self.schedulers[zone].observe(self.now, &worker(at), evidence);
            }
        }
    }

    fn arrive(&mut self) {
        self.sequence += 1;
        let id = self.sequence;
        let job = Job {
            zone: self.rng.random_range(0..self.fleet.zones),
            at_most_once: self.rng.random_bool(self.fleet.at_most_once),
            arrived: self.now,
            tried: Vec::new(),
        };
        self.figures.requests += u32::from(self.is_counted());
        self.jobs.insert(id, job);
        self.offer(id);
    }

    fn offer(&mut self, id: u64) {
        let job = &self.jobs[&id];
        if self.fleet.oracle {
            return self.send_to_healthy(id);
        }
        let must_succeed = job.at_most_once || job.tried.len() + 1 >= MAX_ATTEMPTS;
        let request = request(id, job.arrived, must_succeed, job.tried.clone());
        match self.schedulers[job.zone].offer(self.now, request) {
            Decision::Send(to) => self.send(id, index(&to)),
            Decision::Wait => {}
            Decision::Refuse(_) => self.refuse(id),
        }
    }

    /// Sends a request to the worker with the lowest load that doesn't fail now.
    fn send_to_healthy(&mut self, id: u64) {
        let offset = self.rng.random_range(0..self.fleet.workers);
        let order = (0..self.fleet.workers).map(|w| (w + offset) % self.fleet.workers);
        let healthy = order.filter(|w| !self.is_failing(*w));
        match healthy.min_by_key(|w| self.upstreams[*w].running) {
            Some(to) => self.send(id, to),
            None => self.refuse(id),
        }
    }

    fn is_failing(&self, worker: usize) -> bool {
        let mut phases = self.upstreams[worker].phases.iter();
        phases.any(|p| p.start <= self.now && self.now < p.end)
    }

    fn refuse(&mut self, id: u64) {
        if self.jobs.remove(&id).is_some() {
            self.figures.refused += u32::from(self.is_counted());
            self.ends.push((self.now, true));
        }
    }

    fn send(&mut self, id: u64, to: usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.tried.push(worker(to));
        let attempt = Attempt {
            job: id,
            zone: job.zone,
            worker: to,
            started: self.now,
        };
        let failing = self.is_failing(to);
        let in_outage = count(to) < self.fleet.outage * count(self.fleet.workers)
            && OUTAGE.contains(&(self.now - self.start).as_secs());
        let errors = match (failing, in_outage) {
            (true, _) => PHASE_ERRORS,
            (false, true) => OUTAGE_ERRORS,
            (false, false) => RANDOM_ERRORS,
        };
        let success = !self.rng.random_bool(errors);
        let upstream = &mut self.upstreams[to];
        upstream.running += 1;
        upstream.last_sent = self.now;
        if let Some(at) = upstream.recovered_at.take()
            && self.now >= self.start + WARM_UP
        {
            self.figures.returns += 1;
            self.figures.late_returns += u32::from(self.now - at > MAX_RETURN_TIME);
        }
        let normal: f64 = (0..12)
            .map(|_| self.rng.random_range(0.0..1.0))
            .sum::<f64>()
            - 6.0;
        let took = if success {
            self.fleet.service_time.mul_f64((0.5 * normal).exp())
        } else {
            FAILURE_TIME
        };
        self.sequence += 1;
        let attempt_id = self.sequence;
        self.attempts.insert(attempt_id, attempt);
        let end = Event::End {
            id: attempt_id,
            success,
        };
        self.push(self.now + took, end);
    }

    fn end(&mut self, id: u64, success: bool) {
        let attempt = &self.attempts[&id];
        let (job_id, at) = (attempt.job, attempt.worker);
        let failing = self.is_failing(at);
        let counted = self.is_counted();
        let upstream = &mut self.upstreams[at];
        upstream.running -= 1;
        if !success {
            upstream.last_failed = Some(self.now);
            self.figures.phase_failures += u32::from(counted && failing);
        }
        self.push(self.now + REPORT_DELAY, Event::Report { id, success });
        let job = &self.jobs[&job_id];
        if !success && !job.at_most_once && job.tried.len() < MAX_ATTEMPTS {
            self.figures.retries += u32::from(counted);
            return self.offer(job_id);
        }
        let late = self.now - job.arrived > TARGET;
        self.jobs.remove(&job_id);
        self.ends.push((self.now, !success));
        self.figures.failed += u32::from(counted && !success);
        self.figures.late += u32::from(counted && success && late);
    }

    fn report(&mut self, id: u64, success: bool) {
        let attempt = self.attempts.remove(&id).unwrap();
        let (zone, at) = (attempt.zone, attempt.worker);
        let name = worker(at);
        let load = self.upstreams[at].running + 1;
        self.schedulers[zone].record_load(self.now, &name, load);
        if !success || self.schedulers[zone].is_recovered_by(self.now, &name, attempt.started) {
            if success && !self.is_failing(at) {
                self.upstreams[at].recovered_at = Some(self.now);
            }
            for other in (0..self.fleet.zones).filter(|z| *z != zone) {
                let event = Event::Observe {
                    zone: other,
                    worker: at,
                    success,
                };
                self.push(self.now + OBSERVATION_DELAY, event);
            }
        }
        let outcome = if success {
            Outcome::Success
        } else {
            Outcome::Failure
        };
        let actions = self.schedulers[zone].finish(self.now, &name, attempt.started, outcome);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(id, to) => self.send(id, index(&to)),
                Action::Refuse(id, _) => self.refuse(id),
            }
        }
    }

    /// Adds the state of the workers at this moment to the figures.
    fn sample(&mut self) {
        let now = self.now;
        self.ends.retain(|(at, _)| now - *at < FLOOR_SPAN);
        let within = |at: Instant| now - at < FLOOR_SPAN;
        let sound = |u: &&Upstream| !u.last_failed.is_some_and(within);
        let sound: Vec<&Upstream> = self.upstreams.iter().filter(sound).collect();
        let used = sound.iter().filter(|u| within(u.last_sent)).count();
        let share = count(used) / count(sound.len().max(1));
        let failed = self.ends.iter().filter(|(_, failed)| *failed).count();
        let figures = &mut self.figures;
        figures.floor = figures.floor.min(share);
        if failed * 10 > self.ends.len() && failed * 2 < self.ends.len() {
            figures.floor_when_failing = figures.floor_when_failing.min(share);
            figures.failing_samples += 1;
            figures.floor_missed += u32::from(share < FLOOR);
        }
        let healthy = (0..self.upstreams.len()).filter(|w| !self.is_failing(*w));
        let healthy: Vec<usize> = healthy.collect();
        let unused = healthy
            .iter()
            .filter(|w| now - self.upstreams[**w].last_sent >= FLOOR_SPAN)
            .count();
        self.figures.unused_sound += count(unused) / count(healthy.len().max(1));
        self.samples += 1.0;
    }
}

/// Draws the failing phases of a worker: in each period of a phase's length it fails with the same probability.
fn phases(fleet: Fleet, rng: &mut StdRng, start: Instant) -> Vec<Phase> {
    let mut phases: Vec<Phase> = Vec::new();
    let mut at = start + fleet.phase.mul_f64(rng.random_range(0.0..1.0));
    while at < start + DURATION {
        let end = at + fleet.phase;
        if rng.random_bool(fleet.failing_share) {
            match phases.last_mut().filter(|p| p.end == at) {
                Some(phase) => phase.end = end,
                None => phases.push(Phase { start: at, end }),
            }
        }
        at = end;
    }
    phases
}
