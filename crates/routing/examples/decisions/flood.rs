//! Simulation of one entry that offers streams of requests to workers with a fixed number of slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::{PerRank, Rank};
use chestnutvalve_routing::admission::{Action, Admission, Decision, Limits, Request};
use chestnutvalve_routing::sample::{Sample, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Minimum shares of the ranks, in percent.
pub const SHARES: PerRank<u8> = PerRank {
    top: 50,
    middle: 20,
    bottom: 5,
};
/// Maximum number of queued requests.
const QUEUE_LIMIT: usize = 256;
/// Simulated time; only requests that arrive in [`MEASURED`] count.
const SECONDS: f64 = 40.0;
const MEASURED: std::ops::Range<f64> = 10.0..37.0;
/// Time between two ticks.
const TICK_INTERVAL_SECONDS: f64 = 0.01;

/// Admission policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// One FIFO queue with a fixed limit, which ignores ranks and deadlines.
    Fifo,
    /// [`Admission`], with its ranks.
    Ranked,
}

/// One stream of requests.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub rank: Rank,
    pub customer: &'static str,
    /// Offered load, as a multiple of the capacity.
    pub offered: f64,
    pub deadline: Duration,
    /// Mean service time.
    pub service_ms: f64,
}

/// Returns a stream of requests of 25 ms with the default deadline of its rank.
pub fn stream(rank: Rank, customer: &'static str, offered: f64) -> Stream {
    Stream {
        rank,
        customer,
        offered,
        deadline: Duration::from_millis([300, 1_000, 3_000][rank.index()]),
        service_ms: 25.0,
    }
}

/// Results of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    pub offered: f64,
    pub in_time: f64,
    /// Service time as a share of the capacity: of requests completed in time, and of all requests.
    pub share: f64,
    pub used: f64,
}

/// A request that is queued or runs.
struct Pending {
    load: usize,
    deadline: Instant,
    measured: bool,
}

/// The baseline that [`Admission`] is compared with.
#[derive(Default)]
struct Fifo {
    running: u32,
    queue: VecDeque<u64>,
}

enum Queueing {
    Fifo(Fifo),
    Ranked(Box<Admission>),
}

struct Entry<'a> {
    slots: u32,
    loads: &'a [Stream],
    random: StdRng,
    queueing: Queueing,
    requests: HashMap<u64, Pending>,
    running: BinaryHeap<Reverse<(Instant, u64, Duration)>>,
    stats: Vec<Stats>,
}

/// Simulates the loads at one entry whose workers have `slots` slots.
pub fn run(policy: Policy, seed: u64, slots: u32, loads: &[Stream]) -> Vec<Stats> {
    let start = Instant::now();
    let limits = Limits {
        queue_limit: 256,
        min_share_percent: SHARES,
        slots,
        entries: 1,
    };
    let mut entry = Entry {
        slots,
        loads,
        random: StdRng::seed_from_u64(seed),
        queueing: match policy {
            Policy::Fifo => Queueing::Fifo(Fifo::default()),
            Policy::Ranked => Queueing::Ranked(Box::new(Admission::new(limits))),
        },
        requests: HashMap::new(),
        running: BinaryHeap::new(),
        stats: vec![Stats::default(); loads.len()],
    };
    let mut next = vec![0.0_f64; loads.len()];
    let (mut id, mut tick) = (0, 0.0);
    loop {
        let arrivals = next.iter().copied().enumerate();
        let first = arrivals.min_by(|a, b| a.1.total_cmp(&b.1));
        let (load, time) = first.expect("at least one load");
        if time > SECONDS {
            return entry.stats;
        }
        let rate = loads[load].offered * f64::from(slots) / loads[load].service_ms * 1_000.0;
        next[load] = time - entry.random.random::<f64>().max(1e-9).ln() / rate;
        let now = start + Duration::from_secs_f64(time);
        entry.finish(now);
        if time >= tick {
            tick = time + TICK_INTERVAL_SECONDS;
            if let Queueing::Ranked(admission) = &mut entry.queueing {
                let actions = admission.tick(now);
                entry.apply(now, &actions);
            }
        }
        id += 1;
        entry.offer(now, id, load, MEASURED.contains(&time));
    }
}

impl Entry<'_> {
    fn offer(&mut self, now: Instant, id: u64, load: usize, measured: bool) {
        let stream = self.loads[load];
        let deadline = now + stream.deadline;
        let pending = Pending {
            load,
            deadline,
            measured,
        };
        self.requests.insert(id, pending);
        self.stats[load].offered += f64::from(u8::from(measured));
        let mut actions = Vec::new();
        match &mut self.queueing {
            Queueing::Fifo(fifo) if fifo.running < self.slots => {
                fifo.running += 1;
                actions.push(Action::Start(id));
            }
            Queueing::Fifo(fifo) if fifo.queue.len() < QUEUE_LIMIT => fifo.queue.push_back(id),
            Queueing::Fifo(_) => {
                self.requests.remove(&id);
            }
            Queueing::Ranked(admission) => {
                let customer = Customer::new(stream.customer).ok();
                let rank = stream.rank;
                let request = Request {
                    id,
                    rank,
                    customer,
                    deadline,
                };
                match admission.offer(now, request) {
                    Decision::Run => actions.push(Action::Start(id)),
                    Decision::Queue => {}
                    Decision::Refuse { .. } => {
                        self.requests.remove(&id);
                    }
                }
                actions.extend(admission.take_displaced());
            }
        }
        self.apply(now, &actions);
    }

    fn finish(&mut self, now: Instant) {
        while let Some(&Reverse((at, id, service))) = self.running.peek()
            && at <= now
        {
            self.running.pop();
            let pending = self.requests.remove(&id).expect("a running pending");
            let stats = &mut self.stats[pending.load];
            let seconds = MEASURED.end - MEASURED.start;
            let share = service.as_secs_f64() / f64::from(self.slots) / seconds;
            if pending.measured {
                stats.used += share;
            }
            if pending.measured && at <= pending.deadline {
                stats.in_time += 1.0;
                stats.share += share;
            }
            let actions = match &mut self.queueing {
                Queueing::Fifo(fifo) => {
                    let next = fifo.queue.pop_front();
                    fifo.running -= u32::from(next.is_none());
                    next.map(Action::Start).into_iter().collect()
                }
                Queueing::Ranked(admission) => {
                    let verdict = Verdict::Success;
                    let sample = Sample {
                        latency: service,
                        verdict,
                    };
                    admission.finish(at, self.loads[pending.load].rank, &sample)
                }
            };
            self.apply(at, &actions);
        }
    }

    /// Starts or drops requests. The service time is exponential around its mean, but at least a fifth of it, and
    /// longer when more requests run than there are slots.
    fn apply(&mut self, now: Instant, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(id) => {
                    let mean = self.loads[self.requests[&id].load].service_ms / 1_000.0;
                    let factor = 0.2 - 0.8 * self.random.random::<f64>().max(1e-9).ln();
                    let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
                    let slowdown = f64::from(running + 1) / f64::from(self.slots);
                    let service = Duration::from_secs_f64(mean * factor * slowdown.max(1.0));
                    self.running.push(Reverse((now + service, id, service)));
                }
                Action::Refuse { id, .. } => {
                    self.requests.remove(&id);
                }
            }
        }
    }
}
