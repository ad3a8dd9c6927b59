//! Table of the services for which this instance keeps routing state.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Service, Zone};

use crate::service::ServiceState;

/// Maximum number of services for which one instance keeps state.
const MAX_SERVICES: usize = 8_192;
/// Time after which a service without workers and requests is removed.
const UNUSED_TIMEOUT: Duration = Duration::from_mins(1);

/// Routing state of services, by name.
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

    /// Returns the state of a service, if there is one.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<Arc<ServiceState>> {
        self.lock().get(service).cloned()
    }

    /// Returns the state of a service and creates it if necessary, or returns `None` at the limit of services.
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

    /// Returns the names of all services with state.
    #[must_use]
    pub fn names(&self) -> Vec<Service> {
        self.lock().keys().cloned().collect()
    }

    /// Returns the state of all services.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<ServiceState>> {
        self.lock().values().cloned().collect()
    }

    /// Removes the services without workers that got no request for a minute.
    pub fn remove_unused(&self, now: Instant) {
        self.lock().retain(|_, service_state| {
            let unused = now.saturating_duration_since(service_state.last_used());
            !service_state.has_no_workers() || unused < UNUSED_TIMEOUT
        });
    }
}
