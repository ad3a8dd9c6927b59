//! Service that runs this instance's replicas.

use std::sync::Arc;

use chestnutvalve_kernel::Service;

use super::{Instance, task};
use crate::replica;

/// Name of the service.
pub const NAME: &str = "replicas";

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    task(NAME, instance, |instance, shutdown| async move {
        instance.set_config(replica::start(instance.machine()));
        Ok(async move { shutdown.requested().await })
    })
}
