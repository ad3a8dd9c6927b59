//! Number of owners that a service needs for its load, decided at the leader of the config group.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Service;

/// Requests a second that one owner is to carry: 690,000 requests/s over 3,200 entries are 216 for each.
pub const OWNER_REQUESTS_PER_S: u32 = 200;
/// Most owners that load alone gives to a service. With 8 connections from each owner, a worker with 400 connections
/// has room for 50.
pub const MAX_OWNERS: u8 = 48;
/// Smallest number that is recorded; the configured minimum is 2.
const MIN_RECORDED: u8 = 3;
/// Time for which the load must stay low before owners are taken away, so that a pause in the load moves nothing.
const LOW_TIME: Duration = Duration::from_mins(1);

/// Observed load of the services with a recorded number of owners.
#[derive(Clone, Debug, Default)]
pub struct OwnerScaler {
    low_since: HashMap<Service, Instant>,
}

impl OwnerScaler {
    /// Returns the services whose recorded number of owners is to change, with the new number; 0 removes the record.
    ///
    /// A number grows at once, with a quarter to spare, and shrinks after the load was below half of it for a minute.
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
            let present = recorded.get(service).copied().unwrap_or_default();
            if needed(rate) > present {
                changes.push((service.clone(), with_reserve(rate)));
            }
        }
        for (service, &present) in recorded {
            let rate = rates.get(service).copied().unwrap_or_default();
            if needed(rate) > present / 2 {
                self.low_since.remove(service);
                continue;
            }
            let since = *self.low_since.entry(service.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= LOW_TIME {
                changes.push((service.clone(), with_reserve(rate)));
            }
        }
        changes
    }
}

/// Returns the number of owners for a rate, 0 for one that the configured minimum carries.
fn needed(rate: u32) -> u8 {
    let owners = u8::try_from(rate.div_ceil(OWNER_REQUESTS_PER_S)).unwrap_or(MAX_OWNERS);
    if owners < MIN_RECORDED {
        0
    } else {
        owners.min(MAX_OWNERS)
    }
}

fn with_reserve(rate: u32) -> u8 {
    let owners = needed(rate);
    (owners + owners / 4).min(MAX_OWNERS)
}
