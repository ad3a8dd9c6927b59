//! Metrics of a control instance.

use std::sync::{Arc, Weak};

use chestnutvalve_telemetry::metrics::{Error, Metrics};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use super::{Instance, status};
use crate::replica::Role;

/// Counters, and gauges that are read when the metrics are rendered.
#[derive(Debug)]
pub struct Meters {
    metrics: Metrics,
    changes: Counter<u64>,
    watches: Counter<u64>,
    heartbeats: Counter<u64>,
    grants: Counter<u64>,
    claims: Counter<u64>,
}

impl Meters {
    /// Creates the counters.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics exporter can't be set up.
    pub fn new() -> Result<Self, Error> {
        let metrics = Metrics::new()?;
        let meter = metrics.meter();
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Ok(Self {
            changes: counter("control_changes", "Changes by operators, by outcome"),
            watches: counter("control_watch_answers", "Answers to watches, by content"),
            heartbeats: counter("control_heartbeats", "Heartbeats of entries received"),
            grants: counter("control_grants", "Questions for ejections, by outcome"),
            claims: counter("control_claims", "Once-only claims, by answer"),
            metrics,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be encoded.
    pub fn render(&self) -> Result<String, Error> {
        self.metrics.render()
    }

    /// Counts a configuration change by outcome.
    pub fn count_change(&self, outcome: &'static str) {
        self.changes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an answer to a watch by content and staleness.
    pub fn count_watch(&self, content: &'static str, stale: bool) {
        let stale = KeyValue::new("stale", stale);
        let content = KeyValue::new("content", content);
        self.watches.add(1, &[content, stale]);
    }

    /// Counts received heartbeats of entries.
    pub fn count_heartbeats(&self, count: usize) {
        self.heartbeats.add(count as u64, &[]);
    }

    /// Counts a grant request for ejections by outcome.
    pub fn count_grant(&self, outcome: &'static str) {
        self.grants.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a ledger claim by answer.
    pub fn count_claim(&self, answer: &'static str) {
        self.claims.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Registers the gauges, which are read from the instance when the metrics are rendered.
    pub fn register_gauges(&self, instance: &Arc<Instance>) {
        let meter = self.metrics.meter();
        register_replica_gauge(&meter, instance, "control_replica_leads", |s| {
            u64::from(s.role == Role::Leader)
        });
        register_replica_gauge(&meter, instance, "control_replica_quorum", |s| {
            u64::from(s.quorum)
        });
        register_replica_gauge(&meter, instance, "control_replica_term", |s| s.term);
        register_replica_gauge(&meter, instance, "control_replica_commit", |s| s.commit);
        register_replica_gauge(&meter, instance, "control_replica_applied", |s| s.applied);
        register_gauge(&meter, instance, "control_revision", |i| {
            i.store().state().version.revision
        });
        register_gauge(&meter, instance, "control_entries", |i| {
            i.store().state().directory.members.len() as u64
        });
        register_gauge(&meter, instance, "control_exceptions", |i| {
            i.store().state().document.exceptions.len() as u64
        });
        register_gauge(&meter, instance, "control_claims_kept", |i| {
            i.ledgers.iter().map(|g| g.stats().0 as u64).sum()
        });
    }
}

fn register_gauge(
    meter: &Meter,
    instance: &Arc<Instance>,
    name: &'static str,
    read: impl Fn(&Instance) -> u64 + Send + Sync + 'static,
) {
    let instance = Arc::downgrade(instance);
    let observed = meter.u64_observable_gauge(name).with_callback(move |into| {
        if let Some(instance) = Weak::upgrade(&instance) {
            into.observe(read(&instance), &[]);
        }
    });
    // The meter keeps the instrument alive.
    let _ = observed.build();
}

fn register_replica_gauge(
    meter: &Meter,
    instance: &Arc<Instance>,
    name: &'static str,
    read: impl Fn(&crate::replica::Status) -> u64 + Send + Sync + 'static,
) {
    let instance = Arc::downgrade(instance);
    let observed = meter.u64_observable_gauge(name).with_callback(move |into| {
        let Some(instance) = Weak::upgrade(&instance) else {
            return;
        };
        for replica in status::local_status(&instance).replicas {
            let group = KeyValue::new("group", replica.group);
            into.observe(read(&replica.status), &[group]);
        }
    });
    let _ = observed.build();
}
