//! Service that runs the replicas of this instance.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_storage::Directory;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{Instance, background_service};
use crate::replica::options::Peer;
use crate::replica::{self, Handle, Options, StateMachine};

/// Service name in the registry.
pub const NAME: &str = "replicas";
/// Name of the group that replicates the configuration and the directory.
pub const CONFIG: &str = "config";

/// Delay after a failed attempt to join the groups again, for example because the disk is full.
const REJOIN_DELAY: Duration = Duration::from_millis(500);

/// Returns the name of the ledger group with the given number, counted from 0.
#[must_use]
pub fn ledger_name(number: usize) -> String {
    format!("ledger-{number}")
}

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    background_service(NAME, instance, |instance, shutdown| async move {
        let mut handles = start(&instance).map_err(Failure)?;
        Ok(async move {
            loop {
                let fault = tokio::select! {
                    () = shutdown.requested() => break,
                    fault = first_failure(&handles) => fault,
                };
                if fault.kind != Kind::MemberRemoved {
                    instance.report_failure(fault);
                    shutdown.requested().await;
                    break;
                }
                spdlog::warn!("removed from the group; joining it again", kv: {fault:});
                tokio::select! {
                    () = shutdown.requested() => break,
                    joining = rejoin(&instance, &handles) => handles = joining,
                }
            }
            stop(&handles).await;
        })
    })
}

/// Stops the replicas, whose identity was removed, and starts empty ones that join the groups under a new identity. Tries
/// again while the data directory can't be used; the instance counts as stale meanwhile.
async fn rejoin(instance: &Arc<Instance>, removed: &[Handle]) -> Vec<Handle> {
    stop(removed).await;
    loop {
        instance.clear_store();
        for group in &instance.ledgers {
            group.clear_state();
        }
        // The process goes on serving while the disk is slow.
        let starting = Arc::clone(instance);
        let started = tokio::task::spawn_blocking(move || start(&starting)).await;
        let cause = match started {
            Ok(Ok(handles)) => return handles,
            Ok(Err(cause)) => cause,
            Err(error) => error.to_string(),
        };
        spdlog::error!("joining the group again failed", kv: {cause});
        let ledgers = instance.ledgers.iter().filter_map(|g| g.handle().ok());
        let started: Vec<Handle> = instance.config().into_iter().chain(ledgers).collect();
        stop(&started).await;
        sleep(REJOIN_DELAY).await;
    }
}

async fn stop(handles: &[Handle]) {
    let stops = handles.iter().cloned();
    let stops = stops.map(|handle| async move { handle.stop().await });
    stops.collect::<JoinSet<()>>().join_all().await;
}

fn start(instance: &Instance) -> Result<Vec<Handle>, String> {
    let directory = Directory::open(&instance.settings.data, &mut instance.disk());
    let directory = Arc::new(directory.map_err(|e| e.to_string())?);
    let launch = |group: &str, machine: StateMachine| {
        let options = options(instance, group);
        let disk = instance.disk();
        let started = replica::start(&instance.network, &directory, disk, options, machine);
        started.map_err(|e| format!("group {group}: {e}"))
    };
    let config = launch(CONFIG, instance.state_machine())?;
    instance.set_config(config.clone());
    let mut handles = vec![config];
    for (number, group) in instance.ledgers.iter().enumerate() {
        let handle = launch(&ledger_name(number), group.state_machine())?;
        group.set_handle(handle.clone());
        handles.push(handle);
    }
    Ok(handles)
}

fn options(instance: &Instance, group: &str) -> Options {
    let settings = &instance.settings;
    let own = settings.members.iter();
    let own = own.clone().find(|m| m.control == settings.control);
    let address = own.map_or(settings.peers, |m| m.peers);
    let members = settings.members.iter().map(|m| Peer {
        name: m.control.to_string(),
        address: m.peers,
    });
    Options::new(group, settings.control.as_str(), address)
        .with_members(members.collect())
        .with_rendezvous(instance.rendezvous.clone())
        .with_voter(settings.voter)
        .with_settings(chestnutvalve_consensus::Settings {
            target_voters: settings.voters,
            standby_promotion_timeout: Duration::from_millis(settings.succession_ms),
            ..chestnutvalve_consensus::Settings::default()
        })
}

/// Waits until a replica stops by itself and returns the reason.
async fn first_failure(handles: &[Handle]) -> Fault {
    let mut stopped = handles
        .iter()
        .cloned()
        .map(|handle| async move { handle.stopped().await })
        .collect::<JoinSet<_>>();
    while let Some(stopped) = stopped.join_next().await {
        if let Ok(Err(fault)) = stopped {
            return fault;
        }
    }
    std::future::pending().await
}
