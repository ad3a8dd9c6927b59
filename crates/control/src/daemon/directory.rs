//! Service that receives the heartbeats of entries and updates the replicated directory.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_model::control::{Heartbeat, Registered};
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::id::{Entry, Incarnation};
use chestnutvalve_model::version::Version;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::batcher::Limits;
use super::{Instance, background_service};
use crate::state::Command;

/// Service name in the registry.
pub const NAME: &str = "directory";
/// Interval between two checks of the heartbeats.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Heartbeats are forwarded in batches, so that the leader receives only a few calls a second from each instance.
/// Entries abandon a heartbeat after 700 ms; the delay and [`LEADER_TIMEOUT`] together stay below that.
const BATCH_LIMITS: Limits = Limits {
    max_delay: Duration::from_millis(50),
    max_calls: 1_024,
    max_weight: usize::MAX,
    max_age: LEADER_TIMEOUT,
};
/// Timeout of a call to the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    background_service(NAME, instance, |instance, shutdown| async move {
        Ok(async move {
            let forward_batch = |batch| {
                let instance = Arc::clone(&instance);
                async move { forward_batch(&instance, batch).await }
            };
            tokio::select! {
                () = maintain_directory(&instance) => {}
                () = instance.heartbeat_batcher.run(BATCH_LIMITS, |_| 1, forward_batch) => {}
                () = shutdown.requested() => {}
            }
        })
    })
}

/// Proposes the directory updates that follow from the heartbeats, one proposal at a time.
async fn maintain_directory(instance: &Arc<Instance>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut proposal: Option<tokio::task::JoinHandle<()>> = None;
    loop {
        ticks.tick().await;
        let now = Instant::now().into_std();
        // The heartbeats are checked even while a proposal is in progress, because a gap would count as a pause.
        let leading_term = instance.leading_term();
        instance.heartbeats().observe_leadership(now, leading_term);
        instance.grants().observe_leadership(now, leading_term);
        if proposal.as_ref().is_some_and(|p| !p.is_finished()) {
            continue;
        }
        let steps = {
            let store = instance.store();
            let (state, mut heartbeats) = (store.state(), instance.heartbeats());
            let mut steps = heartbeats.directory_steps(now, &state.directory);
            steps.extend(heartbeats.owner_steps(now, &state.owners));
            steps
        };
        proposal = (!steps.is_empty()).then(|| {
            let instance = Arc::clone(instance);
            tokio::spawn(async move { propose_steps(&instance, Command::Directory(steps)).await })
        });
    }
}

async fn propose_steps(instance: &Instance, command: Command) {
    let Command::Directory(steps) = &command else {
        return;
    };
    let count = steps.len();
    match instance.propose::<Version>(&command).await {
        Ok(version) => spdlog::info!("directory updated: {count} steps, now at version {version}"),
        Err(fault) => spdlog::warn!("directory update was not confirmed: {count} steps: {fault}"),
    }
}

/// Records a batch of heartbeats at the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when this instance does not lead.
pub fn receive_heartbeats(
    instance: &Instance,
    batch: Vec<Heartbeat>,
) -> Result<Vec<Registered>, Fault> {
    let term = leading_term(instance)?;
    instance.meters.count_heartbeats(batch.len());
    let store = instance.store();
    let mut heartbeats = instance.heartbeats();
    let now = Instant::now().into_std();
    // A heartbeat that arrives before the first check of the term would be discarded by that check.
    heartbeats.observe_leadership(now, Some(term));
    let beat = |heartbeat| heartbeats.record_heartbeat(now, &store.state().directory, heartbeat);
    Ok(batch.into_iter().map(beat).collect())
}

async fn forward_batch(
    instance: &Instance,
    batch: Vec<Heartbeat>,
) -> Result<Vec<Registered>, Fault> {
    if instance.leading_term().is_some() {
        return receive_heartbeats(instance, batch);
    }
    let answers = instance.call_leader("leader/heartbeats", &batch, LEADER_TIMEOUT);
    answers.await
}

/// Accepts a heartbeat at any instance, which forwards it to the leader in a batch.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when no leader can be reached.
pub async fn submit_heartbeat(
    instance: &Instance,
    heartbeat: Heartbeat,
) -> Result<Registered, Fault> {
    instance.heartbeat_batcher.call(heartbeat).await
}

/// Accepts the departure of an entry at any instance, which forwards it to the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when no leader can be reached; the entry then expires.
pub async fn submit_leave(instance: &Instance, left: (Entry, Incarnation)) -> Result<(), Fault> {
    if instance.leading_term().is_none() {
        let call = instance.call_leader("leader/leave", &left, LEADER_TIMEOUT);
        return call.await;
    }
    receive_leave(instance, &left)
}

/// Records the departure of an entry at the leader.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when this instance does not lead.
pub fn receive_leave(instance: &Instance, left: &(Entry, Incarnation)) -> Result<(), Fault> {
    let term = leading_term(instance)?;
    let now = Instant::now().into_std();
    let mut heartbeats = instance.heartbeats();
    heartbeats.observe_leadership(now, Some(term));
    heartbeats.record_leave(now, &left.0, left.1);
    Ok(())
}

/// Returns the term in which this instance leads.
///
/// # Errors
///
/// Returns [`Kind::NoQuorum`] when it does not.
pub fn leading_term(instance: &Instance) -> Result<u64, Fault> {
    let not_leader = || Fault::new(Kind::NoQuorum, "this instance does not lead with a quorum");
    instance.leading_term().ok_or_else(not_leader)
}
