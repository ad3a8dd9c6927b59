//! Service that runs this instance's replicas.

use std::sync::Arc;

use chestnutvalve_kernel::Service;
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_storage::{Directory, Disk};

use super::{Instance, task};
use crate::replica::options::Peer;
use crate::replica::{self, Handle, Options};

/// Name of the service.
pub const NAME: &str = "replicas";
/// Name of the group that holds configuration and directory.
pub const CONFIG: &str = "config";

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    task(NAME, instance, |instance, shutdown| async move {
        let config = start(&instance).map_err(Failure)?;
        instance.set_config(config.clone());
        Ok(async move {
            shutdown.requested().await;
            config.stop().await;
        })
    })
}

fn start(instance: &Instance) -> Result<Handle, String> {
    let settings = &instance.settings;
    let mut disk = Disk::default();
    let directory = Directory::open(&settings.data, &mut disk).map_err(|e| e.to_string())?;
    let own = settings
        .members
        .iter()
        .find(|m| m.control == settings.control);
    let address = own.map_or(settings.peers, |m| m.peers);
    let members = settings.members.iter().map(|m| Peer {
        name: m.control.to_string(),
        address: m.peers,
    });
    let options =
        Options::new(CONFIG, settings.control.as_str(), address).with_members(members.collect());
    let machine = instance.machine();
    let started = replica::start(
        &instance.network,
        &Arc::new(directory),
        disk,
        options,
        machine,
    );
    started.map_err(|e| e.to_string())
}
