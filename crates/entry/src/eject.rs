//! Requests for grants to eject workers.

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

/// Time between two renewals of grants, which last 10 s.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Shortest time between two requests on account of new suspects, while a grant is refused.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a control instance to answer.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks for grants every few seconds, and at once for a new suspect, until dropped.
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
    // The grant counts from the request, so that it ends here before it ends at the control group.
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
        Err(error) => spdlog::debug!("grant for {}: {error}", service_state.name),
    }
}

/// Returns the question, or `None` when there is nothing to ask.
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
