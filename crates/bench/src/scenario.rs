//! Scenario of a deployment that is scaled to one machine: baseline load (`calm` in files and reports), gray workers, floods
//! and planned stops.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutvalve_model::config::Edit;
use chestnutvalve_model::rank::Rank;
use serde::{Deserialize, Serialize};

use crate::Error;
use crate::fleet::layout::route;
use crate::fleet::{Fleet, Layout, Programs, Service};
use crate::load::{self, Class, Plan, Report};

pub mod figure;
pub mod gray;
pub mod phase;

pub use figure::Figures;

/// Time after its election during which a control leader grants no ejections.
const GRANT_SUSPENSION: Duration = Duration::from_secs(13);

/// Contents of a deployment file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Availability zones.
    pub zones: Vec<String>,
    /// One-way delay between availability zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// One-way delay between callers and entries, in milliseconds.
    pub caller_delay_ms: f64,
    /// Numbers of instances of the real deployment.
    pub instances: Instances,
    /// Services with the worker counts of the real deployment.
    pub services: Vec<Service>,
    /// Classes of requests with their share of the baseline load.
    pub classes: Vec<Class>,
    /// Paths whose requests are idempotent.
    pub idempotent: Vec<String>,
    /// Configuration edits in addition to those of the routes.
    #[serde(default)]
    pub edits: Vec<Edit>,
    /// Size of the scenario on one machine.
    pub scale: Scale,
}

/// Numbers of control and entry instances.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instances {
    /// Number of control instances.
    pub controls: usize,
    /// Number of entry instances.
    pub entries: usize,
}

/// Size of the scenario on one machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// Numbers of instances to start.
    pub instances: Instances,
    /// Maximum number of workers of each service.
    pub workers: usize,
    /// Service that gets gray workers and floods. Classes of all ranks must call it.
    pub focus: String,
    /// Baseline load as a share of the capacity of all workers, in percent.
    pub calm_percent: f64,
}

impl Deployment {
    /// Returns the scaled layout.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no zones, services or classes.
    pub fn layout(&self) -> Result<Layout, Error> {
        if self.zones.is_empty() || self.services.is_empty() || self.classes.is_empty() {
            let text = "zones, services and classes: expected at least one of each";
            return Err(Error::Invalid(text.into()));
        }
        let scaled = |s: &Service| Service {
            workers: s.workers.min(self.scale.workers),
            ..s.clone()
        };
        let mut edits: Vec<_> = self
            .classes
            .iter()
            .map(|c| {
                route(
                    &c.service,
                    &c.path,
                    c.rank,
                    self.idempotent.contains(&c.path),
                )
            })
            .collect();
        edits.extend(self.edits.clone());
        Ok(Layout {
            zones: self.zones.clone(),
            controls: self.scale.instances.controls,
            entries: self.scale.instances.entries,
            services: self.services.iter().map(scaled).collect(),
            edits,
            gateway: false,
            links: false,
            log: "warn".into(),
        })
    }

    /// Returns the capacity of a service after scaling, in requests per second. It is zero for an unknown service.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn capacity(&self, service: &str) -> f64 {
        let service_classes = self.classes.iter().filter(|c| c.service == service);
        let (weights, pauses) = service_classes.fold((0.0, 0.0), |(weights, pauses), c| {
            (weights + c.weight, pauses + c.weight * c.pacing_ms())
        });
        let pause_ms = pauses / f64::max(weights, f64::MIN_POSITIVE);
        let service = self.services.iter().find(|s| s.name == service);
        service.map_or(0.0, |s| {
            let tail = s.tail_percent / 100.0;
            let work_ms = s.work_ms as f64 * (1.0 - tail) + s.tail_ms as f64 * tail;
            let slots = s.workers.min(self.scale.workers) as f64 * f64::from(s.slots);
            slots * 1_000.0 / f64::max(work_ms + pause_ms, 0.1)
        })
    }

    /// Returns the classes of the focus service that have the given rank.
    #[must_use]
    pub fn focused(&self, rank: Rank) -> Vec<Class> {
        let focus = |c: &&Class| c.service == self.scale.focus && c.rank == rank;
        self.classes.iter().filter(focus).cloned().collect()
    }
}

