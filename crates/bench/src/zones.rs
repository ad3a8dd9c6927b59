//! Model of requests that leave their availability zone, over many entries: their share, waits, and the summaries that
//! coordinators exchange.
//!
//! It runs the decisions of `routing::schedule` on a clock of its own, without processes. Zones are 3.5 ms apart, and
//! workers with six slots process their queues in order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::{Duration, Instant};

use chestnutvalve_entry::gateway::zones::{MAX_INTERVAL, MIN_INTERVAL, Message, differs};
use chestnutvalve_model::id::{Incarnation, Service, Worker, Zone};
use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::schedule::{
    Action, Decision, Outcome, Request, Scheduler, Spec, Summary,
};
use chestnutvalve_wire::Frame;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Error;

const ZONES: usize = 4;
const SLOTS: u32 = 6;
const WAY: Duration = Duration::from_micros(3_500);
const WORK_S: Range<f64> = 0.25..0.62;
const TARGET: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(50);
const FLOOR: f64 = 0.7;
/// Workers for each entry.
const WORKERS_PER_ENTRY: f64 = 1.08;
/// Time for which the peak of the demand stays in a zone.
const PEAK_TIME: Duration = Duration::from_secs(4);
/// Start of a run, in which coordinators have no summaries.
const START_TIME: Duration = Duration::from_secs(2);

/// Demand over the zones.
#[derive(Clone, Copy, Debug)]
struct Demand {
    name: &'static str,
    /// Offered load as a share of all slots.
    utilization: f64,
    /// Demand in the zone of the peak, as a share of all.
    peak: f64,
    /// Whether the peak moves from zone to zone.
    moves: bool,
}

const DEMANDS: [Demand; 3] = [
    Demand {
        name: "even, 50%",
        utilization: 0.5,
        peak: 0.25,
        moves: false,
    },
    Demand {
        name: "a peak of 55% that moves, 80%",
        utilization: 0.8,
        peak: 0.3875,
        moves: true,
    },
    Demand {
        name: "two thirds of the callers move to a zone, 50%",
        utilization: 0.5,
        peak: 0.75,
        moves: true,
    },
];

