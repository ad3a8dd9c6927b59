//! Routes by host and path prefix, and the services that they target.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::account::{Account, Registry};
use crate::config::Invalid;
use crate::id::{Customer, Service};
use crate::rank::Rank;

/// Max routes of one table. A table of this size takes about 4 MB.
pub const MAX_ROUTES: usize = 20_000;
/// Max time in a published document, in milliseconds: one day.
pub const MAX_DURATION_MS: u64 = 86_400_000;
/// The target latency of a route must exceed its timeout by less than this.
pub const MAX_TARGET_EXCESS_MS: u64 = 60_000;

/// Kind of a route's requests: whether they may be repeated, and whether their responses are large.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Idempotent request.
    Idempotent,
    /// Idempotent request with a large response.
    Download,
    /// Request that must be executed at most once.
    Once,
}

impl Kind {
    /// Returns whether a request may be executed more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: Service,
    /// Weight relative to the other shares of the route; 0 or more.
    pub weight: f64,
}

/// Route from a host and path prefix to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs and reports.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: Kind,
    /// Request timeout, in milliseconds; above 0.
    pub timeout_ms: u64,
    /// Target latency of a response, in milliseconds.
    pub target_ms: u64,
    /// Priority class of the requests.
    pub rank: Rank,
    /// Services that serve the route, with their weights.
    pub split: Vec<Share>,
    /// Max workers to which one request may be sent.
    pub attempts: u8,
    /// Whether requests need no API key although there are accounts.
    #[serde(default)]
    pub public: bool,
}

/// Settings of a service that routes target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Path of the health check of a worker.
    pub health: String,
    /// Max connections that a worker accepts from all callers together.
    pub max_connections: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Max size of a request head, in bytes.
    pub head_bytes: u32,
    /// Max size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving the head of a request, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Returns the limits in force before the first table. Common servers accept a head of 16 KiB, and an idle timeout
    /// of 15 s is usual.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Routing table: all routes in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// Version that the operator gave to the table; 0 before the first table.
    pub label: u64,
    /// Routes by host and prefix.
    pub routes: BTreeMap<(String, String), Route>,
    /// Services by name.
    pub services: BTreeMap<Service, Target>,
    /// What callers may send.
    pub limits: Limits,
    /// Accounts of the customers. If there are none, requests need no API key.
    pub accounts: Registry,
}

/// Complete table that an operator publishes to replace the current one.
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct Publication {
    /// Version of the table; it must be higher than the current one.
    pub label: u64,
    /// Version that the table replaces.
    pub base: u64,
    /// Routes in the order of the operator's document.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Service, Target>,
    /// What callers may send.
    pub limits: Limits,
    /// Accounts in the order of the operator's document.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Operator's document, which is returned unchanged to readers.
    #[serde(default)]
    pub source: Vec<u8>,
}

/// Difference between two tables.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Version of the table after the change.
    pub label: u64,
    /// Routes that are new or changed.
    pub put: Vec<Route>,
    /// Host and prefix of the removed routes.
    pub removed: Vec<(String, String)>,
    /// All services by name; `None` if they are unchanged.
    pub services: Option<BTreeMap<Service, Target>>,
    /// What callers may send.
    pub limits: Limits,
    /// Accounts that are new or changed.
    pub accounts: Vec<Account>,
    /// Customers whose accounts are removed.
    pub removed_accounts: Vec<Customer>,
}

impl fmt::Debug for Publication {
    /// Omits the operator's document, which contains the API keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            label,
            base,
            routes,
            services,
            limits,
            accounts,
            source: _,
        } = self;
        f.debug_struct("Publication")
            .field("label", label)
            .field("base", base)
            .field("routes", routes)
            .field("services", services)
            .field("limits", limits)
            .field("accounts", accounts)
            .finish_non_exhaustive()
    }
}

