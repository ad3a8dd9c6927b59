//! What operators see of control instances and entries.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::directory::Member;
use chestnutvalve_model::version::Version;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Instance, replicas};
use crate::replica::Status;

/// Time for another control instance to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// One control instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Control {
    /// Name of the instance.
    pub control: String,
    /// Version that it has applied.
    pub version: Version,
    /// Its replicas, by group.
    pub replicas: Vec<Replica>,
}

/// One replica of a control instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Replica {
    /// Group of the replica.
    pub group: String,
    /// What the replica knows.
    pub status: Status,
}

/// One entry of the directory.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// The instance and its addresses.
    pub member: Member,
    /// Version in force, if the leader has heard from the instance.
    pub in_force: Option<Version>,
    /// Time for which that version was in force when the instance told, in milliseconds.
    pub in_force_ms: Option<u64>,
    /// Time since the last heartbeat, in milliseconds.
    pub heartbeat_ms: Option<u64>,
}

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Overview {
    /// Name of the answering instance.
    pub control: String,
    /// Whether the answering instance is out of contact with a quorum.
    pub stale: bool,
    /// Version of the last accepted change.
    pub changed: Version,
    /// Version of the replicated state, including the directory.
    pub version: Version,
    /// The control instances that answered.
    pub controls: Vec<Control>,
    /// Names of those that did not.
    pub unreachable: Vec<String>,
    /// Whether the heartbeats of the entries are known, that is, whether the leader answered.
    pub heartbeats: bool,
    /// The entries of the directory.
    pub entries: Vec<Entry>,
}

/// Returns the status of this instance.
#[must_use]
pub fn local_status(instance: &Instance) -> Control {
    let config = instance.config().ok().map(|handle| Replica {
        group: replicas::CONFIG.to_owned(),
        status: handle.status(),
    });
    let ledgers = instance.ledgers.iter().enumerate();
    let ledgers = ledgers.filter_map(|(number, group)| {
        Some(Replica {
            group: replicas::ledger_name(number),
            status: group.handle().ok()?.status(),
        })
    });
    Control {
        control: instance.settings.control.to_string(),
        version: instance.store().state().version,
        replicas: config.into_iter().chain(ledgers).collect(),
    }
}

/// Returns the directory with the heartbeats that this instance knows.
#[must_use]
pub fn entry_status(instance: &Instance) -> Vec<Entry> {
    let store = instance.store();
    let heartbeats = instance.heartbeats();
    let now = Instant::now().into_std();
    let entry = |member: &Member| {
        let last = heartbeats.last_heartbeat(&member.entry);
        let last = last.filter(|l| l.heartbeat.member.incarnation == member.incarnation);
        Entry {
            member: member.clone(),
            in_force: last.map(|l| l.heartbeat.in_force),
            in_force_ms: last.map(|l| l.heartbeat.in_force_ms),
            heartbeat_ms: last.map(|l| to_millis(now - l.received_at)),
        }
    };
    store
        .state()
        .directory
        .members
        .values()
        .map(entry)
        .collect()
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Asks all control instances and returns the overview.
pub async fn collect_overview(instance: &Arc<Instance>) -> Overview {
    let local = local_status(instance);
    let mut asked = JoinSet::new();
    for (name, address) in instance.control_addresses() {
        if name != local.control {
            let instance = Arc::clone(instance);
            asked.spawn(async move {
                let call = instance
                    .peers
                    .call(address, "control/status", &(), CALL_TIMEOUT);
                call.await.map_err(|_| name)
            });
        }
    }
    let (entries, heartbeats) = if instance.leading_term().is_some() {
        (entry_status(instance), true)
    } else {
        let asked = instance
            .call_leader("leader/entries", &(), CALL_TIMEOUT)
            .await;
        asked.map_or_else(
            |_| (entry_status(instance), false),
            |entries| (entries, true),
        )
    };
    let mut controls = vec![local];
    let mut unreachable = Vec::new();
    for answer in asked.join_all().await {
        match answer {
            Ok(control) => controls.push(control),
            Err(name) => unreachable.push(name),
        }
    }
    controls.sort_by(|a: &Control, b: &Control| a.control.cmp(&b.control));
    unreachable.sort();
    let store = instance.store();
    Overview {
        control: instance.settings.control.to_string(),
        stale: instance.is_stale(),
        changed: store.config_version(),
        version: store.state().version,
        controls,
        unreachable,
        heartbeats,
        entries,
    }
}
