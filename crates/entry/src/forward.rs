//! Forwarding of requests for services that other entries serve.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::directory::Member;
use chestnutvalve_model::error::{Executed, Kind};
use chestnutvalve_routing::execution::{self, Stage};
use chestnutvalve_routing::retry;
use http::{HeaderMap, HeaderValue, Response};
use rand::seq::SliceRandom;

use crate::call::Call;
use crate::dispatch::refusal;
use crate::exchange::{ExchangeError, exchange};
use crate::header as name;
use crate::instance::Instance;
use crate::local_reply::{Body, Refusal};
use crate::relay::UpstreamResponse;

/// Entries that may forward a request; directories that differ for a moment must not make it circle.
pub const MAX_HOPS: u32 = 2;

/// Passes a request on to one of `owners`.
///
/// # Errors
///
/// Returns the caller's error when no owner responded.
pub async fn forward(
    instance: &Arc<Instance>,
    call: &Call,
    mut owners: Vec<Member>,
) -> Result<Response<Body>, Refusal> {
    owners.shuffle(&mut rand::rng());
    let owners = instance.responsive_first(owners);
    let mut stages = Vec::new();
    let no_owner = || ExchangeError::unsent(Kind::NoEligibleWorker, "no entry serves the service");
    let mut last = Err(no_owner());
    for owner in owners {
        last = send(instance, call, &owner).await;
        let stage = match &last {
            // The owner knows no worker yet, and another one may.
            Ok(response) if cannot_serve(&response.parts.headers) => Stage::ShedByWorker,
            Ok(_) => break,
            Err(error) => error.stage,
        };
        stages.push(stage);
        let executed = execution::executed_in_any(&stages);
        let may_retry =
            retry::is_allowed(call.idempotent, executed, call.time_left(), Duration::ZERO);
        if !may_retry || call.source.is_discarded() {
            break;
        }
    }
    let executed = execution::executed_in_any(&stages);
    match last {
        // A refusal of the last owner must not hide an earlier attempt of unknown outcome.
        Ok(response) if cannot_serve(&response.parts.headers) && executed != Executed::No => {
            let context = "an owner did not answer, and another one has no worker";
            Err(refusal(
                ExchangeError::unsent(Kind::NoEligibleWorker, context),
                executed,
            ))
        }
        Ok(response) => Ok(response.into_response(call)),
        Err(error) => Err(refusal(error, executed)),
    }
}

/// Returns whether another entry refused because it has no worker for the request or is shutting down.
fn cannot_serve(headers: &HeaderMap) -> bool {
    let kinds = [Kind::Draining, Kind::NoEligibleWorker, Kind::UnknownService];
    let code = headers.get(name::ERROR).map(HeaderValue::as_bytes);
    kinds
        .iter()
        .any(|k| code == Some(k.answer().code.as_bytes()))
}

async fn send(
    instance: &Arc<Instance>,
    call: &Call,
    owner: &Member,
) -> Result<UpstreamResponse, ExchangeError> {
    let Some(body) = call.source.replay() else {
        let context = "the request body is not kept";
        return Err(ExchangeError::unsent(Kind::Internal, context));
    };
    let request = call.forward_request(&instance.next_attempt_id(), body);
    let check = || Ok(());
    let received = exchange(&instance.entry_pool, owner.callers, call, request, check).await?;
    let mut response = UpstreamResponse::new(instance, call, received, None);
    name::remove_hop_by_hop(&mut response.parts.headers);
    Ok(response)
}
