//! Summaries that the coordinators of a service send to those in other availability zones.
//!
//! They are sent after a change that matters to other zones, and each second while the service has requests in any zone.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_model::error::Fault;
use chestnutvalve_model::id::{Service, Zone};
use chestnutvalve_routing::schedule::{Spills, Summary};
use chestnutvalve_wire::{Error, Router};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{Gateway, coordinator};
use crate::clock;

/// Minimum time between two summaries. Slots are used for several times as long.
pub const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two summaries while the service has requests.
pub const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a request after which no summaries are sent.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Part of the slots whose use must change for a new summary: one in this many.
const SLOTS_PER_CHANGE: u32 = 10;
/// Timeout of a call. A later summary makes an older one useless.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two log lines of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

const PATH: &str = "gateway/zone";

/// Summary of a service in the zone of its sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// The service.
    pub service: Service,
    /// Zone of the sender.
    pub zone: Zone,
    /// Time that the last message to this recipient took, in milliseconds, which is the age of this one.
    pub age_ms: u32,
    /// Slots of the zone's workers that are not avoided.
    pub slots: u32,
    /// Slots that the zone's own requests leave.
    pub spare: u32,
    /// Whether the zone has less room than it needs.
    pub is_short: bool,
    /// Queued requests by rank.
    pub queued: [u32; 3],
    /// Requests that the zone has in progress in other zones.
    pub sent: Vec<(Zone, u32)>,
}

impl Message {
    /// Creates a message. `age` is the time that the last one to the recipient took.
    #[must_use]
    pub fn new(service: &Service, zone: &Zone, age: Duration, summary: &Summary) -> Self {
        Self {
            service: service.clone(),
            zone: zone.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            slots: summary.slots,
            spare: summary.spare,
            is_short: summary.is_short,
            queued: summary.queued,
            sent: summary.sent.clone().into_iter().collect(),
        }
    }

    fn summary(self) -> Summary {
        Summary {
            slots: self.slots,
            spare: self.spare,
            is_short: self.is_short,
            queued: self.queued,
            sent: self.sent.into_iter().collect(),
        }
    }
}

/// What was sent for a service last.
#[derive(Debug)]
struct Last {
    summary: Summary,
    sent_at: Instant,
    /// When the service last had requests in any zone. A zone without requests has the most slots for others.
    used_at: Instant,
}

/// Times that the last messages to other coordinators took.
type Delays = Arc<Mutex<HashMap<SocketAddr, Duration>>>;

/// Sends summaries to other coordinators and logs requests to other zones, until dropped.
pub async fn exchange(gateway: Arc<Gateway>) {
    let mut last: HashMap<Service, Last> = HashMap::new();
    let mut logged: HashMap<Service, (BTreeMap<Zone, Spills>, Instant)> = HashMap::new();
    let delays = Delays::default();
    let mut ticks = interval(MIN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        for dispatcher in gateway.dispatchers() {
            let service = &dispatcher.service;
            let Some((summary, is_used)) = dispatcher.summary() else {
                last.remove(service);
                continue;
            };
            log_spills(service, &dispatcher.spills(), &mut logged, now);
            let used_at = match last.get(service) {
                Some(last) if !is_used => last.used_at,
                _ => now,
            };
            if is_due(last.get(service), &summary, now, used_at) {
                send(&gateway, service, &summary, &delays);
                let sent_at = now;
                let sent = Last {
                    summary,
                    sent_at,
                    used_at,
                };
                last.insert(service.clone(), sent);
            } else if let Some(last) = last.get_mut(service) {
                last.used_at = used_at;
            }
        }
    }
}

/// Returns whether a summary differs from the last one in a way that matters to other zones.
#[must_use]
pub fn differs(before: &Summary, summary: &Summary) -> bool {
    let step = (summary.slots / SLOTS_PER_CHANGE).max(1);
    let in_other_zones = |s: &Summary| s.sent.values().sum::<u32>();
    summary.is_short != before.is_short
        || summary.slots != before.slots
        || summary.spare.abs_diff(before.spare) >= step
        || in_other_zones(summary).abs_diff(in_other_zones(before)) >= step
}

/// Returns whether a summary must be sent: it differs from the last one, or replaces one that is old.
fn is_due(last: Option<&Last>, summary: &Summary, now: Instant, used_at: Instant) -> bool {
    last.is_none_or(|last| {
        let is_old = now >= last.sent_at + MAX_INTERVAL && now < used_at + IDLE_TIME;
        is_old || differs(&last.summary, summary)
    })
}

fn send(gateway: &Arc<Gateway>, service: &Service, summary: &Summary, delays: &Delays) {
    let zone = &gateway.instance.settings.zone;
    let own = gateway.instance.member().peers;
    let state = gateway.instance.control_state.current();
    for recipient in coordinator::first_coordinators(&state, service) {
        if recipient == own {
            continue;
        }
        let known = delays.lock().unwrap_or_else(PoisonError::into_inner);
        let age = known.get(&recipient).copied().unwrap_or_default();
        drop(known);
        let message = Message::new(service, zone, age, summary);
        let client = gateway.instance.peers.client(recipient);
        let delays = Arc::clone(delays);
        tokio::spawn(async move {
            let started = Instant::now();
            let sent: Result<(), Error> = client.call(PATH, &message, SEND_TIMEOUT).await;
            let took = started.elapsed();
            let mut delays = delays.lock().unwrap_or_else(PoisonError::into_inner);
            delays.insert(recipient, took);
            if let Err(error) = sent {
                spdlog::debug!("sending a summary to coordinator {recipient} failed: {error}");
            }
        });
    }
}

/// Logs at most once each [`LOG_INTERVAL`] how many requests of a service were sent to each other zone, and why.
fn log_spills(
    service: &Service,
    spills: &BTreeMap<Zone, Spills>,
    logged: &mut HashMap<Service, (BTreeMap<Zone, Spills>, Instant)>,
    now: Instant,
) {
    let before = logged.get(service);
    if before.is_some_and(|(_, at)| now < *at + LOG_INTERVAL) {
        return;
    }
    let mut has_changed = false;
    for (zone, spills) in spills {
        let before = before.and_then(|(before, _)| before.get(zone));
        let before = before.copied().unwrap_or_default();
        if *spills != before {
            has_changed = true;
            let full = spills.full.saturating_sub(before.full);
            let better = spills.better.saturating_sub(before.better);
            let unknown = spills.unknown.saturating_sub(before.unknown);
            spdlog::info!("requests sent to another zone", kv: {service:, zone:, full, better, unknown});
        }
    }
    if has_changed {
        logged.insert(service.clone(), (spills.clone(), now));
    }
}

/// Adds the handler of summaries from other coordinators.
#[must_use]
pub fn add_routes(router: Router, gateway: &Arc<Gateway>) -> Router {
    let gateway = Arc::clone(gateway);
    router.route(PATH, move |message: Message| {
        let dispatcher = gateway.dispatcher(&message.service);
        let (zone, age) = (message.zone.clone(), message.age_ms);
        let age = Duration::from_millis(age.into());
        dispatcher.record_summary(clock::now(), &zone, age, message.summary());
        async { Ok::<(), Fault>(()) }
    })
}