impl Demand {
    /// Returns the share of the requests that find no slot in their zone even if these are used best.
    fn least_crossing(self) -> f64 {
        let slots = 0.25 / self.utilization;
        let others = (1.0 - self.peak) / 3.0;
        (self.peak - slots).max(0.0) + 3.0 * (others - slots).max(0.0)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Reach(u64),
    End(u64),
    Report(u64),
    Tick,
    Publish,
}

#[derive(Debug)]
struct Job {
    zone: usize,
    arrived: Instant,
    worker: usize,
    sent: Instant,
}

#[derive(Debug, Default)]
struct Upstream {
    running: u32,
    waiting: VecDeque<u64>,
}

/// What a run has counted.
#[derive(Debug, Default)]
struct Counts {
    requests: f64,
    crossed: f64,
    refused: f64,
    waits: Vec<f64>,
    messages: f64,
    bytes: f64,
}

struct Fleet {
    demand: Demand,
    summaries: bool,
    rate: f64,
    start: Instant,
    now: Instant,
    end: Instant,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    schedulers: Vec<Scheduler>,
    upstreams: Vec<Upstream>,
    jobs: BTreeMap<u64, Job>,
    published: Vec<Option<(Summary, Instant)>>,
    counts: Counts,
}

/// Runs the model for all fleet sizes and prints a Markdown row for each and each demand.
///
/// # Errors
///
/// Returns an error if a message can't be encoded.
pub fn run(entries: &[usize], duration: Duration) -> Result<(), Error> {
    println!(
        "| entries | workers | demand | crossing: before, now, least | wait in ms, mean and 99%: before | now | refused: before, now \
         | a coordinator sends: messages/s, bytes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for entries in entries {
        let workers = whole(count(*entries) * WORKERS_PER_ENTRY).max(ZONES);
        for demand in DEMANDS {
            let before = Fleet::run(workers, demand, false, duration)?;
            let now = Fleet::run(workers, demand, true, duration)?;
            let seconds = duration.saturating_sub(START_TIME).as_secs_f64().max(1.0);
            let coordinators = count(ZONES);
            let (mean_before, high_before) = wait(&before);
            let (mean, high) = wait(&now);
            println!(
                "| {entries} | {workers} | {} | {:.1}%, {:.1}%, {:.1}% | {mean_before:.1}, {high_before:.0} | {mean:.1}, {high:.0} \
                 | {:.0}, {:.0} | {:.1}, {:.0} |",
                demand.name,
                before.crossed / before.requests.max(1.0) * 100.0,
                now.crossed / now.requests.max(1.0) * 100.0,
                demand.least_crossing() * 100.0,
                before.refused,
                now.refused,
                now.messages / seconds / coordinators,
                now.bytes / seconds / coordinators,
            );
        }
    }
    println!("\nbytes of messages and their answers, without HTTP/2 and TCP");
    Ok(())
}

/// Returns the mean and the 99th percentile of the waits, in milliseconds.
fn wait(counts: &Counts) -> (f64, f64) {
    let mut waits = counts.waits.clone();
    waits.sort_by(f64::total_cmp);
    let mean = waits.iter().sum::<f64>() / count(waits.len().max(1));
    let high = waits.len().saturating_sub(1 + waits.len() / 100);
    (mean, waits.get(high).copied().unwrap_or(0.0))
}

fn worker(number: usize) -> Worker {
    Worker::new(&format!("w{number}")).expect("a valid name")
}

fn zone(number: usize) -> Zone {
    Zone::new(&format!("zone-{number}")).expect("a valid name")
}

/// Returns the number of a worker.
fn index(worker: &Worker) -> usize {
    worker.as_str()[1..].parse().unwrap_or(0)
}

fn scheduler(now: Instant, workers: usize, at: usize) -> Scheduler {
    let specs = (0..workers).map(|number| {
        let spec = Spec {
            incarnation: Incarnation(1),
            zone: zone(number % ZONES),
            slots: SLOTS,
            warm_up: Duration::ZERO,
        };
        (worker(number), spec)
    });
    let specs: Vec<_> = specs.collect();
    let mut scheduler = Scheduler::new(zone(at));
    scheduler.sync_workers(now, &specs, 4);
    scheduler.set_floor(Some(FLOOR));
    scheduler
}

impl Fleet {
    fn run(
        workers: usize,
        demand: Demand,
        summaries: bool,
        duration: Duration,
    ) -> Result<Counts, Error> {
        let start = Instant::now();
        let slots = count(workers) * f64::from(SLOTS);
        let mut fleet = Self {
            demand,
            summaries,
            rate: slots * demand.utilization * 2.0 / (WORK_S.start + WORK_S.end),
            start,
            now: start,
            end: start + duration,
            random: SmallRng::seed_from_u64(1),
            events: BinaryHeap::new(),
            sequence: 0,
            schedulers: (0..ZONES).map(|at| scheduler(start, workers, at)).collect(),
            upstreams: (0..workers).map(|_| Upstream::default()).collect(),
            jobs: BTreeMap::new(),
            published: vec![None; ZONES],
            counts: Counts::default(),
        };
        for event in [Event::Arrive, Event::Tick, Event::Publish] {
            fleet.push(Duration::ZERO, event);
        }
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at > fleet.end {
                break;
            }
            fleet.now = at;
            fleet.step(event)?;
        }
        Ok(fleet.counts)
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn is_counted(&self) -> bool {
        self.now >= self.start + START_TIME
    }

    fn step(&mut self, event: Event) -> Result<(), Error> {
        match event {
            Event::Arrive => {
                let interval = -self.random.random_range(1e-9..1.0_f64).ln() / self.rate;
                self.push(Duration::from_secs_f64(interval), Event::Arrive);
                self.arrive();
            }
            Event::Reach(id) => self.reach(id),
            Event::End(id) => self.end(id),
            Event::Report(id) => self.report(id),
            Event::Tick => {
                self.push(TICK, Event::Tick);
                for at in 0..ZONES {
                    let actions = self.schedulers[at].tick(self.now);
                    self.act(actions);
                }
            }
            Event::Publish => {
                self.push(MIN_INTERVAL, Event::Publish);
                if self.summaries {
                    self.publish()?;
                }
            }
        }
        Ok(())
    }

