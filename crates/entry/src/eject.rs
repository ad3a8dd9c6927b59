//! Requests to the control group for permission to eject workers.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::config::Target;
use chestnutvalve_model::control::{Ask, Granted};
use chestnutvalve_wire::Error;
use futures_util::future::join_all;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::clock;
use crate::instance::Instance;
use crate::service::ServiceState;

/// Interval between renewals of grants, which expire after 10 s.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum interval between requests for new suspects, while the control group refuses a grant.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for the response of a control instance.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Renews grants periodically, and requests one at once for a new suspect, until dropped.
pub async fn run(instance: Arc<Instance>) {
    let mut ticks = interval(RENEWAL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let renew = tokio::select! {
            _ = ticks.tick() => true,
            () = instance.grants_due.notified() => false,
        };
        let services = instance.services.all();
        let requests = services.iter().map(|s| request_grant(&instance, s, renew));
        join_all(requests).await;
        if !renew {
            sleep(MIN_REQUEST_INTERVAL).await;
        }
    }
}

async fn request_grant(instance: &Instance, service_state: &ServiceState, renew: bool) {
    let Some(message) = grant_request(instance, service_state, renew) else {
        return;
    };
    // The lifetime starts at the request, so that the grant expires here before it expires at the control group.
    let sent_at = clock::now();
    let granted: Result<Granted, Error> = instance
        .control
        .call("eject/grant", &message, GRANT_TIMEOUT)
        .await;
    match granted {
        Ok(granted) => {
            let until = sent_at + Duration::from_millis(granted.ttl_ms.into());
            let now = clock::now();
            service_state
                .with_detector(|detector, _| detector.set_grants(now, &granted.workers, until));
            let service = &service_state.name;
            for worker in &granted.workers {
                if !message.held.contains(worker) {
                    spdlog::info!("worker {worker} of {service} is ejected");
                }
            }
        }
        Err(error) => spdlog::debug!("ejection grant for {}: {error}", service_state.name),
    }
}

/// Builds the request for grants, or returns `None` when there is nothing to request or renew.
fn grant_request(instance: &Instance, service_state: &ServiceState, renew: bool) -> Option<Ask> {
    let now = clock::now();
    let target = Target {
        service: &service_state.name,
        path: None,
        method: None,
        customer: None,
    };
    let settings = service_state
        .document(&instance.control_state.current())
        .resolve(&target);
    let warm_up = Duration::from_millis(settings.warm_up_ms.into());
    service_state.with_detector(|detector, known| {
        let (eject, held) = (detector.candidates(now), detector.granted_workers(now));
        let new = eject.iter().any(|w| !held.contains(w));
        if !new && !(renew && !(eject.is_empty() && held.is_empty())) {
            return None;
        }
        let warm = |seen| now.saturating_duration_since(seen) >= warm_up;
        let eligible = known
            .iter()
            .filter(|(_, c)| c.usable && warm(c.first_seen))
            .map(|(worker, _)| worker.clone())
            .collect();
        Some(Ask {
            entry: instance.settings.entry.clone(),
            service: service_state.name.clone(),
            registered: known.keys().cloned().collect(),
            eligible,
            eject,
            held,
            floor_percent: settings.floor_percent,
        })
    })
}