/// State shared by all phases.
pub(crate) struct Context<'a> {
    pub(crate) fleet: Fleet,
    pub(crate) deployment: &'a Deployment,
    pub(crate) phase_duration: Duration,
    pub(crate) figures: Figures,
    /// Ids of requests whose response stated that they were not executed, over all phases.
    pub(crate) not_executed: BTreeSet<String>,
}

impl Context<'_> {
    /// Runs a load for one phase and records its responses for the check of executions.
    pub(crate) async fn run_load(
        &mut self,
        name: &str,
        classes: Vec<Class>,
        rate: f64,
    ) -> Result<Report, Error> {
        let report = load::run(&self.plan(name, classes, rate)).await?;
        self.record_responses(&report);
        Ok(report)
    }

    pub(crate) fn plan(&self, name: &str, classes: Vec<Class>, rate: f64) -> Plan {
        let mut plan = Plan::new(self.fleet.callers(), classes, rate, self.phase_duration);
        name.clone_into(&mut plan.name);
        plan
    }

    pub(crate) fn record_responses(&mut self, report: &Report) {
        self.not_executed
            .extend(report.not_executed.iter().cloned());
    }

    /// Returns the classes and the total rate of the baseline load. The weights are such that each service gets its share of
    /// its own capacity.
    pub(crate) fn baseline_load(&self) -> (Vec<Class>, f64) {
        let services: BTreeSet<_> = self.deployment.classes.iter().map(|c| &c.service).collect();
        let share = self.deployment.scale.calm_percent / 100.0;
        let mut classes = Vec::new();
        let mut rate = 0.0;
        for service in services {
            let service_classes: Vec<_> = self
                .deployment
                .classes
                .iter()
                .filter(|c| c.service == *service)
                .collect();
            let weights: f64 = service_classes.iter().map(|c| c.weight).sum();
            let capacity = self.deployment.capacity(service) * share;
            rate += capacity;
            classes.extend(service_classes.into_iter().map(|c| Class {
                weight: capacity * c.weight / weights,
                ..c.clone()
            }));
        }
        (classes, rate)
    }
}

/// Runs all phases, each for about `phase_duration`, and returns the figures.
///
/// # Errors
///
/// Returns an error when the fleet can't be started or a phase can't be run.
pub async fn run(
    programs: &Programs,
    deployment: &Deployment,
    phase_duration: Duration,
) -> Result<Figures, Error> {
    let layout = deployment.layout()?;
    let processes = layout.processes();
    eprintln!("{}: starting {processes} processes", deployment.name);
    let fleet = Fleet::start(programs, layout).await?;
    let mut context = Context {
        fleet,
        deployment,
        phase_duration,
        figures: Figures::new(&deployment.name),
        not_executed: BTreeSet::new(),
    };
    context.figures.add("processes", processes, "");
    phase::measure_baseline(&mut context).await?;
    phase::measure_added_latency(&mut context).await?;
    tokio::time::sleep(GRANT_SUSPENSION.saturating_sub(phase_duration * 2)).await;
    gray::measure_false_ejections(&mut context).await?;
    gray::measure_detection(&mut context).await?;
    phase::measure_flood(&mut context, Rank::Bottom).await?;
    phase::measure_flood(&mut context, Rank::Top).await?;
    phase::measure_planned_stops(&mut context).await?;
    phase::check_executions(&mut context).await?;
    Ok(context.figures)
}

/// Returns the result of a load that ran as a task, or an error if the task panicked.
pub(crate) fn join_load<T>(
    outcome: Result<Result<T, Error>, tokio::task::JoinError>,
) -> Result<T, Error> {
    outcome.map_err(|e| Error::Invalid(format!("load task failed: {e}")))?
}
