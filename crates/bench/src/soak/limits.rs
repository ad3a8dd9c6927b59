//! Customers with limits of the soak, one that stays below its limit and one that exceeds it, and the checks of both.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutvalve_model::account::Limit;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::{Report, SERVICE, customers};
use crate::Error;
use crate::fleet::Fleet;
use crate::load::{Call, Caller, Class};

/// Customer that stays below its limit.
pub const BELOW: &str = "below-limit";
/// Customer that sends more than its limit.
pub const ABOVE: &str = "above-limit";
/// Requests of each in a second.
const LOADS: [(&str, f64); 2] = [(BELOW, 6.0), (ABOVE, 20.0)];
/// Part of the rate that tokens in transit may add to a window, as time (docs/design/quota.md, "Bound").
const TRANSIT_TIME: Duration = Duration::from_millis(600);
/// Longest time from the sending of a request to its permit: its deadline, and the time for which its entry may be frozen.
const MAX_PERMIT_DELAY: Duration = Duration::from_secs(5);
/// Time after the last fault in which a customer may be refused below its limit (docs/design/quota.md, "Failures").
const GRACE_TIME: Duration = Duration::from_secs(13);
/// Duration of the load after it.
const CALM_LOAD: Duration = Duration::from_secs(3);
const MS_PER_S: f64 = 1_000.0;

/// Returns the limit of a customer.
pub fn limit(customer: &str) -> Limit {
    let (per_second, burst) = if customer == BELOW {
        (20.0, 10.0)
    } else {
        (5.0, 5.0)
    };
    Limit { per_second, burst }
}

/// A request that was sent.
#[derive(Debug)]
pub struct Sent {
    at: Instant,
    id: String,
    status: Option<u16>,
}

/// Requests by customer.
pub type Log = BTreeMap<&'static str, Vec<Sent>>;

/// Sends the requests of both customers to `gateways` for `duration`.
pub async fn load(gateways: Vec<SocketAddr>, name: &str, duration: Duration) -> Log {
    let [below, above] = LOADS.map(|(customer, per_second)| {
        let id = format!("{name}-{customer}");
        send(gateways.clone(), customer, per_second, id, duration)
    });
    let (below, above) = tokio::join!(below, above);
    Log::from([(BELOW, below), (ABOVE, above)])
}

async fn send(
    gateways: Vec<SocketAddr>,
    customer: &str,
    per_second: f64,
    name: String,
    duration: Duration,
) -> Vec<Sent> {
    let class = Class {
        service: SERVICE.into(),
        path: "/look/".into(),
        credentials: Some(customers::credentials(customer)),
        ..Class::default()
    };
    let caller = std::sync::Arc::new(Caller::new(gateways, true));
    let mut calls = JoinSet::new();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_second));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let until = Instant::now() + duration;
    while Instant::now() < until {
        ticks.tick().await;
        let call = Call::new(&class, format!("{name}-{}", calls.len()));
        let caller = std::sync::Arc::clone(&caller);
        calls.spawn(async move {
            let at = Instant::now();
            let status = caller.call(&call).await.status;
            let id = call.id;
            Sent { at, id, status }
        });
    }
    calls.join_all().await
}

/// Checks that a customer below its limit is not refused once the time of grace after the last fault, which ended at
/// `calm_since`, is over, and that workers never ran more than a limit allows.
///
/// # Errors
///
/// Returns an error if the workers can't be asked for what they ran.
pub async fn check(
    fleet: &Fleet,
    calm_since: Instant,
    mut log: Log,
    report: &mut Report,
) -> Result<(), Error> {
    sleep_until(calm_since + GRACE_TIME).await;
    let calm = load(fleet.gateways(), "calm", CALM_LOAD).await;
    let is_refused = |sent: &&Sent| matches!(sent.status, Some(429 | 503));
    let refused = calm[BELOW].iter().filter(is_refused).count();
    if refused > 0 {
        let asked = calm[BELOW].len();
        let text = format!("{refused} of {asked} requests below a limit were refused");
        report.violations.push(text);
    }
    for (customer, sent) in calm {
        log.entry(customer).or_default().extend(sent);
    }
    let counts = fleet.counts().await?;
    for (customer, mut sent) in log {
        sent.retain(|sent| counts.requests.contains_key(&sent.id));
        sent.sort_by_key(|sent| sent.at);
        let times: Vec<Instant> = sent.iter().map(|sent| sent.at).collect();
        if let Some(text) = excess(&times, &limit(customer)) {
            report.violations.push(format!("{customer}: {text}"));
        }
    }
    Ok(())
}

/// Returns the window with the largest excess over a limit, given the times at which the requests that ran were sent.
fn excess(times: &[Instant], limit: &Limit) -> Option<String> {
    let mut worst: Option<(f64, String)> = None;
    for (first, start) in times.iter().enumerate() {
        let mut ran = 0.0;
        for end in &times[first..] {
            ran += 1.0;
            let window = end.duration_since(*start);
            let time = window + TRANSIT_TIME + MAX_PERMIT_DELAY;
            let allowed = limit.per_second * time.as_secs_f64() + limit.burst;
            let over = ran - allowed;
            if over > worst.as_ref().map_or(0.0, |(most, _)| *most) {
                let ms = window.as_secs_f64() * MS_PER_S;
                let text = format!("{ran} requests of {ms:.0} ms ran, {allowed:.0} are allowed");
                worst = Some((over, text));
            }
        }
    }
    worst.map(|(_, text)| text)
}
