//! Open-loop caller load.
//!
//! Requests start at a fixed rate whether earlier ones have ended or not, so that a slow fleet does not lower its own load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::rank::Rank;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use crate::Error;
use crate::error::loopback;

pub mod caller;
pub mod report;

pub use caller::{Call, Caller, Outcome, Verdict};
pub use report::Report;

/// Highest rate of one load process, in requests per second.
pub const MAX_RATE: f64 = 20_000.0;
/// Longest load run.
pub const MAX_DURATION: Duration = Duration::from_mins(10);
/// Pause between the starts of requests, which are then started in batches.
const TICK: Duration = Duration::from_millis(2);

/// One kind of request in the mix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Service that is called.
    pub service: String,
    /// Rank that the configuration gives to these requests; only a label here.
    pub rank: Rank,
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Share of the load, relative to the other classes.
    pub weight: f64,
    /// Number of customers that send these requests.
    pub customers: u32,
    /// Whether each request has an idempotency key of its own.
    pub key: bool,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u32,
    /// Size of the answer, in bytes.
    pub size: usize,
    /// Pause of the worker before each 16 KiB of the answer, in milliseconds.
    pub pace_ms: u32,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            service: "service".into(),
            rank: Rank::Middle,
            method: "GET".into(),
            path: "/".into(),
            weight: 1.0,
            customers: 10,
            key: false,
            deadline_ms: 2_000,
            size: crate::payload::DEFAULT_BYTES,
            pace_ms: 0,
        }
    }
}

impl Class {
    /// Returns the time for which a worker pauses in the answer, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn pacing_ms(&self) -> f64 {
        let pieces = (self.size / crate::worker::serve::CHUNK_BYTES + 1) as f64;
        pieces * f64::from(self.pace_ms)
    }
}

/// A load run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Callers' addresses of entries to ask for addresses first.
    pub entries: Vec<SocketAddr>,
    /// Whether `entries` are workers that are called without an entry.
    pub direct: bool,
    /// Mix of requests.
    pub classes: Vec<Class>,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Most requests in progress; what would exceed them is counted as not sent.
    pub in_flight: usize,
    /// Prefix of request names and keys, which differs between runs.
    pub name: String,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Plan {
    /// Creates a plan with a mix and moderate limits.
    #[must_use]
    pub fn new(
        entries: Vec<SocketAddr>,
        classes: Vec<Class>,
        rate: f64,
        duration: Duration,
    ) -> Self {
        Self {
            entries,
            direct: false,
            classes,
            rate,
            duration,
            in_flight: 4_000,
            name: "load".into(),
            seed: 1,
        }
    }

    fn check(&self) -> Result<(), Error> {
        let wrong = |text: &str| Err(Error::Invalid(text.to_owned()));
        if self.entries.is_empty() || self.classes.is_empty() {
            return wrong("a load needs at least one address and one class");
        }
        if !(self.rate > 0.0 && self.rate <= MAX_RATE) {
            return wrong("rate: expected more than 0 and at most 20000 requests per second");
        }
        if self.duration > MAX_DURATION {
            return wrong("duration: expected at most 600 s");
        }
        let weights: f64 = self.classes.iter().map(|c| c.weight).sum();
        if weights <= 0.0 || weights.is_nan() || self.classes.iter().any(|c| c.weight < 0.0) {
            return wrong("weights: expected positive numbers");
        }
        self.entries.iter().try_for_each(|e| loopback(*e).map(drop))
    }
}

/// Sends the load and reports what callers saw.
///
/// # Errors
///
/// Returns an error for a plan outside the limits.
pub async fn run(plan: &Plan) -> Result<Report, Error> {
    let caller = Caller::new(plan.entries.clone(), plan.direct);
    run_with(plan, &Arc::new(caller)).await
}

/// Sends the load by a caller that may have cached addresses already.
///
/// # Errors
///
/// Returns an error for a plan outside the limits.
pub async fn run_with(plan: &Plan, caller: &Arc<Caller>) -> Result<Report, Error> {
    plan.check()?;
    let mut random = StdRng::seed_from_u64(plan.seed);
    let places = Arc::new(Semaphore::new(plan.in_flight));
    let mut running = JoinSet::new();
    let mut report = Report::default();
    let start = Instant::now();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sent: u64 = 0;
    while start.elapsed() < plan.duration {
        ticks.tick().await;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let due = (start.elapsed().min(plan.duration).as_secs_f64() * plan.rate) as u64;
        while sent < due {
            let call = draw(plan, sent, &mut random);
            sent += 1;
            let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                report.skip(&call);
                continue;
            };
            let caller = Arc::clone(caller);
            running.spawn(async move {
                let _place = place;
                let outcome = caller.call(&call).await;
                (call, outcome)
            });
        }
        while let Some(Ok((call, outcome))) = running.try_join_next() {
            report.add(&call, &outcome);
        }
    }
    sleep_until(start + plan.duration).await;
    // Every call has its own time limit, so that this ends.
    while let Some(ended) = running.join_next().await {
        if let Ok((call, outcome)) = ended {
            report.add(&call, &outcome);
        }
    }
    Ok(report)
}

fn draw(plan: &Plan, number: u64, random: &mut StdRng) -> Call {
    let total: f64 = plan.classes.iter().map(|c| c.weight).sum();
    let mut at = random.random_range(0.0..total);
    let class = plan.classes.iter().find(|c| {
        at -= c.weight;
        at < 0.0
    });
    let class = class.unwrap_or(&plan.classes[0]);
    let id = format!("{}-{number}", plan.name);
    let customer = random.random_range(0..class.customers.max(1));
    Call::new(class, id).customer(format!("c{customer}"))
}
