//! Status report of the instance for operators.

use std::time::Duration;

use chestnutvalve_membership::worker::Record;
use serde_json::{Value, json};

use crate::clock;
use crate::instance::Instance;
use crate::service::ServiceState;

/// Returns the state in force, the owned services with their workers, and the members of the directory, as JSON.
#[must_use]
pub fn report(instance: &Instance) -> Value {
    let now = clock::now();
    let in_force = now.saturating_duration_since(instance.control_state.in_force_since());
    let (mut services, mut workers) = (Vec::new(), Vec::new());
    for service_state in instance.services.all() {
        let owners = instance.owners(&service_state.name);
        let owners: Vec<&str> = owners.iter().map(|o| o.entry.as_str()).collect();
        if owners.contains(&instance.settings.entry.as_str()) {
            services.push(json!({ "service": service_state.name, "owners": owners }));
            workers.extend(worker_reports(instance, &service_state));
        }
    }
    let members = instance.control_state.current();
    let members = members.directory.members.values();
    let entries: Vec<Value> = members
        .map(|m| json!({"entry": m.entry, "zone": m.zone, "draining": m.draining}))
        .collect();
    json!({
        "entry": instance.settings.entry,
        "incarnation": instance.incarnation.0,
        "zone": instance.settings.zone,
        "version": instance.control_state.version(),
        "in_force_ms": millis(in_force),
        "draining": instance.is_draining(),
        "services": services,
        "workers": workers,
        "entries": entries,
    })
}

fn worker_reports(instance: &Instance, service_state: &ServiceState) -> Vec<Value> {
    let now = clock::now();
    let service = &service_state.name;
    let ejected = service_state.with_detector(|detector, _| detector.granted_workers(now));
    let registry = instance.registry();
    let describe = |r: &Record| {
        let fresh = registry.has_proof(now, service, &r.worker);
        let state = match (r.leaving, ejected.contains(&r.worker), fresh) {
            (true, _, _) => "leaving",
            (false, true, _) => "ejected",
            (false, false, true) => "usable",
            (false, false, false) => "unproven",
        };
        json!({
            "service": service,
            "worker": r.worker,
            "incarnation": r.incarnation.0,
            "address": r.address.to_string(),
            "zone": r.zone,
            "state": state,
            "proof_age_ms": r.proof.map(|p| millis(now.saturating_duration_since(p))),
            "load": r.load,
        })
    };
    let records = registry.workers(service);
    records.into_iter().map(describe).collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
