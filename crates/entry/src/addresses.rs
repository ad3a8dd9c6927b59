//! Discovery of the entries that own a service, for callers.

use chestnutvalve_model::config::Target;
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Service;
use http::Response;
use rand::seq::SliceRandom;
use serde_json::json;

use crate::instance::Instance;
use crate::local_reply::{Body, Refusal, json as respond};

/// Path of the discovery call.
pub const PATH: &str = "/_chestnutvalve/addresses";

/// Returns the addresses of the owners of the service in `query`, and how long a caller can cache them.
///
/// # Errors
///
/// Refuses a query without a valid service name, and a service that no entry owns because all are draining.
pub fn lookup(instance: &Instance, query: Option<&str>) -> Result<Response<Body>, Refusal> {
    let mut pairs = query.unwrap_or_default().split('&');
    let service = pairs.find_map(|p| p.strip_prefix("service="));
    let service = Service::new(service.unwrap_or_default());
    let service = service.map_err(|e| Refusal::new(Kind::BadRequest, e.to_string()))?;
    let mut owners = instance.owners(&service).to_vec();
    if owners.is_empty() {
        return Err(Refusal::new(
            Kind::Draining,
            "no entry accepts new requests for the service",
        ));
    }
    // Callers try the addresses in order, so a random order spreads them over the owners.
    owners.shuffle(&mut rand::rng());
    let owners = instance.responsive_first(owners);
    let addresses: Vec<String> = owners.iter().map(|o| o.callers.to_string()).collect();
    let target = Target {
        service: &service,
        path: None,
        method: None,
        customer: None,
    };
    let state = instance.control_state.current();
    let ttl = state.document.resolve(&target).address_ttl_ms;
    Ok(respond(&json!({
        "service": service,
        "addresses": addresses,
        "ttl_ms": ttl,
    })))
}
