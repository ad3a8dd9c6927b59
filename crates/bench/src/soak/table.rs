//! Route table of the soak, which is replaced repeatedly while faults are injected.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use chestnutvalve_model::id;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{Kind, Limits, Publication, Route, Share, Target};
use http::{Request, StatusCode, header};
use http_body_util::Full;

use super::{RECOVERY_TIMEOUT, Report, SERVICE, customers};
use crate::Error;
use crate::fleet::{Fleet, until};

/// Timeout of the request that reveals which table a gateway uses.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Source of successive route tables. Each table has one probe route and one probe key that its successor
/// lacks.
#[derive(Debug)]
pub struct RouteTable {
    /// Label of the next table to publish.
    label: u64,
}

impl Default for RouteTable {
    fn default() -> Self {
        Self { label: 1 }
    }
}

impl RouteTable {
    /// Returns the next table to publish. Callers name no host, so the host of each route is the loopback address.
    pub fn publication(&self) -> Publication {
        let service = id::Service::new(SERVICE).expect("a valid service name");
        let route = |path: &str, kind, rank| Route {
            name: path.to_owned(),
            host: Ipv4Addr::LOCALHOST.to_string(),
            prefix: path.to_owned(),
            kind,
            timeout_ms: 2_000,
            target_ms: 500,
            rank,
            split: vec![Share {
                service: service.clone(),
                weight: 1.0,
            }],
            attempts: 2,
            public: false,
        };
        let target = Target {
            health: "/_worker/health".into(),
            max_connections: 450,
        };
        Publication {
            label: self.label,
            base: self.label - 1,
            routes: vec![
                route("/look/", Kind::Idempotent, Rank::Top),
                route("/order/", Kind::Once, Rank::Middle),
                route(&probe_path(self.label), Kind::Idempotent, Rank::Bottom),
            ],
            services: BTreeMap::from([(service.clone(), target)]),
            limits: Limits::default(),
            accounts: customers::accounts(self.label),
            source: Vec::new(),
        }
    }

    /// Moves on to the next table after one was accepted.
    pub fn mark_accepted(&mut self) {
        self.label += 1;
    }

    /// Publishes the next table, or repeats the same one until a response is conclusive. No other operator publishes, so a
    /// conflict means that an accepted table was lost or a repeated one was rejected.
    pub async fn publish_next(&mut self, fleet: &Fleet, report: &mut Report) {
        match fleet.try_publish(&self.publication()).await {
            Ok(response) if response.status.is_success() => self.mark_accepted(),
            Ok(response) if response.status.is_client_error() => {
                let (label, response) = (self.label, response.json());
                report.violations.push(format!("table {label}: {response}"));
            }
            // Without a conclusive response the table may be in force.
            Ok(_) | Err(_) => {}
        }
    }

    /// Checks that all gateways converge on the last table.
    pub async fn check_in_force(&mut self, fleet: &Fleet, report: &mut Report) {
        let label = self.label;
        let accepted = until("the last table is accepted", RECOVERY_TIMEOUT, async || {
            let response = fleet.try_publish(&self.publication()).await.ok()?;
            response.status.is_success().then_some(())
        });
        let checked = match accepted.await {
            Ok(()) => wait_in_force(fleet, label).await,
            Err(error) => Err(error),
        };
        if let Err(error) = checked {
            report.violations.push(format!("table {label}: {error}"));
        }
    }
}

/// Returns the path of the probe route, which only the table with this label has.
fn probe_path(label: u64) -> String {
    format!("/only-{label}/")
}

/// Returns the status of a request on the probe route of one table with the probe key of another.
async fn probe_status(
    fleet: &Fleet,
    gateway: SocketAddr,
    path: u64,
    key: u64,
) -> Result<StatusCode, String> {
    let bearer = format!("Bearer {}", customers::probe_key(key));
    let request = Request::get(format!("http://{gateway}{}", probe_path(path)))
        .header(header::AUTHORIZATION, bearer);
    let request = request.body(Full::default()).map_err(|e| e.to_string())?;
    let response = fleet.http.send(request, PROBE_TIMEOUT).await;
    response.map(|r| r.status).map_err(|e| e.name().to_owned())
}

/// Waits until all gateways use a table: they serve its probe route and accept its probe key, and no longer those of its
/// predecessor.
async fn wait_in_force(fleet: &Fleet, label: u64) -> Result<(), Error> {
    let gateways = fleet.gateways();
    let mut last_mismatch = String::new();
    let converged = until(
        "all gateways use the last table",
        RECOVERY_TIMEOUT,
        async || {
            for gateway in &gateways {
                for (path, key, expected) in [
                    (label, label, StatusCode::OK),
                    (label - 1, label, StatusCode::NOT_FOUND),
                    (label, label - 1, StatusCode::UNAUTHORIZED),
                ] {
                    let status = probe_status(fleet, *gateway, path, key).await;
                    if status != Ok(expected) {
                        let path = probe_path(path);
                        last_mismatch = format!("{gateway} {path} key {key}: {status:?}");
                        return None;
                    }
                }
            }
            Some(())
        },
    );
    let converged = converged.await;
    converged.map_err(|error| Error::Invalid(format!("{error}; last seen: {last_mismatch}")))
}
