//! Registry of the services of a process.

use std::any::Any;
use std::sync::Arc;

use crate::service::{Failure, Service};

/// Error of a registry operation.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A service with the same name is already registered.
    #[error("service {0:?} is registered twice")]
    Duplicate(&'static str),
    /// No service with this name is registered.
    #[error("service {0:?} is not registered")]
    Missing(String),
    /// The handle of the service is not of the requested type.
    #[error("service {0:?} has a handle of another type")]
    Type(String),
    /// A service failed to start.
    #[error("starting service {name:?}: {cause}")]
    Start {
        /// Name of the service.
        name: &'static str,
        /// Error that the service returned.
        cause: Failure,
    },
    /// A service failed to stop.
    #[error("stopping service {name:?}: {cause}")]
    Stop {
        /// Name of the service.
        name: &'static str,
        /// Error that the service returned.
        cause: Failure,
    },
}

/// Services in the order of registration.
#[derive(Debug, Default)]
pub struct Registry {
    services: Vec<Service>,
    /// Number of started services, counted from the first one.
    started: usize,
}

impl Registry {
    /// Registers a service.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Duplicate`] when a service with the same name exists.
    pub fn register(&mut self, service: Service) -> Result<(), Error> {
        if self.services.iter().any(|s| s.name == service.name) {
            return Err(Error::Duplicate(service.name));
        }
        self.services.push(service);
        Ok(())
    }

    /// Looks up the handle of the service `name`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] when there is no such service and [`Error::Type`] when its handle is not an `H`.
    pub fn find<H: Any + Send + Sync>(&self, name: &str) -> Result<Arc<H>, Error> {
        let service = self.services.iter().find(|s| s.name == name);
        let service = service.ok_or_else(|| Error::Missing(name.to_owned()))?;
        let handle = Arc::clone(&service.handle);
        handle.downcast().map_err(|_| Error::Type(name.to_owned()))
    }

    /// Starts all services in the order of registration. When one fails, the services started before it are stopped.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] for the service that failed.
    pub async fn start(&mut self) -> Result<(), Error> {
        while self.started < self.services.len() {
            let service = &mut self.services[self.started];
            let name = service.name;
            if let Some(start) = service.start.take()
                && let Err(cause) = start().await
            {
                if let Err(error) = self.stop().await {
                    spdlog::error!("rollback of a failed start: {error}");
                }
                return Err(Error::Start { name, cause });
            }
            spdlog::debug!("service {name} started");
            self.started += 1;
        }
        Ok(())
    }

    /// Stops the started services in reverse order. Each one finishes its work before the next one is stopped.
    ///
    /// # Errors
    ///
    /// Returns the first [`Error::Stop`], after all services were stopped.
    pub async fn stop(&mut self) -> Result<(), Error> {
        let mut result = Ok(());
        while self.started > 0 {
            self.started -= 1;
            let service = &mut self.services[self.started];
            let name = service.name;
            if let Some(stop) = service.stop.take()
                && let Err(cause) = stop().await
                && result.is_ok()
            {
                result = Err(Error::Stop { name, cause });
            }
            spdlog::debug!("service {name} stopped");
        }
        result
    }
}
