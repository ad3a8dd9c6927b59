//! Service that receives heartbeats and keeps the replicated directory up to date.

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

/// Name of the service.
pub const NAME: &str = "directory";
/// Interval between two looks at the heartbeats.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Heartbeats are passed on together, so that the leader gets a few calls a second from each instance. Entries give up
/// a heartbeat after 700 ms, so that the delay and [`LEADER_TIMEOUT`] stay below that.
const BATCH_LIMITS: Limits = Limits {
    max_delay: Duration::from_millis(50),
    max_calls: 1_024,
    max_weight: usize::MAX,
    max_age: LEADER_TIMEOUT,
};
/// Time for the leader to answer.
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

/// Proposes the steps that the heartbeats call for, one proposal at a time.
async fn maintain_directory(instance: &Arc<Instance>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut proposal: Option<tokio::task::JoinHandle<()>> = None;
    loop {
        ticks.tick().await;
        let now = Instant::now().into_std();
        // The heartbeats are looked at even while a proposal is under way, because a gap counts as a pause.
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
        Ok(version) => spdlog::info!("directory: {count} steps, now at version {version}"),
        Err(fault) => spdlog::warn!("directory: {count} steps not confirmed: {fault}"),
    }
}

/// Takes heartbeats at the leader.
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
    // A heartbeat that arrives before the first tick of the term would be forgotten by that tick.
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

/// Takes a heartbeat at any instance; the leader gets it with others of the same moment.
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

/// Takes the message of an entry that leaves; at another instance than the leader it is passed on.
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

/// Takes the message of an entry that leaves, at the leader.
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
