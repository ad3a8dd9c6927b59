//! Report on the instance for operators.

use chestnutvalve_model::id::Service;
use serde_json::{Map, Value, json};

use crate::clock;
use crate::instance::Instance;
use crate::serving::Serving;

/// Returns the report.
#[must_use]
pub fn report(instance: &Instance) -> Value {
    let now = clock::now();
    let in_force = now.saturating_duration_since(instance.follow.since());
    let mut services = Map::new();
    for serving in instance.services.all() {
        if instance.owns(&serving.name) {
            services.insert(serving.name.to_string(), service(instance, &serving));
        }
    }
    let members = instance.follow.state();
    let members = members.directory.members.values();
    let entries: Vec<Value> = members
        .map(|m| json!({"entry": m.entry, "zone": m.zone, "draining": m.draining}))
        .collect();
    json!({
        "entry": instance.settings.entry,
        "incarnation": instance.incarnation.0,
        "zone": instance.settings.zone,
        "version": instance.follow.version(),
        "in_force_ms": millis(in_force),
        "draining": instance.is_draining(),
        "services": services,
        "entries": entries,
    })
}

fn service(instance: &Instance, serving: &Serving) -> Value {
    let now = clock::now();
    let owners: Vec<String> = instance
        .owners(&serving.name)
        .iter()
        .map(|o| o.entry.to_string())
        .collect();
    json!({ "owners": owners, "workers": workers(instance, serving, &serving.name, now) })
}

fn workers(
    instance: &Instance,
    serving: &Serving,
    service: &Service,
    now: std::time::Instant,
) -> Vec<Value> {
    let ejected = serving.with_detector(|detector, _| detector.held(now));
    let registry = instance.registry();
    let records = registry.workers(service);
    let describe = |r: &chestnutvalve_membership::worker::Record| {
        let fresh = registry.has_proof(now, service, &r.worker);
        let state = match (r.leaving, fresh) {
            (true, _) => "leaving",
            (false, true) => "serving",
            (false, false) => "no_proof",
        };
        json!({
            "worker": r.worker,
            "incarnation": r.incarnation.0,
            "address": r.address.to_string(),
            "zone": r.zone,
            "state": state,
            "proof_age_ms": r.proof.map(|p| millis(now.saturating_duration_since(p))),
            "ejected": ejected.contains(&r.worker),
            "load": r.load,
        })
    };
    records.into_iter().map(describe).collect()
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
