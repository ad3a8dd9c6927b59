//! Review of route documents: findings and differences.

use chestnutvalve_model::json;
use chestnutvalve_model::review::{Report, Severity};
use chestnutvalve_model::routes::Publication;

const IN_FORCE: &str = r#"{
    "label": 7, "base": 6,
    "routes": [
        {"name": "balance", "host": "kasa.example", "prefix": "/balance/", "kind": "Idempotent", "timeout_ms": 2000,
         "target_ms": 800, "rank": "top", "split": [{"service": "kasa", "weight": 1}], "attempts": 2},
        {"name": "old", "host": "kasa.example", "prefix": "/old/", "kind": "Download", "timeout_ms": 9000,
         "target_ms": 900, "rank": "bottom", "split": [{"service": "arhiv", "weight": 1}], "attempts": 1}
    ],
    "services": {"kasa": {"health": "/healthz", "max_connections": 400}, "arhiv": {"health": "/healthz", "max_connections": 90}},
    "limits": {"head_bytes": 16384, "body_bytes": 65536, "head_ms": 3000, "idle_ms": 15000},
    "accounts": [
        {"customer": "coop", "keys": ["secret-1", "secret-2"], "rank": null, "limit": {"per_second": 10, "burst": 5}},
        {"customer": "farm", "keys": ["secret-3"], "rank": null, "limit": null}
    ]
}"#;

fn parse(text: &str) -> Publication {
    json::parse_confidential(text.as_bytes()).unwrap()
}

fn render(report: &Report) -> String {
    let findings = report.findings.iter();
    let findings = findings.map(|f| format!("{}  {}  {}\n", f.severity.name(), f.path, f.text));
    let differences = report.differences.iter().flatten();
    let differences = differences.map(|line| format!("  {line}\n"));
    findings.chain(differences).collect()
}

/// Returns the document that replaces the one in force without another change.
fn successor() -> Publication {
    let mut next = parse(IN_FORCE);
    (next.label, next.base) = (8, 7);
    next
}

/// Guards against findings about a document that has nothing to object to, and against differences without a change.
#[test]
fn a_sound_document_has_no_findings() {
    let report = Report::new(&successor(), Some(&parse(IN_FORCE)));
    assert_eq!(render(&report), "");
    assert_eq!(report.differences, Some(Vec::new()));
    assert_eq!(Report::new(&successor(), None).differences, None);
}

/// Guards against a report that stops at the first error, so that an operator needs one attempt for each.
#[test]
fn all_errors_are_reported() {
    let mut next = successor();
    (next.label, next.base) = (7, 5);
    next.routes[0].timeout_ms = 0;
    next.routes[0].host.clear();
    next.routes[1].prefix = "/old".to_owned();
    next.routes[1].split[0].weight = -1.0;
    let mut twice = next.routes[0].clone();
    twice.timeout_ms = 900;
    next.routes.push(twice);
    next.services.pop_first();
    next.accounts[0].keys[1] = next.accounts[1].keys[0].clone();
    next.accounts[1].limit = next.accounts[0].limit;
    if let Some(limit) = &mut next.accounts[1].limit {
        (limit.per_second, limit.burst) = (0.0, -1.0);
    }
    next.accounts.push(next.accounts[0].clone());
    let report = Report::new(&next, Some(&parse(IN_FORCE)));
    insta::assert_snapshot!(render(&report));
}

/// Guards against a review that accepts what control instances refuse, or names another field first.
#[test]
fn the_first_error_is_that_of_the_table() {
    let mut next = successor();
    next.routes[1].timeout_ms = 0;
    let key = next.accounts[0].keys[0].clone();
    next.accounts[1].keys.push(key);
    let refused = next.table().unwrap_err();
    let report = Report::new(&next, Some(&parse(IN_FORCE)));
    assert_eq!(report.count(Severity::Error), 2);
    assert_eq!(report.findings[0].path, refused.path);
}

