//! Control daemon: the services that share one [`Instance`].

use std::sync::Arc;

use chestnutvalve_kernel::{Registry, Service, Shutdown, registry, service::Failure, shutdown};

use crate::settings::Settings;

pub mod announce;
pub mod batcher;
pub mod directory;
pub mod grants;
pub mod heartbeats;
pub mod instance;
pub mod internal;
pub mod ledger;
pub mod limit;
pub mod listener;
pub mod locator;
pub mod members;
pub mod meters;
pub mod operators;
pub mod peers;
pub mod replicas;
pub mod status;
pub mod token;
pub mod watch;

pub use instance::Instance;
pub use token::Token;

/// Error that keeps the daemon from starting or running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A field of the settings is invalid.
    #[error(transparent)]
    Settings(#[from] chestnutvalve_model::config::Invalid),
    /// The token file can't be used.
    #[error(transparent)]
    Token(#[from] token::Error),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] chestnutvalve_telemetry::metrics::Error),
    /// A service failed to start or stop.
    #[error(transparent)]
    Registry(#[from] registry::Error),
    /// A replica stopped by itself, for example because the disk is full.
    #[error("replica: {0}")]
    Replica(chestnutvalve_model::error::Fault),
    /// The signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

/// Runs a control instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the first error, after the running services were stopped.
pub async fn run(settings: Settings) -> Result<(), Error> {
    run_with(settings, |_| Vec::new()).await
}

/// Runs a control instance together with the services that `extra_services` returns.
///
/// # Errors
///
/// As [`run`].
pub async fn run_with(
    settings: Settings,
    extra_services: impl FnOnce(&Arc<Instance>) -> Vec<Service>,
) -> Result<(), Error> {
    let mut registry = Registry::default();
    let instance = register(&mut registry, settings)?;
    for service in extra_services(&instance) {
        registry.register(service)?;
    }
    registry.start().await?;
    spdlog::info!("control instance serves");
    let end = tokio::select! {
        signal = shutdown::signal_received() => signal.map_err(Error::Signals),
        fault = instance.wait_for_failure() => Err(Error::Replica(fault)),
    };
    spdlog::info!("control instance stops");
    registry.stop().await?;
    end
}

/// Registers the services of a control instance, in the order in which they must start.
///
/// # Errors
///
/// Returns an error for invalid settings, an unusable token file or a service name that is already registered.
pub fn register(registry: &mut Registry, settings: Settings) -> Result<Arc<Instance>, Error> {
    settings.check()?;
    let token = Token::from_settings(settings.token_file.as_deref())?;
    let instance = Arc::new(Instance::new(settings, token)?);
    instance.meters.register_gauges(&instance);
    // Services stop in reverse order: the replicas before the internal protocol, which a leadership transfer needs.
    registry.register(internal::service(&instance))?;
    registry.register(ledger::service(&instance))?;
    registry.register(replicas::service(&instance))?;
    registry.register(announce::service(&instance))?;
    registry.register(operators::service(&instance))?;
    registry.register(directory::service(&instance))?;
    Ok(instance)
}

/// Builds a service with a background task that runs until the shutdown is requested.
///
/// `prepare` returns the task once the service is usable, for example when its address is bound.
fn background_service<F, Fut, Run>(
    name: &'static str,
    instance: &Arc<Instance>,
    prepare: F,
) -> Service
where
    F: FnOnce(Arc<Instance>, Shutdown) -> Fut + Send + 'static,
    Fut: Future<Output = Result<Run, Failure>> + Send + 'static,
    Run: Future<Output = ()> + Send + 'static,
{
    let shutdown = Shutdown::default();
    let running = Arc::new(tokio::sync::Mutex::new(None));
    let start = {
        let (instance, shutdown) = (Arc::clone(instance), shutdown.clone());
        let running = Arc::clone(&running);
        move || async move {
            let run = prepare(instance, shutdown).await?;
            *running.lock().await = Some(tokio::spawn(run));
            Ok(())
        }
    };
    let stop = move || async move {
        shutdown.request();
        let task = running.lock().await.take();
        match task {
            Some(task) => task.await.map_err(|e| Failure(e.to_string())),
            None => Ok(()),
        }
    };
    Service::new(name, Arc::clone(instance))
        .on_start(start)
        .on_stop(stop)
}