impl Publication {
    /// Validates everything that does not depend on the table in force, and builds the table.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn table(&self) -> Result<Table, Invalid> {
        if let Some(first) = self.invalid().into_iter().next() {
            return Err(first);
        }
        let routes = self.routes.iter().map(|r| (r.key(), r.clone()));
        Ok(Table {
            label: self.label,
            routes: routes.collect(),
            services: self.services.clone(),
            limits: self.limits,
            accounts: Registry::build(&self.accounts)?,
        })
    }

    /// Returns all invalid fields among those that do not depend on the table in force. They contain no key.
    #[must_use]
    pub fn invalid(&self) -> Vec<Invalid> {
        let mut invalid = Vec::new();
        if self.routes.len() > MAX_ROUTES {
            let expected = format!("at most {MAX_ROUTES} routes");
            invalid.push(Invalid::new("routes", self.routes.len(), expected));
        }
        let mut first: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for (at, route) in self.routes.iter().enumerate() {
            route.validate(&self.services, &format!("routes[{at}]"), &mut invalid);
            let other = *first.entry((&route.host, &route.prefix)).or_insert(at);
            if other != at {
                let field = format!("routes[{at}].prefix");
                let expected =
                    format!("a host and prefix that no other route has (routes[{other}])");
                invalid.push(Invalid::new(field, &route.prefix, expected));
            }
        }
        invalid.extend(Registry::invalid(&self.accounts));
        invalid
    }

    /// Returns all times above [`MAX_DURATION_MS`]. They are refused before a document is proposed and not when it is
    /// applied, because a replica must accept each document of its log again.
    #[must_use]
    pub fn too_long(&self) -> Vec<Invalid> {
        let routes = self.routes.iter().enumerate();
        let routes = routes.flat_map(|(at, route)| {
            [
                (format!("routes[{at}].timeout"), route.timeout_ms),
                (format!("routes[{at}].target"), route.target_ms),
            ]
        });
        let limits = [
            ("limits.head_ms".to_owned(), self.limits.head_ms),
            ("limits.idle_ms".to_owned(), self.limits.idle_ms),
        ];
        let long = routes.chain(limits).filter(|(_, ms)| *ms > MAX_DURATION_MS);
        let expected = format!("at most {MAX_DURATION_MS} milliseconds");
        long.map(|(path, ms)| Invalid::new(path, ms, &expected))
            .collect()
    }
}

impl Route {
    /// Returns the host and prefix, which identify the route in its table.
    #[must_use]
    pub fn key(&self) -> (String, String) {
        (self.host.clone(), self.prefix.clone())
    }

    fn validate(
        &self,
        services: &BTreeMap<Service, Target>,
        path: &str,
        invalid: &mut Vec<Invalid>,
    ) {
        let field = |name: &str| format!("{path}.{name}");
        if self.host.is_empty() {
            invalid.push(Invalid::new(field("host"), &self.host, "a host"));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            let expected = "a path that begins and ends with a slash";
            invalid.push(Invalid::new(field("prefix"), &self.prefix, expected));
        }
        if self.timeout_ms == 0 {
            let expected = "1 or more milliseconds";
            invalid.push(Invalid::new(field("timeout"), self.timeout_ms, expected));
        }
        if self.target_ms >= self.timeout_ms.saturating_add(MAX_TARGET_EXCESS_MS) {
            let expected = "less than a minute above the timeout";
            invalid.push(Invalid::new(field("target"), self.target_ms, expected));
        }
        let mut weights_valid = true;
        for share in &self.split {
            if !services.contains_key(&share.service) {
                let expected = "a service of the same document";
                invalid.push(Invalid::new(field("service"), &share.service, expected));
            }
            if !share.weight.is_finite() || share.weight < 0.0 {
                let expected = "a weight of 0 or more";
                invalid.push(Invalid::new(field("weight"), share.weight, expected));
                weights_valid = false;
            }
        }
        let sum: f64 = self.split.iter().map(|s| s.weight).sum();
        if weights_valid && (sum <= 0.0 || !sum.is_finite()) {
            let expected = "weights with a sum above 0";
            invalid.push(Invalid::new(field("split"), sum, expected));
        }
    }
}

impl Table {
    /// Returns whether the table names a service.
    #[must_use]
    pub fn has_service(&self, service: &Service) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the difference that turns this table into `next`.
    #[must_use]
    pub fn delta(&self, next: &Self) -> Delta {
        let put = next
            .routes
            .iter()
            .filter(|(key, route)| self.routes.get(*key) != Some(*route));
        let removed = self.routes.keys().filter(|k| !next.routes.contains_key(*k));
        Delta {
            label: next.label,
            put: put.map(|(_, route)| route.clone()).collect(),
            removed: removed.cloned().collect(),
            services: (self.services != next.services).then(|| next.services.clone()),
            limits: next.limits,
            accounts: self.accounts.changed(&next.accounts),
            removed_accounts: self.accounts.removed(&next.accounts),
        }
    }

    /// Applies a difference that [`Table::delta`] returned.
    pub fn apply(&mut self, delta: &Delta) {
        self.label = delta.label;
        for key in &delta.removed {
            self.routes.remove(key);
        }
        for route in &delta.put {
            self.routes.insert(route.key(), route.clone());
        }
        if let Some(services) = &delta.services {
            self.services.clone_from(services);
        }
        self.limits = delta.limits;
        for customer in &delta.removed_accounts {
            self.accounts.remove(customer);
        }
        for account in &delta.accounts {
            self.accounts.put(account.clone());
        }
    }

    /// Returns the route of a request: the one for the host with the longest matching path prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        // Every prefix ends with a slash, so only the parts of the path that end with a slash are candidates.
        let prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut key = (host.to_owned(), String::new());
        for prefix in prefixes {
            prefix.clone_into(&mut key.1);
            if let Some(route) = self.routes.get(&key) {
                return Some(route);
            }
        }
        None
    }
}