/// Guards against entries without effect and contradictory limits that nobody notices until requests fail.
#[test]
fn entries_without_effect_and_contradictory_limits() {
    let mut next = successor();
    next.routes[0].host = "kasa.example:8080".to_owned();
    next.routes[0].prefix = "/balance?of=/".to_owned();
    next.routes[0].target_ms = 2_001;
    let mut idle = next.routes[0].split[0].clone();
    idle.service = next.routes[1].split[0].service.clone();
    idle.weight = 0.0;
    next.routes[0].split.push(idle);
    next.routes[1].split = next.routes[0].split[..1].to_vec();
    next.routes[1].attempts = 0;
    let target = next.services.values().next().cloned().unwrap();
    let unused = chestnutvalve_model::id::Service::new("unused").unwrap();
    next.services.insert(unused, target);
    for target in next.services.values_mut() {
        target.max_connections = 0;
    }
    next.limits.head_bytes = 0;
    next.limits.head_ms = 0;
    next.limits.idle_ms = 0;
    next.limits.body_bytes = 65_537;
    next.accounts[1].keys.clear();
    if let Some(limit) = &mut next.accounts[0].limit {
        (limit.per_second, limit.burst) = (0.25, 0.5);
    }
    let report = Report::new(&next, None);
    insta::assert_snapshot!(render(&report));
}

/// Guards against limits at the bounds that are reported although they contradict nothing.
#[test]
fn limits_at_the_bounds_are_not_reported() {
    let mut next = successor();
    next.routes[0].target_ms = next.routes[0].timeout_ms;
    next.limits.body_bytes = 65_536;
    if let Some(limit) = &mut next.accounts[0].limit {
        (limit.per_second, limit.burst) = (0.25, 1.0);
    }
    assert!(Report::new(&next, None).findings.is_empty());
}

/// Guards against a change of a route, service, limit or customer that the report leaves out.
#[test]
fn differences_are_reported_in_words() {
    let mut next = successor();
    next.routes[0].timeout_ms = 2_500;
    next.routes[0].split[0].weight = 0.5;
    next.routes[0].public = true;
    next.routes[1].prefix = "/new/".to_owned();
    next.services.values_mut().next().unwrap().max_connections = 91;
    next.limits.idle_ms = 20_000;
    next.accounts[0].keys.remove(0);
    next.accounts[0].limit = None;
    next.accounts[1].customer = chestnutvalve_model::id::Customer::new("guest").unwrap();
    let report = Report::new(&next, Some(&parse(IN_FORCE)));
    insta::assert_snapshot!(render(&report));
}

/// Guards against a first publication without base 0, and against a table that opens all routes unnoticed.
#[test]
fn first_and_last_accounts() {
    let mut first = successor();
    first.base = 0;
    let report = Report::new(&first, Some(&Publication::default()));
    insta::assert_snapshot!("first_publication", render(&report));
    let mut open = successor();
    open.accounts.clear();
    open.routes[0].public = true;
    let report = Report::new(&open, Some(&parse(IN_FORCE)));
    insta::assert_snapshot!("without_accounts", render(&report));
}

/// Guards against a resend that is reported as an invalid version.
#[test]
fn the_document_in_force_is_recognized() {
    let report = Report::new(&parse(IN_FORCE), Some(&parse(IN_FORCE)));
    assert_eq!(report.count(Severity::Error), 0);
    assert_eq!(report.count(Severity::Warning), 1);
}

/// Guards against a key in a report, also for keys that are invalid, moved, added or removed.
#[test]
fn reports_contain_no_key() {
    let mut next = successor();
    let long = format!("secret-{}", "x".repeat(300));
    next.accounts[0].keys = vec![chestnutvalve_model::account::Key::new(&long)];
    next.accounts.push(next.accounts[1].clone());
    next.accounts[2].customer = next.accounts[0].customer.clone();
    for current in [None, Some(&parse(IN_FORCE))] {
        let report = Report::new(&next, current);
        let json = serde_json::to_string(&report).unwrap();
        assert!(report.count(Severity::Error) > 0);
        for text in [render(&report), json, format!("{report:?}")] {
            assert!(!text.contains("secret"), "{text}");
        }
    }
}
