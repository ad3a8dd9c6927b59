//! The table of a process's services.

use std::any::Any;
use std::sync::Arc;

use crate::service::{Failure, Service};

/// Error of a registry operation.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Two services have one name.
    #[error("service {0:?} is registered twice")]
    Duplicate(&'static str),
    /// No service has that name.
    #[error("service {0:?} is not registered")]
    Missing(String),
    /// The service's handle has another type.
    #[error("service {0:?} has a handle of another type")]
    Type(String),
    /// A service failed to start.
    #[error("starting service {name:?}: {cause}")]
    Start {
        /// Name of the service.
        name: &'static str,
        /// What went wrong.
        cause: Failure,
    },
    /// A service failed to stop.
    #[error("stopping service {name:?}: {cause}")]
    Stop {
        /// Name of the service.
        name: &'static str,
        /// What went wrong.
        cause: Failure,
    },
}

/// Services by name, in the order of registration.
#[derive(Debug, Default)]
pub struct Registry {
    services: Vec<Service>,
    started: usize,
}

impl Registry {
    /// Adds a service.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Duplicate`] when the name is taken.
    pub fn register(&mut self, service: Service) -> Result<(), Error> {
        if self.services.iter().any(|s| s.name == service.name) {
            return Err(Error::Duplicate(service.name));
        }
        self.services.push(service);
        Ok(())
    }

    /// Returns the handle of the service `name`.
    ///
    /// # Errors
    ///
    /// Returns an error when the service is missing or its handle is not an `H`.
    pub fn find<H: Any + Send + Sync>(&self, name: &str) -> Result<Arc<H>, Error> {
        let service = self.services.iter().find(|s| s.name == name);
        let service = service.ok_or_else(|| Error::Missing(name.to_owned()))?;
        let handle = Arc::clone(&service.handle);
        handle.downcast().map_err(|_| Error::Type(name.to_owned()))
    }

    /// Starts all services in the order of registration; when one fails, stops the started ones.
    ///
    /// # Errors
    ///
    /// Returns the first failure to start.
    pub async fn start(&mut self) -> Result<(), Error> {
        while self.started < self.services.len() {
            let service = &mut self.services[self.started];
            let name = service.name;
            if let Some(start) = service.start.take()
                && let Err(cause) = start().await
            {
                if let Err(error) = self.stop().await {
                    spdlog::error!("after a failed start: {error}");
                }
                return Err(Error::Start { name, cause });
            }
            spdlog::debug!("service {name} started");
            self.started += 1;
        }
        Ok(())
    }

    /// Stops the started services in reverse order; each finishes its work before the next stops.
    ///
    /// # Errors
    ///
    /// Returns the first failure, after all services were asked to stop.
    pub async fn stop(&mut self) -> Result<(), Error> {
        let mut first = Ok(());
        while self.started > 0 {
            self.started -= 1;
            let service = &mut self.services[self.started];
            let name = service.name;
            if let Some(stop) = service.stop.take()
                && let Err(cause) = stop().await
                && first.is_ok()
            {
                first = Err(Error::Stop { name, cause });
            }
            spdlog::debug!("service {name} stopped");
        }
        first
    }
}
