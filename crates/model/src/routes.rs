//! Routes by host and path prefix, and the services that they lead to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::Invalid;
use crate::id::Service;
use crate::rank::Rank;

/// Most routes of one table. A table of this size takes about 4 MB.
pub const MAX_ROUTES: usize = 20_000;
/// Longest time by which the target latency of a route may exceed its timeout, in milliseconds.
pub const MAX_TARGET_EXCESS_MS: u64 = 60_000;

/// What may be repeated, and how large the responses are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Idempotent request.
    Idempotent,
    /// Idempotent request with a large response.
    Download,
    /// Request that runs at most once.
    Once,
}

impl Kind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: Service,
    /// Weight relative to the other parts of the route.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs and reports.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for which a request is kept waiting, in milliseconds; above 0.
    pub timeout_ms: u64,
    /// Time within which a response is worth most, in milliseconds.
    pub target_ms: u64,
    /// Urgency.
    pub rank: Rank,
    /// Services that serve the route, with their weights.
    pub split: Vec<Share>,
    /// Most workers that one request may be sent to.
    pub attempts: u8,
}

/// Settings of a service that the routes lead to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Path at which a worker answers health checks.
    pub health: String,
    /// Connections that a worker accepts from all callers together.
    pub max_connections: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: u32,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Time to send the head of a request, in milliseconds.
    pub head_ms: u64,
    /// Time for which an idle connection is kept, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Returns bounds that hold before the first table: a head of 16 KiB is what common servers accept, and 15 s are a
    /// usual idle time.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// All routes in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Operators' version; 0 before the first table.
    pub label: u64,
    /// Routes by host and prefix.
    pub routes: BTreeMap<(String, String), Route>,
    /// Services by name.
    pub services: BTreeMap<Service, Target>,
    /// What callers may send.
    pub limits: Limits,
}

/// A whole table that an operator publishes in place of the current one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Publication {
    /// Version of the table, greater than the current one.
    pub label: u64,
    /// Version that the table replaces.
    pub base: u64,
    /// Routes in the operator's order.
    pub routes: Vec<Route>,
    /// Services.
    pub services: BTreeMap<Service, Target>,
    /// What callers may send.
    pub limits: Limits,
    /// The operator's document, returned unchanged to readers.
    #[serde(default)]
    pub source: Vec<u8>,
}

/// Difference between two tables.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Version after the change.
    pub label: u64,
    /// Routes that are new or differ.
    pub put: Vec<Route>,
    /// Host and prefix of the routes that are gone.
    pub removed: Vec<(String, String)>,
    /// Services, when they differ.
    pub services: Option<BTreeMap<Service, Target>>,
    /// What callers may send.
    pub limits: Limits,
}

impl Publication {
    /// Checks everything that does not depend on the table in force, and builds the table.
    ///
    /// # Errors
    ///
    /// Returns the first wrong field.
    pub fn table(&self) -> Result<Table, Invalid> {
        if self.routes.len() > MAX_ROUTES {
            let expected = format!("at most {MAX_ROUTES} routes");
            return Err(Invalid::new("routes", self.routes.len(), expected));
        }
        let mut routes = BTreeMap::new();
        for (at, route) in self.routes.iter().enumerate() {
            route.check(&self.services, &format!("routes[{at}]"))?;
            let place = route.key();
            if routes.insert(place, route.clone()).is_some() {
                let field = format!("routes[{at}].prefix");
                let expected = "each host and prefix once";
                return Err(Invalid::new(field, &route.prefix, expected));
            }
        }
        Ok(Table {
            label: self.label,
            routes,
            services: self.services.clone(),
            limits: self.limits,
        })
    }
}

impl Route {
    /// Returns the host and prefix, which identify the route.
    #[must_use]
    pub fn key(&self) -> (String, String) {
        (self.host.clone(), self.prefix.clone())
    }

    fn check(&self, services: &BTreeMap<Service, Target>, path: &str) -> Result<(), Invalid> {
        let field = |name: &str| format!("{path}.{name}");
        if self.host.is_empty() {
            return Err(Invalid::new(field("host"), &self.host, "a host"));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            let expected = "a path that begins and ends with a slash";
            return Err(Invalid::new(field("prefix"), &self.prefix, expected));
        }
        if self.timeout_ms == 0 {
            let expected = "1 or more milliseconds";
            return Err(Invalid::new(field("timeout"), self.timeout_ms, expected));
        }
        if self.target_ms >= self.timeout_ms.saturating_add(MAX_TARGET_EXCESS_MS) {
            let expected = "less than a minute above the timeout";
            return Err(Invalid::new(field("target"), self.target_ms, expected));
        }
        for share in &self.split {
            if !services.contains_key(&share.service) {
                let expected = "a service of the same document";
                return Err(Invalid::new(field("service"), &share.service, expected));
            }
            if !share.weight.is_finite() || share.weight < 0.0 {
                let expected = "a weight of 0 or more";
                return Err(Invalid::new(field("weight"), share.weight, expected));
            }
        }
        let sum: f64 = self.split.iter().map(|s| s.weight).sum();
        if sum <= 0.0 || !sum.is_finite() {
            let expected = "weights with a sum above 0";
            return Err(Invalid::new(field("split"), sum, expected));
        }
        Ok(())
    }
}

impl Table {
    /// Returns what changes this table into `next`.
    #[must_use]
    pub fn delta(&self, next: &Self) -> Delta {
        let put = next
            .routes
            .iter()
            .filter(|(place, route)| self.routes.get(*place) != Some(*route));
        let removed = self.routes.keys().filter(|p| !next.routes.contains_key(*p));
        Delta {
            label: next.label,
            put: put.map(|(_, route)| route.clone()).collect(),
            removed: removed.cloned().collect(),
            services: (self.services != next.services).then(|| next.services.clone()),
            limits: next.limits,
        }
    }

    /// Applies a difference.
    pub fn apply(&mut self, delta: &Delta) {
        self.label = delta.label;
        for place in &delta.removed {
            self.routes.remove(place);
        }
        for route in &delta.put {
            self.routes.insert(route.key(), route.clone());
        }
        if let Some(services) = &delta.services {
            self.services.clone_from(services);
        }
        self.limits = delta.limits;
    }

    /// Returns the route of a request: the one of the host with the longest prefix that begins the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        // Prefixes end with a slash, so that only the path's own slashes can end one.
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut place = (host.to_owned(), String::new());
        for prefix in ends {
            prefix.clone_into(&mut place.1);
            if let Some(route) = self.routes.get(&place) {
                return Some(route);
            }
        }
        None
    }
}
