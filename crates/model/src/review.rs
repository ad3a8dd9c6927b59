//! Review of a route document before it is published: errors, entries without effect, contradictory limits, and the
//! differences from the document in force. No text of a report contains an API key.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use serde::Serialize;

use crate::account::{Account, Limit};
use crate::rank::Rank;
use crate::routes::{Publication, Route};

/// Max size of a request body that an entry keeps to repeat the request at another worker.
pub const MAX_REPEATED_BODY_BYTES: u64 = 64 * 1024;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The control group refuses the document.
    Error,
    /// The document is accepted, but a part of it has no effect or contradicts another.
    Warning,
    /// The document is accepted, and a part of it has a limited effect.
    Note,
}

impl Severity {
    /// Returns the name used in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Note => "note",
        }
    }
}

/// Finding about one field of a document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// Severity.
    pub severity: Severity,
    /// Path of the field.
    pub path: String,
    /// What was found.
    pub text: String,
}

/// Result of a review.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Findings, errors first.
    pub findings: Vec<Finding>,
    /// Differences from the document in force; `None` if that document is unknown.
    pub differences: Option<Vec<String>>,
}

impl Report {
    /// Reviews `next` as the replacement of `current`, which is `None` if the document in force is unknown. Before the
    /// first publication the document in force is [`Publication::default`].
    #[must_use]
    pub fn new(next: &Publication, current: Option<&Publication>) -> Self {
        let mut report = Self {
            findings: Vec::new(),
            differences: current.map(|current| differences(current, next)),
        };
        report.check_version(next, current);
        for invalid in next.invalid().into_iter().chain(next.too_long()) {
            let text = format!("expected {}, found {}", invalid.expected, invalid.value);
            report.add(Severity::Error, invalid.path, text);
        }
        report.check_routes(next);
        report.check_services(next);
        report.check_limits(next);
        report.check_accounts(&next.accounts);
        report.findings.sort_by_key(|finding| finding.severity);
        report
    }

    /// Returns the number of findings of a severity.
    #[must_use]
    pub fn count(&self, severity: Severity) -> usize {
        let same = self.findings.iter().filter(|f| f.severity == severity);
        same.count()
    }

    fn add(&mut self, severity: Severity, path: impl Into<String>, text: impl Into<String>) {
        let (path, text) = (path.into(), text.into());
        self.findings.push(Finding {
            severity,
            path,
            text,
        });
    }

    fn warn(&mut self, path: impl Into<String>, text: impl Into<String>) {
        self.add(Severity::Warning, path, text);
    }

    fn check_version(&mut self, next: &Publication, current: Option<&Publication>) {
        let Some(current) = current else {
            // A label above its base is above the version in force, which must be the base.
            if next.label <= next.base {
                let text = format!(
                    "expected a version above the base {}, found {}",
                    next.base, next.label
                );
                self.add(Severity::Error, "label", text);
            }
            return;
        };
        if next == current {
            let text =
                "this document is in force; only the same file, byte for byte, is accepted again";
            return self.warn("label", text);
        }
        let in_force = current.label;
        if next.base != in_force {
            let text = format!(
                "expected {in_force}, the version in force, found {}",
                next.base
            );
            self.add(Severity::Error, "base", text);
        }
        if next.label <= in_force {
            let text = format!("expected a version above {in_force}, found {}", next.label);
            self.add(Severity::Error, "label", text);
        }
    }

    fn check_routes(&mut self, next: &Publication) {
        for (at, route) in next.routes.iter().enumerate() {
            let path = |field: &str| format!("routes[{at}].{field}");
            if route.host.contains(':') {
                let text = "never matches: the port is removed from the host of a request";
                self.warn(path("host"), text);
            }
            if route.prefix.contains(['?', '#']) {
                let text = "never matches: the path of a request ends before ? and #";
                self.warn(path("prefix"), text);
            }
            let shares = route.split.iter().enumerate();
            for (share_at, share) in shares.filter(|(_, share)| share.weight == 0.0) {
                let text = format!("{} gets no requests: its weight is 0", share.service);
                self.warn(path(&format!("split[{share_at}].weight")), text);
            }
            if route.public && next.accounts.is_empty() {
                let text = "has no effect: without accounts no request needs a key";
                self.warn(path("public"), text);
            }
            if route.target_ms > route.timeout_ms {
                let (target, timeout) = (route.target_ms, route.timeout_ms);
                let text =
                    format!("the target of {target} ms is beyond the timeout of {timeout} ms");
                self.warn(path("target_ms"), text);
            }
            if route.attempts == 0 {
                self.warn(
                    path("attempts"),
                    "0 has the effect of 1: a request is not repeated",
                );
            }
        }
    }

