//! Open-loop caller load.
//!
//! Requests start at a fixed rate regardless of whether earlier ones have ended, so that a slow fleet does not reduce its own
//! load.

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

/// Maximum rate of one load run, in requests per second.
pub const MAX_RATE: f64 = 20_000.0;
/// Maximum duration of one load run.
pub const MAX_DURATION: Duration = Duration::from_mins(10);
/// Interval between batches. All requests that are due since the last batch start together.
const BATCH_INTERVAL: Duration = Duration::from_millis(2);

/// API key of a customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Credentials {
    /// Customer that workers must be told.
    pub customer: String,
    /// Key that requests carry.
    pub key: String,
}

/// A class of requests in the mix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Service to call.
    pub service: String,
    /// Rank that the configuration gives to these requests. Only labels them in reports; it is not sent.
    pub rank: Rank,
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Share of the load, relative to the weights of the other classes.
    pub weight: f64,
    /// Number of customers that send these requests.
    pub customers: u32,
    /// Whether each request carries a unique idempotency key.
    pub key: bool,
    /// API key that each request carries.
    pub credentials: Option<Credentials>,
    /// Deadline of each request, in milliseconds after its start.
    pub deadline_ms: u32,
    /// Size of the response body, in bytes.
    pub size: usize,
    /// Pause of the worker before each 16 KiB chunk of the response, in milliseconds.
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
            credentials: None,
            deadline_ms: 2_000,
            size: crate::payload::DEFAULT_BYTES,
            pace_ms: 0,
        }
    }
}

impl Class {
    /// Returns the sum of a worker's pauses within one response, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn pacing_ms(&self) -> f64 {
        let chunks = (self.size / crate::worker::serve::CHUNK_BYTES + 1) as f64;
        chunks * f64::from(self.pace_ms)
    }
}

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses of the entries that callers ask for the addresses of a service.
    pub entries: Vec<SocketAddr>,
    /// Whether requests go directly to `entries`, which may also be workers, without asking for addresses.
    pub direct: bool,
    /// Mix of requests.
    pub classes: Vec<Class>,
    /// Rate, in requests per second.
    pub rate: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Maximum number of concurrent requests. Further ones are not sent and are counted as such.
    pub max_in_flight: usize,
    /// Prefix of request ids and idempotency keys. Must differ between runs against the same fleet.
    pub name: String,
    /// Seed for the choice of classes and customers.
    pub seed: u64,
}

impl Plan {
    /// Creates a plan that asks for addresses and has default limits.
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
            max_in_flight: 4_000,
            name: "load".into(),
            seed: 1,
        }
    }

    fn validate(&self) -> Result<(), Error> {
        let invalid = |text: &str| Err(Error::Invalid(text.to_owned()));
        if self.entries.is_empty() || self.classes.is_empty() {
            return invalid("a load needs at least one address and one class");
        }
        if !(self.rate > 0.0 && self.rate <= MAX_RATE) {
            return invalid("rate: expected more than 0 and at most 20000 requests per second");
        }
        if self.duration > MAX_DURATION {
            return invalid("duration: expected at most 600 s");
        }
        let weights: f64 = self.classes.iter().map(|c| c.weight).sum();
        if weights <= 0.0 || weights.is_nan() || self.classes.iter().any(|c| c.weight < 0.0) {
            return invalid("weights: expected positive numbers");
        }
        self.entries.iter().try_for_each(|e| loopback(*e).map(drop))
    }
}

/// Sends the load and reports the outcomes.
///
/// # Errors
///
/// Returns an error for a plan outside the limits.
pub async fn run(plan: &Plan) -> Result<Report, Error> {
    let caller = Caller::new(plan.entries.clone(), plan.direct);
    run_with(plan, &Arc::new(caller)).await
}

/// Sends the load through an existing caller, which may already have cached addresses.
///
/// # Errors
///
/// Returns an error for a plan outside the limits.
pub async fn run_with(plan: &Plan, caller: &Arc<Caller>) -> Result<Report, Error> {
    plan.validate()?;
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let permits = Arc::new(Semaphore::new(plan.max_in_flight));
    let mut calls = JoinSet::new();
    let mut report = Report::default();
    let start = Instant::now();
    let mut ticks = interval(BATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sent: u64 = 0;
    while start.elapsed() < plan.duration {
        ticks.tick().await;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let due = (start.elapsed().min(plan.duration).as_secs_f64() * plan.rate) as u64;
        while sent < due {
            let call = sample_call(plan, sent, &mut rng);
            sent += 1;
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                report.skip(&call);
                continue;
            };
            let caller = Arc::clone(caller);
            calls.spawn(async move {
                let _permit = permit;
                let outcome = caller.call(&call).await;
                (call, outcome)
            });
        }
        while let Some(Ok((call, outcome))) = calls.try_join_next() {
            report.add(&call, &outcome);
        }
    }
    sleep_until(start + plan.duration).await;
    // Terminates because every call has a timeout.
    while let Some(ended) = calls.join_next().await {
        if let Ok((call, outcome)) = ended {
            report.add(&call, &outcome);
        }
    }
    Ok(report)
}

fn sample_call(plan: &Plan, number: u64, rng: &mut StdRng) -> Call {
    let total: f64 = plan.classes.iter().map(|c| c.weight).sum();
    let mut remaining = rng.random_range(0.0..total);
    let class = plan.classes.iter().find(|c| {
        remaining -= c.weight;
        remaining < 0.0
    });
    let class = class.unwrap_or(&plan.classes[0]);
    let id = format!("{}-{number}", plan.name);
    let customer = rng.random_range(0..class.customers.max(1));
    Call::new(class, id).customer(format!("c{customer}"))
}
