//! Simulation of a pool of workers that is slow for a while, when callers' requests are retried after a timeout.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use chestnutvalve_routing::retry::TokenBucket;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Requests per second that the pool serves, and that callers send.
const CAPACITY_PER_SECOND: f64 = 1_000.0;
const OFFERED_PER_SECOND: f64 = 850.0;
/// Timeout of an attempt, in seconds. Workers still process it afterwards.
const TIMEOUT_SECONDS: f64 = 0.5;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Time in which the pool has half of its capacity, in seconds.
const SLOW_SECONDS: std::ops::Range<f64> = 20.0..24.0;
/// Reported phases: before, during and long after the slow time.
pub const PHASES: [std::ops::Range<f64>; 3] = [10.0..20.0, 20.0..24.0, 40.0..60.0];
const SECONDS: f64 = 60.0;

/// Share of the requests that succeed and attempts per request, in each phase.
pub type Result = [(f64, f64); 3];

struct Attempt {
    arrived: f64,
    at: f64,
    number: u32,
}

/// Runs the pool; `budget` is `None` for retries without a budget.
pub fn run(seed: u64, mut budget: Option<TokenBucket>) -> Result {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut requests, mut attempts, mut done) = ([0.0; 3], [0.0; 3], [0.0; 3]);
    let add = |counts: &mut [f64; 3], at: f64| {
        for (count, phase) in counts.iter_mut().zip(&PHASES) {
            *count += f64::from(u8::from(phase.contains(&at)));
        }
    };
    let mut queue: VecDeque<Attempt> = VecDeque::new();
    let mut retries: BinaryHeap<Reverse<(u64, u64, u32)>> = BinaryHeap::new();
    let (mut next_arrival, mut next_end) = (0.0, 0.0);
    while next_arrival < SECONDS {
        let retry = retries.peek().map(|Reverse((at, ..))| f64::from_bits(*at));
        let retry = retry.unwrap_or(f64::INFINITY);
        let end = if queue.is_empty() {
            f64::INFINITY
        } else {
            next_end
        };
        if end <= next_arrival && end <= retry {
            // The pool has served the oldest attempt, which counts unless it has timed out.
            if let Some(attempt) = queue.pop_front()
                && end - attempt.at <= TIMEOUT_SECONDS
            {
                add(&mut done, attempt.arrived);
            }
            next_end = end + service(&mut random, end);
            continue;
        }
        let now = next_arrival.min(retry);
        let attempt = if retry <= next_arrival {
            let Some(Reverse((_, arrived, number))) = retries.pop() else {
                continue;
            };
            Attempt {
                arrived: f64::from_bits(arrived),
                at: now,
                number,
            }
        } else {
            next_arrival -= random.random::<f64>().max(1e-9).ln() / OFFERED_PER_SECOND;
            add(&mut requests, now);
            budget.iter_mut().for_each(TokenBucket::deposit);
            Attempt {
                arrived: now,
                at: now,
                number: 1,
            }
        };
        add(&mut attempts, attempt.arrived);
        if queue.is_empty() {
            next_end = now + service(&mut random, now);
        }
        // An attempt behind this many others will time out, and is retried if the budget allows it.
        let wait = f64::from(u32::try_from(queue.len()).unwrap_or(u32::MAX)) / capacity(now);
        let fails = wait > TIMEOUT_SECONDS && attempt.number < MAX_ATTEMPTS;
        if fails && budget.as_mut().is_none_or(TokenBucket::try_withdraw) {
            let at = (now + TIMEOUT_SECONDS).to_bits();
            retries.push(Reverse((at, attempt.arrived.to_bits(), attempt.number + 1)));
        }
        queue.push_back(attempt);
    }
    std::array::from_fn(|phase| {
        let requests = f64::max(requests[phase], 1.0);
        (done[phase] / requests, attempts[phase] / requests)
    })
}

fn capacity(now: f64) -> f64 {
    if SLOW_SECONDS.contains(&now) {
        CAPACITY_PER_SECOND / 2.0
    } else {
        CAPACITY_PER_SECOND
    }
}

fn service(random: &mut StdRng, now: f64) -> f64 {
    -random.random::<f64>().max(1e-9).ln() / capacity(now)
}
