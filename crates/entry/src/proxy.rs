//! Handling of one request from a caller.

use std::sync::Arc;

use chestnutvalve_model::error::Kind;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::addresses;
use crate::at_most_once;
use crate::call::Call;
use crate::dispatch::Attempts;
use crate::forward::{MAX_HOPS, forward};
use crate::instance::Instance;
use crate::local_reply::{self, Body, Refusal};
use crate::request_metrics::RequestMetrics;
use crate::service::ServiceState;

/// A response, and whether another entry produced it.
type Routed = Result<(Response<Body>, bool), Refusal>;

/// Handles a request for a service or for the addresses of its owners, and records its metrics.
pub async fn handle(instance: &Arc<Instance>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    if request.uri().path() == addresses::PATH {
        let response = addresses::lookup(instance, request.uri().query());
        return response.unwrap_or_else(|refusal| local_reply::refusal(&refusal));
    }
    let call = match Call::read(instance, request) {
        Ok(call) => call,
        Err(refusal) => {
            instance.meters.count_refusal(refusal.fault.kind);
            return local_reply::refusal(&refusal);
        }
    };
    let metrics = RequestMetrics::new(instance, &call, started);
    match route(instance, call).await {
        Ok((response, forwarded)) => metrics.attach(response, forwarded),
        Err(refusal) => metrics.refuse(&refusal),
    }
}

/// Serves a request if this instance owns the service and has usable workers; otherwise forwards it to another owner.
async fn route(instance: &Arc<Instance>, call: Call) -> Routed {
    // From the first request on, this instance pulls the workers of a service that it owns from the other owners.
    let service_state = instance.services.get_or_create(&call.service);
    let owns = instance.owns(&call.service);
    // A draining instance still serves requests with its usable workers.
    let usable =
        service_state.filter(|s| owns || (instance.is_draining() && s.has_usable_worker()));
    let Some(service_state) = usable else {
        if call.hops >= MAX_HOPS {
            let context = "the entries do not agree on the owners of the service";
            return Err(Refusal::new(Kind::ForwardLoop, context));
        }
        let others = instance.other_owners(&call.service);
        return Ok((forward(instance, &call, others).await?, true));
    };
    if !service_state.has_usable_worker() && call.hops < MAX_HOPS {
        let others = instance.other_owners(&call.service);
        if !others.is_empty() {
            return Ok((forward(instance, &call, others).await?, true));
        }
    }
    Ok((serve_locally(instance, &service_state, call).await?, false))
}

async fn serve_locally(
    instance: &Arc<Instance>,
    service_state: &Arc<ServiceState>,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    if at_most_once::requires_claim(&call) {
        at_most_once::prefetch_body(&call).await?;
        return at_most_once::run(instance, service_state, call).await;
    }
    let permit = service_state.admit_call(&call).await?;
    match Attempts::new(instance, service_state, &call)
        .run(permit)
        .await
    {
        Ok(response) => Ok(response.into_response(&call)),
        Err(error) => Err(error.refusal),
    }
}
