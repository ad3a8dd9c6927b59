//! A deployment, scaled to one machine, through calm, gray workers, floods and planned stops.

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

/// Time in which a new control leader grants no ejections.
const GRANT_PAUSE: Duration = Duration::from_secs(13);

/// A deployment file.
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
    /// Control and entry instances of the real deployment.
    pub instances: Instances,
    /// Services with the worker counts of the real deployment.
    pub services: Vec<Service>,
    /// Requests with their share of the calm load.
    pub classes: Vec<Class>,
    /// Paths whose requests may run more than once.
    pub idempotent: Vec<String>,
    /// Changes beside the routes.
    #[serde(default)]
    pub edits: Vec<Edit>,
    /// Size of the scenario on one machine.
    pub scale: Scale,
}

/// Numbers of instances.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instances {
    /// Control instances.
    pub controls: usize,
    /// Entry instances.
    pub entries: usize,
}

/// Size of the scenario on one machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// Instances that are started.
    pub instances: Instances,
    /// Most workers of each service.
    pub workers: usize,
    /// Service that has gray workers and is flooded; classes of all ranks call it.
    pub focus: String,
    /// Calm load as a share of the capacity of all workers, in percent.
    pub calm_percent: f64,
}

impl Deployment {
    /// Returns the scaled layout.
    ///
    /// # Errors
    ///
    /// Returns an error for values that can't be run.
    pub fn layout(&self) -> Result<Layout, Error> {
        if self.zones.is_empty() || self.services.is_empty() || self.classes.is_empty() {
            let text = "zones, services and classes must not be empty";
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

    /// Returns the capacity of a service as scaled, in requests per second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn capacity(&self, service: &str) -> f64 {
        let own = self.classes.iter().filter(|c| c.service == service);
        let (weights, pauses) = own.fold((0.0, 0.0), |(weights, pauses), c| {
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

    /// Returns the classes of the focused service with a rank.
    #[must_use]
    pub fn focused(&self, rank: Rank) -> Vec<Class> {
        let focus = |c: &&Class| c.service == self.scale.focus && c.rank == rank;
        self.classes.iter().filter(focus).cloned().collect()
    }
}

/// What all phases share.
pub(crate) struct Stage<'a> {
    pub(crate) fleet: Fleet,
    pub(crate) deployment: &'a Deployment,
    pub(crate) phase: Duration,
    pub(crate) figures: Figures,
    /// Requests that callers were told did not run, over all phases.
    pub(crate) denied: BTreeSet<String>,
}

impl Stage<'_> {
    /// Runs a load and keeps what callers were told.
    pub(crate) async fn load(
        &mut self,
        name: &str,
        classes: Vec<Class>,
        rate: f64,
    ) -> Result<Report, Error> {
        let report = load::run(&self.plan(name, classes, rate)).await?;
        self.keep(&report);
        Ok(report)
    }

    pub(crate) fn plan(&self, name: &str, classes: Vec<Class>, rate: f64) -> Plan {
        let mut plan = Plan::new(self.fleet.callers(), classes, rate, self.phase);
        name.clone_into(&mut plan.name);
        plan
    }

    pub(crate) fn keep(&mut self, report: &Report) {
        self.denied.extend(report.not_executed.iter().cloned());
    }

    /// Returns the classes with weights that give each the rate of its share of its service's capacity.
    pub(crate) fn calm(&self) -> (Vec<Class>, f64) {
        let services: BTreeSet<_> = self.deployment.classes.iter().map(|c| &c.service).collect();
        let share = self.deployment.scale.calm_percent / 100.0;
        let mut classes = Vec::new();
        let mut rate = 0.0;
        for service in services {
            let own: Vec<_> = self
                .deployment
                .classes
                .iter()
                .filter(|c| c.service == *service)
                .collect();
            let weights: f64 = own.iter().map(|c| c.weight).sum();
            let capacity = self.deployment.capacity(service) * share;
            rate += capacity;
            classes.extend(own.into_iter().map(|c| Class {
                weight: capacity * c.weight / weights,
                ..c.clone()
            }));
        }
        (classes, rate)
    }
}

/// Runs all phases and returns the figures.
///
/// # Errors
///
/// Returns an error when the fleet can't be started or a phase can't be run.
pub async fn run(
    programs: &Programs,
    deployment: &Deployment,
    phase: Duration,
) -> Result<Figures, Error> {
    let layout = deployment.layout()?;
    let processes = layout.processes();
    eprintln!("{}: starting {processes} processes", deployment.name);
    let fleet = Fleet::start(programs, layout).await?;
    let mut stage = Stage {
        fleet,
        deployment,
        phase,
        figures: Figures::new(&deployment.name),
        denied: BTreeSet::new(),
    };
    stage.figures.add("processes", processes, "");
    phase::calm(&mut stage).await?;
    phase::added(&mut stage).await?;
    tokio::time::sleep(GRANT_PAUSE.saturating_sub(phase * 2)).await;
    gray::noise(&mut stage).await?;
    gray::failing(&mut stage).await?;
    phase::flood(&mut stage, Rank::Bottom).await?;
    phase::flood(&mut stage, Rank::Top).await?;
    phase::stops(&mut stage).await?;
    phase::executions(&mut stage).await?;
    Ok(stage.figures)
}

/// Returns the result of a load that ran as a task.
pub(crate) fn joined<T>(
    ended: Result<Result<T, Error>, tokio::task::JoinError>,
) -> Result<T, Error> {
    ended.map_err(|e| Error::Invalid(format!("load ended early: {e}")))?
}
