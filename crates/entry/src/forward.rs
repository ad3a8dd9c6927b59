//! Forwarding of requests for services that other entries serve.

use std::sync::Arc;

use chestnutvalve_model::directory::Member;
use chestnutvalve_model::error::Kind;
use chestnutvalve_routing::evidence;
use chestnutvalve_routing::retry;
use http::Response;
use rand::seq::SliceRandom;
use std::time::Duration;

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
    let mut last = None;
    for owner in owners {
        let failed = match send(instance, call, &owner).await {
            Ok(answer) => return Ok(answer.into_response(call)),
            Err(failed) => failed,
        };
        stages.push(failed.stage);
        let executed = evidence::combined(&stages);
        let again = retry::allowed(call.idempotent, executed, call.left(), Duration::ZERO);
        last = Some(failed);
        if !again || call.source.is_dropped() {
            break;
        }
    }
    let nobody = || Failed::unsent(Kind::NoEligibleWorker, "no entry serves the service");
    let failed = last.unwrap_or_else(nobody);
    Err(refusal(failed, evidence::combined(&stages)))
}

async fn send(instance: &Arc<Instance>, call: &Call, owner: &Member) -> Result<Answer, Failed> {
    let Some(body) = call.source.replay() else {
        let context = "the request body is not kept";
        return Err(Failed::unsent(Kind::Internal, context));
    };
    let request = call.forwarded(&instance.attempt_id(), body);
    let check = || Ok(());
    let received = exchange(&instance.pool, owner.callers, call, request, check).await?;
    let mut answer = Answer::new(instance, call, received, None);
    name::remove_hop_by_hop(&mut answer.parts.headers);
    Ok(answer)
}
