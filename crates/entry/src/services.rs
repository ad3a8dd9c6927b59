//! Table of the services for which this instance routes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::{Service, Zone};

use crate::serving::Serving;

/// Most services for which one instance keeps state.
const MAX_SERVICES: usize = 8_192;
/// Time after which a service without workers and requests is forgotten.
const UNUSED: Duration = Duration::from_mins(1);

/// Services by name.
#[derive(Debug)]
pub struct Services {
    zone: Zone,
    map: Mutex<HashMap<Service, Arc<Serving>>>,
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

    fn lock(&self) -> MutexGuard<'_, HashMap<Service, Arc<Serving>>> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a service that is in use.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<Arc<Serving>> {
        self.lock().get(service).cloned()
    }

    /// Returns a service, or `None` when there are too many.
    pub fn get_or_create(&self, service: &Service) -> Option<Arc<Serving>> {
        let mut map = self.lock();
        if let Some(serving) = map.get(service) {
            return Some(Arc::clone(serving));
        }
        if map.len() >= MAX_SERVICES {
            return None;
        }
        let serving = Arc::new(Serving::new(service.clone(), self.zone.clone()));
        map.insert(service.clone(), Arc::clone(&serving));
        Some(serving)
    }

    /// Returns the names of all services in use.
    #[must_use]
    pub fn names(&self) -> Vec<Service> {
        self.lock().keys().cloned().collect()
    }

    /// Returns all services in use.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Serving>> {
        self.lock().values().cloned().collect()
    }

    /// Forgets services without workers that nobody has asked for lately.
    pub fn forget_unused(&self, now: Instant) {
        self.lock().retain(|_, serving| {
            let unused = now.saturating_duration_since(serving.used());
            !serving.is_unknown() || unused < UNUSED
        });
    }
}
