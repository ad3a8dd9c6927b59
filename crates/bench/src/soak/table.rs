//! Route table of the soak, which its operator replaces again and again.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use chestnutvalve_model::id;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{Kind, Limits, Publication, Route, Share, Target};
use http::StatusCode;

use super::{RECOVERY, Report, SERVICE};
use crate::Error;
use crate::fleet::{Fleet, until};

/// Time for a gateway to answer a request that shows which table it uses.
const PROBE: Duration = Duration::from_secs(2);

/// Routes with a label. Each table has one route of its own, which its successor lacks.
#[derive(Debug)]
pub struct Table {
    /// Label of the table that is published next.
    label: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self { label: 1 }
    }
}

impl Table {
    /// Returns the table that is published next. Callers name no host, so that it is the address.
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
                route(&own_path(self.label), Kind::Idempotent, Rank::Bottom),
            ],
            services: BTreeMap::from([(service.clone(), target)]),
            limits: Limits::default(),
            source: Vec::new(),
        }
    }

    /// Notes that the table was accepted.
    pub fn accepted(&mut self) {
        self.label += 1;
    }

    /// Publishes the next table, or the same one again as long as no answer was clear. There is no other operator, so that a
    /// conflict means that an accepted table was lost or a repeated one was refused.
    pub async fn replace(&mut self, fleet: &Fleet, report: &mut Report) {
        match fleet.try_publish(&self.publication()).await {
            Ok(answer) if answer.status.is_success() => self.accepted(),
            Ok(answer) if answer.status.is_client_error() => {
                let (label, answer) = (self.label, answer.json());
                report.violations.push(format!("table {label}: {answer}"));
            }
            // Without a clear answer the table may be in force.
            Ok(_) | Err(_) => {}
        }
    }

    /// Checks that all gateways come to use the last table.
    pub async fn check(&mut self, fleet: &Fleet, report: &mut Report) {
        let label = self.label;
        let last = until("the last table is accepted", RECOVERY, async || {
            let answer = fleet.try_publish(&self.publication()).await.ok()?;
            answer.status.is_success().then_some(())
        });
        let checked = match last.await {
            Ok(()) => in_force(fleet, label).await,
            Err(error) => Err(error),
        };
        if let Err(error) = checked {
            report.violations.push(format!("table {label}: {error}"));
        }
    }
}

/// Returns the path that only one table routes.
fn own_path(label: u64) -> String {
    format!("/only-{label}/")
}

/// Waits until all gateways use a table: they serve its own route, and no longer that of its predecessor.
async fn in_force(fleet: &Fleet, label: u64) -> Result<(), Error> {
    let gateways = fleet.gateways();
    let mut differing = String::new();
    let agreed = until("all gateways use the last table", RECOVERY, async || {
        for gateway in &gateways {
            for (label, expected) in [(label, StatusCode::OK), (label - 1, StatusCode::NOT_FOUND)] {
                let answer = fleet.http.get(*gateway, &own_path(label), PROBE).await;
                let seen = answer.map(|a| a.status).map_err(|e| e.to_string());
                if seen != Ok(expected) {
                    differing = format!("{gateway} {}: {seen:?}", own_path(label));
                    return None;
                }
            }
        }
        Some(())
    });
    let agreed = agreed.await;
    agreed.map_err(|error| Error::Invalid(format!("{error}; last seen: {differing}")))
}
