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
        // The burst of a restarted entry must be more than what accrues while it is down.
        (1.0, 20.0)
    };
    Limit { per_second, burst }
}

/// A request that was sent.
#[derive(Debug)]
pub struct Sent {
    at: Instant,
    /// When its response came or it failed.
    ended_at: Instant,
    id: String,
    /// HTTP status, if there was a response.
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
            Sent {
                at,
                ended_at: Instant::now(),
                id: call.id,
                status,
            }
        });
    }
    calls.join_all().await
}

/// Checks that a customer below its limit is served and not refused once the time of grace after the last fault, which
/// ended at `calm_since`, is over, and that workers never ran more than a limit allows.
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
    let asked = calm[BELOW].len();
    if refused > 0 {
        let text = format!("{refused} of {asked} requests below a limit were refused");
        report.violations.push(text);
    }
    // Requests that fail in another way, or get no response, are not refused.
    let is_served = |sent: &&Sent| matches!(sent.status, Some(200..=299));
    let served = calm[BELOW].iter().filter(is_served).count();
    if served * 2 <= asked {
        let text = format!("only {served} of {asked} requests below a limit were served");
        report.violations.push(text);
    }
    for (customer, sent) in calm {
        log.entry(customer).or_default().extend(sent);
    }
    let counts = fleet.counts().await?;
    for (customer, mut sent) in log {
        sent.retain(|sent| counts.requests.contains_key(&sent.id));
        if let Some(text) = excess(&sent, &limit(customer)) {
            report.violations.push(format!("{customer}: {text}"));
        }
    }
    Ok(())
}

/// Returns the window with the largest excess over a limit, given the requests that ran.
///
/// A request gets its permit between its sending and its response, so that a window covers the permits of all requests that
/// were sent and answered in it. One without a response may have got its permit later and is not counted.
fn excess(sent: &[Sent], limit: &Limit) -> Option<String> {
    let answered: Vec<&Sent> = sent.iter().filter(|s| s.status.is_some()).collect();
    let mut worst: Option<(f64, String)> = None;
    for start in answered.iter().map(|s| s.at) {
        let within = answered.iter().filter(|s| s.at >= start);
        let mut ends: Vec<Instant> = within.map(|s| s.ended_at).collect();
        ends.sort_unstable();
        let mut ran = 0.0;
        for end in ends {
            ran += 1.0;
            let window = end.duration_since(start);
            let time = window + TRANSIT_TIME;
            let allowed = limit.per_second * time.as_secs_f64() + limit.burst;
            let over = ran - allowed;
            if over > worst.as_ref().map_or(0.0, |(most, _)| *most) {
                let ms = window.as_secs_f64() * MS_PER_S;
                let text = format!("{ran} requests of {ms:.0} ms ran, {allowed:.1} are allowed");
                worst = Some((over, text));
            }
        }
    }
    worst.map(|(_, text)| text)
}