    fn check_services(&mut self, next: &Publication) {
        let shares = || next.routes.iter().flat_map(|route| &route.split);
        let weighted = shares().filter(|share| share.weight > 0.0);
        let weighted: BTreeSet<_> = weighted.map(|share| &share.service).collect();
        let targeted: BTreeSet<_> = shares().map(|share| &share.service).collect();
        for (service, target) in &next.services {
            if !targeted.contains(service) {
                self.warn(
                    format!("services.{service}"),
                    "no route targets this service",
                );
            } else if !weighted.contains(service) {
                let text = "no route targets this service with a weight above 0";
                self.warn(format!("services.{service}"), text);
            }
            if target.max_connections == 0 {
                let text = "the workers accept no connections";
                self.warn(format!("services.{service}.max_connections"), text);
            }
        }
    }

    fn check_limits(&mut self, next: &Publication) {
        let limits = &next.limits;
        if limits.head_bytes == 0 {
            let text = "0 leaves no room for a request head; entries use their smallest buffer";
            self.warn("limits.head_bytes", text);
        }
        if limits.head_ms == 0 {
            let text = "0 leaves no time for a request head beyond the idle timeout";
            self.warn("limits.head_ms", text);
        }
        if limits.idle_ms == 0 {
            let text = "0 leaves an idle connection open only for the timeout of a request head";
            self.warn("limits.idle_ms", text);
        }
        let repeating = next
            .routes
            .iter()
            .filter(|route| route.attempts > 1)
            .count();
        if limits.body_bytes > MAX_REPEATED_BODY_BYTES && repeating > 0 {
            let text = format!(
                "a request with a body above {MAX_REPEATED_BODY_BYTES} bytes may not be repeated; routes with attempts above 1: {repeating}"
            );
            self.add(Severity::Note, "limits.body_bytes", text);
        }
    }

    fn check_accounts(&mut self, accounts: &[Account]) {
        for Account {
            customer,
            keys,
            limit,
            ..
        } in accounts
        {
            if keys.is_empty() {
                let text = "no caller can act for this customer: it has no keys";
                self.warn(format!("accounts[{customer}].keys"), text);
            }
            let Some(Limit { per_second, burst }) = limit else {
                continue;
            };
            if *per_second > 0.0 && *per_second < 1.0 && *burst < 1.0 {
                let pause_s = per_second.recip();
                let text =
                    format!("after each request further ones are refused for {pause_s:.1} s");
                self.warn(format!("accounts[{customer}].limit"), text);
            }
        }
    }
}

