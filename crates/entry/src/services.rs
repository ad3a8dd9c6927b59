//! Table of the services for which this instance routes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Service, Zone};

use crate::service::ServiceState;

/// Most services for which one instance keeps state.
const MAX_SERVICES: usize = 8_192;
/// Time after which a service without workers and requests is forgotten.
const UNUSED_TIMEOUT: Duration = Duration::from_mins(1);

/// Services by name.
#[derive(Debug)]
pub struct Services {
    zone: Zone,
    map: Mutex<HashMap<Service, Arc<ServiceState>>>,
}

impl Services {
    /// Creates an empty table for an entry in `zone`.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            map: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Service, Arc<ServiceState>>> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a service that is in use.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<Arc<ServiceState>> {
        self.lock().get(service).cloned()
    }

    /// Returns a service, or `None` when there are too many.
    pub fn get_or_create(&self, service: &Service) -> Option<Arc<ServiceState>> {
        let mut map = self.lock();
        if let Some(service_state) = map.get(service) {
            return Some(Arc::clone(service_state));
        }
        if map.len() >= MAX_SERVICES {
            return None;
        }
        let service_state = Arc::new(ServiceState::new(service.clone(), self.zone.clone()));
        map.insert(service.clone(), Arc::clone(&service_state));
        Some(service_state)
    }

    /// Returns the names of all services in use.
    #[must_use]
    pub fn names(&self) -> Vec<Service> {
        self.lock().keys().cloned().collect()
    }

    /// Returns all services in use.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<ServiceState>> {
        self.lock().values().cloned().collect()
    }

    /// Forgets services without workers that nobody has asked for lately.
    pub fn remove_unused(&self, now: Instant) {
        self.lock().retain(|_, service_state| {
            let unused = now.saturating_duration_since(service_state.last_used());
            !service_state.has_no_workers() || unused < UNUSED_TIMEOUT
        });
    }
}
