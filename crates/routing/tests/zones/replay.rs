//! Simulation of a service in four zones whose demand moves. Workers process their queues in order; the coordinator of each
//! zone decides from its own requests, from the loads in responses, and from the summaries of the other coordinators.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Incarnation, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{
    Action, Decision, Outcome, Request, Scheduler, Spec, Summary,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::MAX_WAIT_MS;

pub const ZONES: usize = 4;
pub const SLOTS: usize = 6;
const DURATION: Duration = Duration::from_secs(16);
/// Time on the way to another zone and back.
const WAY: Duration = Duration::from_millis(7);
const WORK_S: Range<f64> = 0.25..0.62;
const TARGET: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(4);
const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an attempt in a zone that can't be reached fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Additional time of a message that is lost and sent again.
const RETRANSMISSION: Duration = Duration::from_millis(200);
const WINDOW: Duration = Duration::from_millis(500);

/// Who chooses the zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The schedulers without summaries.
    Former,
    /// The schedulers with summaries.
    Summaries,
    /// All queues and slots are known, and a request leaves its zone only if no slot is free there.
    Oracle,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub workers: usize,
    /// Offered load as a share of all slots.
    pub utilization: f64,
    /// Part of the demand in each zone, usually and while it is disturbed.
    pub usual: [f64; ZONES],
    pub disturbed: [f64; ZONES],
    pub disturbed_s: Range<f64>,
    /// Age of summaries when they arrive.
    pub delay: Duration,
    /// Zone that exchanges no messages with others while demand is disturbed.
    pub cut_off: Option<usize>,
    /// Zone whose coordinator is replaced, and when.
    pub replaced: Option<(usize, f64)>,
    /// Share of the messages between the first two zones that are lost.
    pub loss: f64,
    /// Worker that is slow while demand is disturbed, by this factor.
    pub slow: Option<(usize, f64)>,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Mean time and 99th percentile before the processing starts, in milliseconds, while demand is disturbed.
    pub wait: f64,
    pub wait_99: f64,
    /// Share of the urgent requests that wait for longer than [`crate::MAX_WAIT_MS`] in zones whose demand is not above the
    /// usual. There are some hundreds of them, too few for a high percentile.
    pub urgent_late: f64,
    /// Share of the requests that left their zone while demand is disturbed, and otherwise.
    pub crossed: f64,
    pub crossed_usually: f64,
    /// Share of the requests for which another one came from the zone to which they were sent, within half a second, while
    /// demand is disturbed.
    pub exchanged: f64,
    /// Share of the crossing requests that waited at a worker.
    pub waited_there: f64,
    pub refused: u32,
    pub failed_attempts: u32,
    /// Requests at the slow worker in each second from the start of the disturbance.
    pub at_slow: [u32; 16],
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// A request reaches its worker.
    Reach(u64),
    End(u64),
    /// The coordinator learns the end of an attempt.
    Report(u64, bool),
    Tick,
    Publish,
    Deliver(usize, usize, usize),
    Replace,
}

struct Job {
    zone: usize,
    rank: Rank,
    arrived: Instant,
    worker: usize,
    sent: Instant,
    began: Option<Instant>,
    generation: u32,
    tried: Vec<Worker>,
}

#[derive(Default)]
struct Upstream {
    running: usize,
    waiting: VecDeque<u64>,
}

pub struct Replay {
    pattern: Pattern,
    rule: Rule,
    rng: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    schedulers: Vec<Scheduler>,
    generations: Vec<u32>,
    upstreams: Vec<Upstream>,
    /// Queues of the oracle, by zone and rank.
    queues: Vec<[VecDeque<u64>; 3]>,
    jobs: BTreeMap<u64, Job>,
    summaries: Vec<(Instant, Summary)>,
    waits: Vec<f64>,
    urgent_waits: Vec<f64>,
    offered: [f64; 2],
    crossed: [f64; 2],
    waited_there: f64,
    /// Crossing requests by window and pair of zones.
    flows: BTreeMap<(u128, usize, usize), f64>,
    figures: Figures,
}

fn worker(index: usize) -> Worker {
    Worker::new(&format!("w{index}")).unwrap()
}

pub fn index(worker: &Worker) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

