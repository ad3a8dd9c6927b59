//! Status of control instances and entries for operators.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::directory::Member;
use chestnutvalve_model::version::Version;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Instance, replicas};
use crate::replica::Status;

/// Timeout of a call to another control instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Status of a control instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Control {
    /// Name of the instance.
    pub control: String,
    /// Version that the instance has applied.
    pub version: Version,
    /// Replicas of the instance, one for each group.
    pub replicas: Vec<Replica>,
}

/// Status of one replica of a control instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Replica {
    /// Group of the replica.
    pub group: String,
    /// Status as the replica reports it.
    pub status: Status,
}

/// Status of an entry in the directory.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Identity and addresses of the entry.
    pub member: Member,
    /// Version in force, if the leader has a heartbeat of the entry.
    pub in_force: Option<Version>,
    /// Time for which that version had been in force when the entry reported it, in milliseconds.
    pub in_force_ms: Option<u64>,
    /// Time since the last heartbeat of the entry, in milliseconds.
    pub heartbeat_ms: Option<u64>,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Overview {
    /// Name of the responding instance.
    pub control: String,
    /// Whether the responding instance has no contact with a quorum.
    pub stale: bool,
    /// Version of the last accepted configuration change.
    pub changed: Version,
    /// Version of the replicated state, including the directory.
    pub version: Version,
    /// Control instances that responded, including the responding one.
    pub controls: Vec<Control>,
    /// Names of the control instances that did not respond.
    pub unreachable: Vec<String>,
    /// Whether the heartbeats of the entries are known, that is, whether the leader responded.
    pub heartbeats: bool,
    /// Entries in the directory.
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

/// Returns the entries of the directory with the heartbeats that this instance has received.
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

/// Collects the status of all control instances and entries.
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
