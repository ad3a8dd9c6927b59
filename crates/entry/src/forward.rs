//! Forwarding of requests to the entries that own their service.

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

/// Maximum number of entries that forward a request, so that directories that differ for a moment can't make it loop.
pub const MAX_HOPS: u32 = 2;

/// Forwards a request to one of `owners`, in random order with unresponsive ones last.
///
/// # Errors
///
/// Returns the refusal for the caller when no owner responded.
pub async fn forward(
    instance: &Arc<Instance>,
    call: &Call,
    mut owners: Vec<Member>,
) -> Result<Response<Body>, Refusal> {
    owners.shuffle(&mut rand::rng());
    let owners = instance.responsive_first(owners);
    let mut stages = Vec::new();
    let no_owner = || ExchangeError::unsent(Kind::NoEligibleWorker, "no entry owns the service");
    let mut last = Err(no_owner());
    for owner in owners {
        last = send(instance, call, &owner).await;
        let stage = match &last {
            // The owner has no worker yet, but another owner may have one.
            Ok(response) if cannot_serve(&response.parts.headers) => Stage::ShedByWorker,
            Ok(_) => break,
            Err(error) => error.stage,
        };
        stages.push(stage);
        let executed = execution::executed_in_any(&stages);
        let may_retry =
            retry::is_allowed(call.idempotent, executed, call.time_left(), Duration::ZERO);
        if !may_retry || call.source.check_replay().is_err() {
            break;
        }
    }
    let executed = execution::executed_in_any(&stages);
    match last {
        // A refusal by the last owner must not hide that an earlier attempt has an unknown outcome.
        Ok(response) if cannot_serve(&response.parts.headers) && executed != Executed::No => {
            let context = "one owner did not respond and another one has no worker";
            Err(refusal(
                ExchangeError::unsent(Kind::NoEligibleWorker, context),
                executed,
            ))
        }
        Ok(response) => Ok(response.into_response(call)),
        Err(error) => Err(refusal(error, executed)),
    }
}

/// Returns whether another entry refused the request because it has no worker for it or is draining.
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
    let body = call.source.replay()?;
    let request = call.forward_request(&instance.next_attempt_id(), body);
    let check = || Ok(());
    let received = exchange(&instance.entry_pool, owner.callers, call, request, check).await?;
    let mut response = UpstreamResponse::new(instance, call, received, None);
    name::remove_hop_by_hop(&mut response.parts.headers);
    Ok(response)
}
