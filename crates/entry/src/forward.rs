//! Forwarding of requests for services that other entries serve.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::directory::Member;
use chestnutvalve_model::error::{Executed, Kind};
use chestnutvalve_routing::execution::{self, Stage};
use chestnutvalve_routing::retry;
use http::{HeaderMap, HeaderValue, Response};
use rand::seq::SliceRandom;

use crate::answer::{Body, Refusal};
use crate::call::Call;
use crate::dispatch::refusal;
use crate::exchange::{Failed, exchange};
use crate::header as name;
use crate::instance::Instance;
use crate::passed::Answer;

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
    let owners = instance.reachable_first(owners);
    let mut stages = Vec::new();
    let nobody = || Failed::unsent(Kind::NoEligibleWorker, "no entry serves the service");
    let mut last = Err(nobody());
    for owner in owners {
        last = send(instance, call, &owner).await;
        let stage = match &last {
            // The owner knows no worker yet, and another one may.
            Ok(answer) if cannot_serve(&answer.parts.headers) => Stage::ShedByWorker,
            Ok(_) => break,
            Err(failed) => failed.stage,
        };
        stages.push(stage);
        let executed = execution::executed_in_any(&stages);
        let again = retry::is_allowed(call.idempotent, executed, call.left(), Duration::ZERO);
        if !again || call.source.is_dropped() {
            break;
        }
    }
    let executed = execution::executed_in_any(&stages);
    match last {
        // A refusal of the last owner must not hide an earlier attempt of unknown outcome.
        Ok(answer) if cannot_serve(&answer.parts.headers) && executed != Executed::No => {
            let context = "an owner did not answer, and another one has no worker";
            Err(refusal(
                Failed::unsent(Kind::NoEligibleWorker, context),
                executed,
            ))
        }
        Ok(answer) => Ok(answer.into_response(call)),
        Err(failed) => Err(refusal(failed, executed)),
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

async fn send(instance: &Arc<Instance>, call: &Call, owner: &Member) -> Result<Answer, Failed> {
    let Some(body) = call.source.replay() else {
        let context = "the request body is not kept";
        return Err(Failed::unsent(Kind::Internal, context));
    };
    let request = call.forwarded(&instance.attempt_id(), body);
    let check = || Ok(());
    let received = exchange(&instance.entries, owner.callers, call, request, check).await?;
    let mut answer = Answer::new(instance, call, received, None);
    name::remove_hop_by_hop(&mut answer.parts.headers);
    Ok(answer)
}
