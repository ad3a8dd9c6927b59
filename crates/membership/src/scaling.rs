//! Number of owners that a service needs for its load, decided by the leader of the config group.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Service;

/// Request rate for which one owner is planned: 690,000 requests/s over 3,200 entries are 216 for each.
pub const OWNER_REQUESTS_PER_S: u32 = 200;
/// Max owners that the load of a service can call for. With 8 connections from each owner, a worker that accepts
/// 400 connections has room for 50.
pub const MAX_OWNERS: u8 = 48;
/// Min number of owners that is recorded; the configured minimum is 2, so fewer need no record.
const MIN_RECORDED_OWNERS: u8 = 3;
/// Time for which the load must stay low before owners are removed, so that a pause in the load moves no workers.
const SCALE_DOWN_DELAY: Duration = Duration::from_mins(1);

/// Tracks since when the load of each service has been low for its recorded number of owners.
#[derive(Clone, Debug, Default)]
pub struct OwnerScaler {
    low_since: HashMap<Service, Instant>,
}

impl OwnerScaler {
    /// Returns the services whose recorded number of owners must change, with the new number; 0 removes the record.
    ///
    /// The number grows at once, with a reserve of a quarter, and shrinks after the load has called for at most half of
    /// it for a minute.
    pub fn changes(
        &mut self,
        now: Instant,
        rates: &BTreeMap<Service, u32>,
        recorded: &BTreeMap<Service, u8>,
    ) -> Vec<(Service, u8)> {
        self.low_since
            .retain(|service, _| recorded.contains_key(service));
        let mut changes = Vec::new();
        for (service, &rate) in rates {
            let current = recorded.get(service).copied().unwrap_or_default();
            if required_owners(rate) > current {
                changes.push((service.clone(), owners_with_reserve(rate)));
            }
        }
        for (service, &current) in recorded {
            let rate = rates.get(service).copied().unwrap_or_default();
            if required_owners(rate) > current / 2 {
                self.low_since.remove(service);
                continue;
            }
            let since = *self.low_since.entry(service.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= SCALE_DOWN_DELAY {
                changes.push((service.clone(), owners_with_reserve(rate)));
            }
        }
        changes
    }
}

/// Returns the number of owners for a rate in requests per second; 0 if the configured minimum suffices.
fn required_owners(rate: u32) -> u8 {
    let owners = u8::try_from(rate.div_ceil(OWNER_REQUESTS_PER_S)).unwrap_or(MAX_OWNERS);
    if owners < MIN_RECORDED_OWNERS {
        0
    } else {
        owners.min(MAX_OWNERS)
    }
}

fn owners_with_reserve(rate: u32) -> u8 {
    let owners = required_owners(rate);
    (owners + owners / 4).min(MAX_OWNERS)
}
