//! Composition of a fleet: services, numbers of processes and the first configuration.

use std::net::SocketAddr;

use chestnutvalve_model::config::{Edit, Exception, Match, Overrides};
use chestnutvalve_model::id;
use chestnutvalve_model::rank::Rank;
use serde::{Deserialize, Serialize};

/// Maximum number of processes of a fleet, all of which run on one machine.
pub const MAX_PROCESSES: usize = 480;

/// Workers of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Name of the service; worker names are derived from it.
    pub name: String,
    /// Number of workers.
    pub workers: usize,
    /// Requests that each worker runs concurrently.
    pub slots: u32,
    /// Maximum number of open connections of each worker.
    pub connections: u32,
    /// Typical service time, in milliseconds.
    pub work_ms: u64,
    /// Share of requests with the service time of the tail, in percent.
    pub tail_percent: f64,
    /// Service time of the tail, in milliseconds.
    pub tail_ms: u64,
    /// Warm-up time after a start, during which requests take longer, in milliseconds.
    pub cold_ms: u64,
    /// Share of requests that fail at random, in percent.
    pub error_percent: f64,
    /// Minimum time between SIGTERM and exit of a worker, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: "service".into(),
            workers: 1,
            slots: 2,
            connections: 450,
            work_ms: 5,
            tail_percent: 0.0,
            tail_ms: 50,
            cold_ms: 0,
            error_percent: 0.0,
            drain_ms: 3_500,
        }
    }
}

impl Service {
    /// Creates a service with default workers.
    #[must_use]
    pub fn new(name: &str, workers: usize) -> Self {
        Self {
            name: name.to_owned(),
            workers,
            ..Self::default()
        }
    }

    pub(crate) fn arguments(
        &self,
        worker: &str,
        zone: &str,
        listen: SocketAddr,
        seed: u64,
    ) -> Vec<String> {
        let pairs = [
            ("--service", self.name.clone()),
            ("--worker", worker.to_owned()),
            ("--zone", zone.to_owned()),
            ("--listen", listen.to_string()),
            ("--slots", self.slots.to_string()),
            ("--connections", self.connections.to_string()),
            ("--work-ms", self.work_ms.to_string()),
            ("--tail-percent", self.tail_percent.to_string()),
            ("--tail-ms", self.tail_ms.to_string()),
            ("--cold-ms", self.cold_ms.to_string()),
            ("--error-percent", self.error_percent.to_string()),
            ("--drain-ms", self.drain_ms.to_string()),
            ("--seed", seed.to_string()),
        ];
        let arguments = pairs.into_iter().flat_map(|(n, v)| [n.to_owned(), v]);
        std::iter::once("worker".to_owned())
            .chain(arguments)
            .collect()
    }
}

/// Processes and initial configuration of a fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Layout {
    /// Availability zones, assigned to the processes of each kind in turn.
    pub zones: Vec<String>,
    /// Number of control instances.
    pub controls: usize,
    /// Number of entry instances.
    pub entries: usize,
    /// Services with their workers.
    pub services: Vec<Service>,
    /// Edits of the first configuration change; none is made if empty.
    pub edits: Vec<Edit>,
    /// Whether each link has a forwarder, so that faults can be injected link by link.
    pub links: bool,
    /// Whether entries also accept requests that are routed by host and path to registered workers.
    pub gateway: bool,
    /// Log threshold of the control and entry instances.
    pub log: String,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            zones: vec!["z1".into(), "z2".into(), "z3".into()],
            controls: 3,
            entries: 3,
            services: Vec::new(),
            edits: Vec::new(),
            links: false,
            gateway: false,
            log: "info".into(),
        }
    }
}

impl Layout {
    pub(crate) fn zone(&self, number: usize) -> String {
        self.zones[number % self.zones.len()].clone()
    }

    /// Returns the number of processes.
    #[must_use]
    pub fn processes(&self) -> usize {
        let workers: usize = self.services.iter().map(|s| s.workers).sum();
        self.controls + self.entries + workers
    }
}

/// Returns the edit that sets the rank of a service's path and whether its requests are idempotent.
///
/// # Panics
///
/// Panics when `service` is not a valid name.
#[must_use]
pub fn route(service: &str, path: &str, rank: Rank, idempotent: bool) -> Edit {
    Edit::PutException(Exception {
        id: format!("{service}{}", path.replace('/', "-")),
        reason: "route of the measured fleet".into(),
        on: Match {
            service: Some(id::Service::new(service).expect("a valid service name")),
            path: Some(path.to_owned()),
            ..Match::default()
        },
        set: Overrides {
            rank: Some(rank),
            idempotent: Some(idempotent),
            ..Overrides::default()
        },
    })
}