    fn arrive(&mut self) {
        let peak = if self.demand.moves {
            let turns = (self.now - self.start).as_secs() / PEAK_TIME.as_secs();
            usize::try_from(turns).unwrap_or(0) % ZONES
        } else {
            0
        };
        let zone = if self.random.random_bool(self.demand.peak) {
            peak
        } else {
            (peak + self.random.random_range(1..ZONES)) % ZONES
        };
        self.sequence += 1;
        let id = self.sequence;
        let rank = Rank::ALL[self.random.random_range(0..3)];
        let (arrived, worker, sent) = (self.now, 0, self.now);
        let job = Job {
            zone,
            arrived,
            worker,
            sent,
        };
        self.jobs.insert(id, job);
        self.counts.requests += f64::from(u8::from(self.is_counted()));
        let request = Request {
            id,
            rank,
            class: 0,
            customer: None,
            download: false,
            at_most_once: false,
            target: self.now + TARGET,
            deadline: self.now + DEADLINE,
            tried: Vec::new(),
            connected: Vec::new(),
            remote: true,
        };
        let decision = self.schedulers[zone].offer(self.now, request);
        let displaced = self.schedulers[zone].take_displaced();
        match decision {
            Decision::Send(to) => self.send(id, index(&to)),
            Decision::Wait => {}
            Decision::Refuse(_) => self.refuse(id),
        }
        self.act(displaced);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(id, to) => self.send(id, index(&to)),
                Action::Refuse(id, _) => self.refuse(id),
            }
        }
    }

    fn refuse(&mut self, id: u64) {
        if self.jobs.remove(&id).is_some() {
            self.counts.refused += f64::from(u8::from(self.is_counted()));
        }
    }

    fn send(&mut self, id: u64, to: usize) {
        let is_counted = self.is_counted();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        (job.worker, job.sent) = (to, self.now);
        let crosses = job.zone != to % ZONES;
        self.counts.crossed += f64::from(u8::from(crosses && is_counted));
        let way = if crosses { WAY } else { Duration::ZERO };
        self.push(way, Event::Reach(id));
    }

    fn reach(&mut self, id: u64) {
        let Some(to) = self.jobs.get(&id).map(|job| job.worker) else {
            return;
        };
        let upstream = &mut self.upstreams[to];
        if upstream.running < SLOTS {
            upstream.running += 1;
            self.work(id);
        } else {
            upstream.waiting.push_back(id);
        }
    }

    fn work(&mut self, id: u64) {
        let work = self.random.random_range(WORK_S);
        self.push(Duration::from_secs_f64(work), Event::End(id));
        if self.is_counted()
            && let Some(job) = self.jobs.get(&id)
        {
            let wait = self.now - job.arrived;
            self.counts.waits.push(wait.as_secs_f64() * 1e3);
        }
    }

    fn end(&mut self, id: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (at, crosses) = (job.worker, job.zone != job.worker % ZONES);
        self.upstreams[at].running -= 1;
        if let Some(next) = self.upstreams[at].waiting.pop_front() {
            self.upstreams[at].running += 1;
            self.work(next);
        }
        let way = if crosses { WAY } else { Duration::ZERO };
        self.push(way, Event::Report(id));
    }

    fn report(&mut self, id: u64) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let upstream = &self.upstreams[job.worker];
        let waiting = u32::try_from(upstream.waiting.len()).unwrap_or(u32::MAX);
        let load = upstream.running.saturating_add(waiting);
        let (scheduler, worker) = (&mut self.schedulers[job.zone], worker(job.worker));
        scheduler.record_load(self.now, &worker, load);
        let actions = scheduler.finish(self.now, &worker, job.sent, Outcome::Success);
        self.act(actions);
    }

    /// Lets each coordinator send its summary if it is due.
    fn publish(&mut self) -> Result<(), Error> {
        let service = Service::new("service-000").expect("a valid name");
        for from in 0..ZONES {
            let Some(summary) = self.schedulers[from].summary(self.now) else {
                continue;
            };
            let last = self.published[from].as_ref();
            let is_due = last.is_none_or(|(before, at)| {
                differs(before, &summary) || self.now >= *at + MAX_INTERVAL
            });
            if !is_due {
                continue;
            }
            let message = Message::new(&service, &zone(from), WAY, &summary);
            let bytes = frame_bytes(&message)? + frame_bytes(&())?;
            for to in (0..ZONES).filter(|to| *to != from) {
                if self.is_counted() {
                    self.counts.messages += 1.0;
                    self.counts.bytes += bytes;
                }
                let (now, from) = (self.now, zone(from));
                let actions = self.schedulers[to].record_summary(now, &from, WAY, summary.clone());
                self.act(actions);
            }
            self.published[from] = Some((summary, self.now));
        }
        Ok(())
    }
}

fn frame_bytes<T: serde::Serialize>(message: &T) -> Result<f64, Error> {
    let frame = Frame::encode(message).map_err(|error| Error::Invalid(error.to_string()))?;
    Ok(count(frame.to_bytes().len()))
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn count(number: usize) -> f64 {
    number as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number"
)]
fn whole(number: f64) -> usize {
    number.round() as usize
}