pub fn zone(index: usize) -> Zone {
    Zone::new(&format!("z{index}")).unwrap()
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

pub fn scheduler(now: Instant, workers: usize, at: usize) -> Scheduler {
    let spec = |zone| Spec {
        incarnation: Incarnation(1),
        zone,
        slots: u32::try_from(SLOTS).unwrap(),
        warm_up: Duration::ZERO,
    };
    let specs: Vec<_> = (0..workers)
        .map(|w| (worker(w), spec(zone(w % ZONES))))
        .collect();
    let mut scheduler = Scheduler::new(zone(at));
    scheduler.sync_workers(now, &specs, u32::try_from(ZONES).unwrap());
    scheduler.set_floor(Some(0.7));
    scheduler
}

pub fn request(id: u64, now: Instant, rank: Rank) -> Request {
    Request {
        id,
        rank,
        class: 0,
        customer: None,
        download: false,
        at_most_once: false,
        target: now + TARGET,
        deadline: now + DEADLINE,
        tried: Vec::new(),
        connected: Vec::new(),
        remote: true,
    }
}

impl Replay {
    pub fn run(pattern: &Pattern, rule: Rule) -> Figures {
        let start = Instant::now();
        let schedulers = (0..ZONES).map(|zone| scheduler(start, pattern.workers, zone));
        let mut replay = Self {
            pattern: pattern.clone(),
            rule,
            rng: StdRng::seed_from_u64(pattern.seed),
            start,
            now: start,
            events: BinaryHeap::new(),
            sequence: 0,
            schedulers: schedulers.collect(),
            generations: vec![0; ZONES],
            upstreams: (0..pattern.workers).map(|_| Upstream::default()).collect(),
            queues: (0..ZONES).map(|_| Default::default()).collect(),
            jobs: BTreeMap::new(),
            summaries: Vec::new(),
            waits: Vec::new(),
            urgent_waits: Vec::new(),
            offered: [0.0; 2],
            crossed: [0.0; 2],
            waited_there: 0.0,
            flows: BTreeMap::new(),
            figures: Figures::default(),
        };
        for event in [Event::Arrive, Event::Tick, Event::Publish] {
            replay.push(start, event);
        }
        if let Some((_, at)) = pattern.replaced {
            replay.push(start + Duration::from_secs_f64(at), Event::Replace);
        }
        while let Some(Reverse((at, _, event))) = replay.events.pop() {
            replay.now = at;
            replay.step(event);
        }
        replay.summarize()
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn is_disturbed(&self, at: Instant) -> bool {
        let at = (at - self.start).as_secs_f64();
        self.pattern.disturbed_s.contains(&at)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut_off = self.pattern.cut_off;
        a != b && self.is_disturbed(self.now) && (cut_off == Some(a) || cut_off == Some(b))
    }

    fn loses(&mut self, a: usize, b: usize) -> bool {
        a != b && a < 2 && b < 2 && self.rng.random_bool(self.pattern.loss)
    }

    fn way(&mut self, from: usize, to: usize) -> Duration {
        let lost = if self.loses(from, to) {
            RETRANSMISSION
        } else {
            Duration::ZERO
        };
        if from == to { lost } else { WAY / 2 + lost }
    }

    fn step(&mut self, event: Event) {
        let over = self.now >= self.start + DURATION;
        match event {
            Event::Arrive | Event::Publish if over => {}
            Event::Arrive => {
                let slots = count(self.pattern.workers * SLOTS);
                let rate = slots * self.pattern.utilization * 2.0 / (WORK_S.start + WORK_S.end);
                let interval: f64 = -self.rng.random_range(1e-9..1.0_f64).ln() / rate;
                self.push(self.now + Duration::from_secs_f64(interval), Event::Arrive);
                self.arrive();
            }
            Event::Reach(id) => self.reach(id),
            Event::End(id) => self.end(id),
            Event::Report(id, reached) => self.report(id, reached),
            Event::Tick => {
                for zone in 0..ZONES {
                    if self.rule != Rule::Oracle {
                        let actions = self.schedulers[zone].tick(self.now);
                        self.act(actions);
                    }
                }
                if !over || !self.jobs.is_empty() {
                    self.push(self.now + Duration::from_millis(50), Event::Tick);
                }
            }
            Event::Publish => self.publish(),
            Event::Deliver(from, to, number) => {
                let (at, summary) = self.summaries[number].clone();
                let (now, age) = (self.now, self.now - at);
                let actions = self.schedulers[to].record_summary(now, &zone(from), age, summary);
                self.act(actions);
            }
            Event::Replace => self.replace(),
        }
    }

    fn arrive(&mut self) {
        let shares = if self.is_disturbed(self.now) {
            self.pattern.disturbed
        } else {
            self.pattern.usual
        };
        let mut left = self.rng.random_range(0.0..shares.iter().sum::<f64>());
        let mut zone = 0;
        while zone + 1 < ZONES && left >= shares[zone] {
            left -= shares[zone];
            zone += 1;
        }
        let rank = match self.rng.random_range(0..10) {
            0..2 => Rank::Top,
            2..7 => Rank::Middle,
            _ => Rank::Bottom,
        };
        self.sequence += 1;
        let id = self.sequence;
        self.offered[usize::from(self.is_disturbed(self.now))] += 1.0;
        let job = Job {
            zone,
            rank,
            arrived: self.now,
            worker: 0,
            sent: self.now,
            began: None,
            generation: 0,
            tried: Vec::new(),
        };
        self.jobs.insert(id, job);
        self.offer(id);
    }

    fn offer(&mut self, id: u64) {
        let job = &self.jobs[&id];
        let (zone, rank) = (job.zone, job.rank);
        let request = Request {
            tried: job.tried.clone(),
            ..request(id, job.arrived, rank)
        };
        if self.rule == Rule::Oracle {
            self.queues[zone][rank.index()].push_back(id);
            self.dispatch_oracle();
            return;
        }
        let decision = self.schedulers[zone].offer(self.now, request);
        let displaced = self.schedulers[zone].take_displaced();
        match decision {
            Decision::Send(to) => self.send(id, index(&to)),
            Decision::Wait => {}
            Decision::Refuse(_) => self.refuse(id),
        }
        self.act(displaced);
    }

    /// Serves own queues first, then those of other zones, the most urgent rank first.
    fn dispatch_oracle(&mut self) {
        for crossing in [false, true] {
            for at in 0..ZONES {
                for rank in 0..3 {
                    while let Some(id) = self.queues[at][rank].front().copied() {
                        let room = |w: &usize| self.upstreams[*w].running < SLOTS;
                        let workers = (0..self.pattern.workers)
                            .filter(|w| (w % ZONES == at) != crossing)
                            .filter(|w| !self.is_cut(at, w % ZONES))
                            .filter(room);
                        let Some(to) = workers.min_by_key(|w| self.upstreams[*w].running) else {
                            break;
                        };
                        self.queues[at][rank].pop_front();
                        self.upstreams[to].running += 1;
                        self.send(id, to);
                    }
                }
            }
        }
    }

    fn refuse(&mut self, id: u64) {
        if self.jobs.remove(&id).is_some() {
            self.figures.refused += 1;
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

    fn send(&mut self, id: u64, to: usize) {
        let (now, disturbed) = (self.now, self.is_disturbed(self.now));
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let from = job.zone;
        (job.worker, job.sent, job.generation) = (to, now, self.generations[from]);
        if from != to % ZONES {
            self.crossed[usize::from(disturbed)] += 1.0;
        }
        if from != to % ZONES && disturbed {
            let window = (now - self.start).as_millis() / WINDOW.as_millis();
            *self.flows.entry((window, from, to % ZONES)).or_default() += 1.0;
        }
        if self.pattern.slow.is_some_and(|(slow, _)| slow == to) {
            let second = (now - self.start).as_secs_f64() - self.pattern.disturbed_s.start;
            if let Some(at) = (0..16).find(|s| (count(*s)..count(s + 1)).contains(&second)) {
                self.figures.at_slow[at] += 1;
            }
        }
        if self.is_cut(from, to % ZONES) {
            self.figures.failed_attempts += 1;
            self.push(now + CONNECT_TIMEOUT, Event::Report(id, false));
        } else {
            let way = self.way(from, to % ZONES);
            self.push(now + way, Event::Reach(id));
        }
    }

    fn reach(&mut self, id: u64) {
        let job = &self.jobs[&id];
        let (to, crosses) = (job.worker, job.zone != job.worker % ZONES);
        // The oracle reserves the slot when it sends.
        if self.rule == Rule::Oracle {
            self.work(id, to);
        } else if self.upstreams[to].running < SLOTS {
            self.upstreams[to].running += 1;
            self.work(id, to);
        } else {
            self.waited_there += f64::from(u8::from(crosses && self.is_disturbed(self.now)));
            self.upstreams[to].waiting.push_back(id);
        }
    }

    fn work(&mut self, id: u64, at: usize) {
        let mut work = self.rng.random_range(WORK_S);
        if let Some((slow, factor)) = self.pattern.slow
            && slow == at
            && self.is_disturbed(self.now)
        {
            work *= factor;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.began = Some(self.now);
        }
        self.push(self.now + Duration::from_secs_f64(work), Event::End(id));
    }

    fn end(&mut self, id: u64) {
        let job = &self.jobs[&id];
        let (at, from) = (job.worker, job.zone);
        self.upstreams[at].running -= 1;
        if self.rule == Rule::Oracle {
            self.dispatch_oracle();
        } else if let Some(next) = self.upstreams[at].waiting.pop_front() {
            self.upstreams[at].running += 1;
            self.work(next, at);
        }
        let way = self.way(at % ZONES, from);
        self.push(self.now + way, Event::Report(id, true));
    }

    /// The coordinator learns of the end; an attempt that didn't reach its worker is repeated.
    fn report(&mut self, id: u64, reached: bool) {
        let Some(mut job) = self.jobs.remove(&id) else {
            return;
        };
        let (from, at, sent) = (job.zone, job.worker, job.sent);
        let is_current = job.generation == self.generations[from];
        if reached {
            self.count(&job);
        } else {
            job.tried.push(worker(at));
            self.jobs.insert(id, job);
        }
        if self.rule != Rule::Oracle && is_current {
            let outcome = if reached {
                let upstream = &self.upstreams[at];
                let load = u32::try_from(upstream.running + upstream.waiting.len()).unwrap();
                self.schedulers[from].record_load(self.now, &worker(at), load);
                Outcome::Success
            } else {
                Outcome::Unreachable
            };
            let actions = self.schedulers[from].finish(self.now, &worker(at), sent, outcome);
            self.act(actions);
        }
        if !reached {
            self.offer(id);
        }
    }

    fn count(&mut self, job: &Job) {
        if self.is_disturbed(job.arrived) {
            let wait = (job.began.unwrap() - job.arrived).as_secs_f64() * 1e3;
            self.waits.push(wait);
            let (usual, disturbed) = (&self.pattern.usual, &self.pattern.disturbed);
            if job.rank == Rank::Top && disturbed[job.zone] <= usual[job.zone] {
                self.urgent_waits.push(wait);
            }
        }
    }

    fn publish(&mut self) {
        self.push(self.now + SUMMARY_INTERVAL, Event::Publish);
        if self.rule != Rule::Summaries {
            return;
        }
        for from in 0..ZONES {
            let Some(summary) = self.schedulers[from].summary(self.now) else {
                continue;
            };
            let number = self.summaries.len();
            self.summaries.push((self.now, summary));
            for to in (0..ZONES).filter(|to| *to != from) {
                if !self.is_cut(from, to) && !self.loses(from, to) {
                    let at = self.now + self.pattern.delay;
                    self.push(at, Event::Deliver(from, to, number));
                }
            }
        }
    }

    /// A new coordinator knows nothing, and gets the queued requests again.
    fn replace(&mut self) {
        let Some((at, _)) = self.pattern.replaced else {
            return;
        };
        self.schedulers[at] = scheduler(self.now, self.pattern.workers, at);
        self.generations[at] += 1;
        let is_queued =
            |job: &Job| job.zone == at && job.began.is_none() && job.sent == job.arrived;
        let queued = self.jobs.iter().filter(|(_, job)| is_queued(job));
        let on_way = |id: &u64| {
            let mut events = self.events.iter();
            events.any(|Reverse((_, _, event))| matches!(event, Event::Reach(e) if e == id))
                || self.upstreams.iter().any(|u| u.waiting.contains(id))
        };
        let queued: Vec<u64> = queued.map(|(id, _)| *id).filter(|id| !on_way(id)).collect();
        if self.rule != Rule::Oracle {
            for id in queued {
                self.offer(id);
            }
        }
    }

    fn summarize(mut self) -> Figures {
        self.figures.wait = self.waits.iter().sum::<f64>() / count(self.waits.len().max(1));
        self.waits.sort_by(f64::total_cmp);
        let at = self.waits.len().saturating_sub(1 + self.waits.len() / 100);
        self.figures.wait_99 = self.waits.get(at).copied().unwrap_or(0.0);
        let late = self.urgent_waits.iter().filter(|w| **w > MAX_WAIT_MS);
        self.figures.urgent_late = count(late.count()) / count(self.urgent_waits.len().max(1));
        self.figures.crossed_usually = self.crossed[0] / self.offered[0].max(1.0);
        self.figures.crossed = self.crossed[1] / self.offered[1].max(1.0);
        self.figures.waited_there = self.waited_there / self.crossed[1].max(1.0);
        let flow = |key| self.flows.get(&key).copied().unwrap_or(0.0);
        let both = self
            .flows
            .iter()
            .map(|((window, from, to), there)| there.min(flow((*window, *to, *from))));
        self.figures.exchanged = both.sum::<f64>() / self.offered[1].max(1.0);
        self.figures
    }
}
