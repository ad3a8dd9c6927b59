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
use crate::serving::Serving;

/// Time between two renewals of grants, which last 10 s.
const PERIOD: Duration = Duration::from_secs(3);
/// Shortest time between two requests on account of new suspects, while a grant is refused.
const GAP: Duration = Duration::from_millis(250);
/// Time for a control instance to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Asks for grants every few seconds, and at once for a new suspect, until dropped.
pub async fn run(instance: Arc<Instance>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let renew = tokio::select! {
            _ = ticks.tick() => true,
            () = instance.suspects.notified() => false,
        };
        let services = instance.services.all();
        let asked = services.iter().map(|s| ask(&instance, s, renew));
        join_all(asked).await;
        if !renew {
            sleep(GAP).await;
        }
    }
}

async fn ask(instance: &Instance, serving: &Serving, renew: bool) {
    let Some(message) = message(instance, serving, renew) else {
        return;
    };
    // The grant counts from the request, so that it ends here before it ends at the control group.
    let asked_at = clock::now();
    let granted: Result<Granted, Error> =
        instance.link.call("eject/grant", &message, TIMEOUT).await;
    match granted {
        Ok(granted) => {
            let until = asked_at + Duration::from_millis(granted.ttl_ms.into());
            let now = clock::now();
            serving.with_detector(|detector, _| detector.set_grants(now, &granted.workers, until));
            let service = &serving.name;
            for worker in &granted.workers {
                if !message.held.contains(worker) {
                    spdlog::info!("worker {worker} of {service} is ejected");
                }
            }
        }
        Err(error) => spdlog::debug!("grant for {}: {error}", serving.name),
    }
}

/// Returns the question, or `None` when there is nothing to ask.
fn message(instance: &Instance, serving: &Serving, renew: bool) -> Option<Ask> {
    let now = clock::now();
    let target = Target {
        service: &serving.name,
        path: None,
        method: None,
        customer: None,
    };
    let settings = serving.document(&instance.follow.state()).resolve(&target);
    let warm_up = Duration::from_millis(settings.warm_up_ms.into());
    serving.with_detector(|detector, known| {
        let (eject, held) = (detector.candidates(now), detector.granted_workers(now));
        let new = eject.iter().any(|w| !held.contains(w));
        if !new && !(renew && !(eject.is_empty() && held.is_empty())) {
            return None;
        }
        let warm = |seen| now.saturating_duration_since(seen) >= warm_up;
        let eligible = known
            .iter()
            .filter(|(_, c)| c.fresh && warm(c.first_seen))
            .map(|(worker, _)| worker.clone())
            .collect();
        Some(Ask {
            entry: instance.settings.entry.clone(),
            service: serving.name.clone(),
            registered: known.keys().cloned().collect(),
            eligible,
            eject,
            held,
            floor_percent: settings.floor_percent,
        })
    })
}