/// Returns what turns `current` into `next`, one text for each route, service, limit or customer.
fn differences(current: &Publication, next: &Publication) -> Vec<String> {
    let mut lines = Vec::new();
    let routes = |document: &Publication| -> BTreeMap<_, Route> {
        let routes = document.routes.iter();
        routes
            .map(|r| (format!("route {}{}", r.host, r.prefix), r.clone()))
            .collect()
    };
    compare(
        &mut lines,
        &routes(current),
        &routes(next),
        route_changes,
        |_| String::new(),
    );
    let services = |document: &Publication| -> BTreeMap<_, _> {
        let services = document.services.clone().into_iter();
        services
            .map(|(name, target)| (format!("service {name}"), target))
            .collect()
    };
    compare(
        &mut lines,
        &services(current),
        &services(next),
        |old, new| {
            let mut changes = Vec::new();
            change(&mut changes, "health", &old.health, &new.health);
            change(
                &mut changes,
                "max_connections",
                &old.max_connections,
                &new.max_connections,
            );
            changes
        },
        |_| String::new(),
    );
    let (old, new) = (&current.limits, &next.limits);
    let mut limits = Vec::new();
    change(&mut limits, "head_bytes", &old.head_bytes, &new.head_bytes);
    change(&mut limits, "body_bytes", &old.body_bytes, &new.body_bytes);
    change(&mut limits, "head_ms", &old.head_ms, &new.head_ms);
    change(&mut limits, "idle_ms", &old.idle_ms, &new.idle_ms);
    lines.extend(limits.into_iter().map(|text| format!("limit {text}")));
    let accounts = |document: &Publication| -> BTreeMap<_, Account> {
        let accounts = document.accounts.iter();
        accounts
            .map(|a| (format!("customer {}", a.customer), a.clone()))
            .collect()
    };
    compare(
        &mut lines,
        &accounts(current),
        &accounts(next),
        account_changes,
        |account| format!(", keys: {}", account.keys.len()),
    );
    match (current.accounts.is_empty(), next.accounts.is_empty()) {
        (true, false) => lines.push("requests need an API key, except on public routes".to_owned()),
        (false, true) => lines.push("requests need no API key any more".to_owned()),
        _ => {}
    }
    lines
}

fn compare<T: PartialEq>(
    lines: &mut Vec<String>,
    current: &BTreeMap<String, T>,
    next: &BTreeMap<String, T>,
    changes: impl Fn(&T, &T) -> Vec<String>,
    extent: impl Fn(&T) -> String,
) {
    let names: BTreeSet<_> = current.keys().chain(next.keys()).collect();
    for name in names {
        match (current.get(name), next.get(name)) {
            (Some(old), Some(new)) if old != new => {
                lines.push(format!("{name}: {}", changes(old, new).join(", ")));
            }
            (Some(old), None) => lines.push(format!("{name}: removed{}", extent(old))),
            (None, Some(new)) => lines.push(format!("{name}: added{}", extent(new))),
            _ => {}
        }
    }
}

fn change<T: Display + PartialEq>(changes: &mut Vec<String>, field: &str, old: &T, new: &T) {
    if old != new {
        changes.push(format!("{field} from {old} to {new}"));
    }
}

fn route_changes(old: &Route, new: &Route) -> Vec<String> {
    let split = |route: &Route| {
        let shares = route.split.iter();
        let shares = shares.map(|share| format!("{} {}", share.service, share.weight));
        shares.collect::<Vec<_>>().join(" + ")
    };
    let kind = |route: &Route| format!("{:?}", route.kind);
    let mut changes = Vec::new();
    change(&mut changes, "name", &old.name, &new.name);
    change(&mut changes, "kind", &kind(old), &kind(new));
    change(&mut changes, "timeout_ms", &old.timeout_ms, &new.timeout_ms);
    change(&mut changes, "target_ms", &old.target_ms, &new.target_ms);
    change(&mut changes, "rank", &old.rank.name(), &new.rank.name());
    change(&mut changes, "split", &split(old), &split(new));
    change(&mut changes, "attempts", &old.attempts, &new.attempts);
    change(&mut changes, "public", &old.public, &new.public);
    changes
}

fn account_changes(old: &Account, new: &Account) -> Vec<String> {
    let rank = |account: &Account| account.rank.map_or("that of the route", Rank::name);
    let limit = |account: &Account| {
        account.limit.map_or("none".to_owned(), |limit| {
            format!("{} requests/s with burst {}", limit.per_second, limit.burst)
        })
    };
    let mut changes = Vec::new();
    let keys = |account: &Account| account.keys.iter().cloned().collect::<BTreeSet<_>>();
    let (old_keys, new_keys) = (keys(old), keys(new));
    let added = new_keys.difference(&old_keys).count();
    let removed = old_keys.difference(&new_keys).count();
    if added + removed > 0 {
        changes.push(format!("keys added {added}, removed {removed}"));
    } else if old.keys != new.keys {
        changes.push("the same keys in another order or number".to_owned());
    }
    change(&mut changes, "rank", &rank(old), &rank(new));
    change(&mut changes, "limit", &limit(old), &limit(new));
    changes
}
