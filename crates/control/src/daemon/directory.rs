//! Service that receives heartbeats and keeps the replicated directory up to date.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_model::control::{Heartbeat, Registered};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::version::Version;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{Instance, task};
use crate::state::Command;

/// Name of the service.
pub const NAME: &str = "directory";
/// Interval between two looks at the heartbeats.
const TICK: Duration = Duration::from_millis(100);

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    task(NAME, instance, |instance, shutdown| async move {
        Ok(async move {
            tokio::select! {
                () = keep(&instance) => {}
                () = shutdown.requested() => {}
            }
        })
    })
}

async fn keep(instance: &Instance) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let steps = {
            let store = instance.store();
            let mut heartbeats = instance.heartbeats();
            let now = Instant::now().into_std();
            heartbeats.observe(now, instance.leads());
            heartbeats.steps(now, &store.state().directory)
        };
        if steps.is_empty() {
            continue;
        }
        let count = steps.len();
        match instance
            .propose::<Version>(&Command::Directory(steps))
            .await
        {
            Ok(version) => spdlog::info!("directory: {count} steps, now at version {version}"),
            Err(fault) => spdlog::warn!("directory: {count} steps not confirmed: {fault}"),
        }
    }
}

/// Takes heartbeats at the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when this instance does not lead.
pub fn receive(instance: &Instance, batch: Vec<Heartbeat>) -> Result<Vec<Registered>, Fault> {
    if instance.leads().is_none() {
        return Err(Fault::new(Kind::NoQuorum, "this instance does not lead"));
    }
    let store = instance.store();
    let mut heartbeats = instance.heartbeats();
    let now = Instant::now().into_std();
    let beat = |heartbeat| heartbeats.beat(now, &store.state().directory, heartbeat);
    Ok(batch.into_iter().map(beat).collect())
}

/// Takes a heartbeat at any instance and passes it on to the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when no leader can be reached.
pub async fn heartbeat(instance: &Instance, heartbeat: Heartbeat) -> Result<Registered, Fault> {
    let batch = vec![heartbeat];
    let answers = if instance.leads().is_some() {
        receive(instance, batch)?
    } else {
        let limit = Duration::from_secs(1);
        instance
            .call_leader("leader/heartbeats", &batch, limit)
            .await?
    };
    let missing = || Fault::new(Kind::Internal, "the leader gave no answer");
    answers.into_iter().next().ok_or_else(missing)
}
