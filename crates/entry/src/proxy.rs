//! Treatment of one request of a caller.

use std::sync::Arc;

use chestnutvalve_model::error::Kind;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::addresses;
use crate::answer::{self, Body, Refusal};
use crate::call::Call;
use crate::dispatch::Attempts;
use crate::forward::{MAX_HOPS, forward};
use crate::instance::Instance;
use crate::once;
use crate::serving::Serving;

/// Answers a request.
pub async fn handle(instance: &Arc<Instance>, request: Request<Incoming>) -> Response<Body> {
    let outcome = if request.uri().path() == addresses::PATH {
        addresses::answer(instance, request.uri().query())
    } else {
        match Call::read(instance, request) {
            Ok(call) => route(instance, call).await,
            Err(refusal) => Err(refusal),
        }
    };
    outcome.unwrap_or_else(|refusal| answer::refusal(&refusal))
}

/// Serves a request here if this instance has workers for it, and else forwards it.
async fn route(instance: &Arc<Instance>, call: Call) -> Result<Response<Body>, Refusal> {
    let owns = instance.owns(&call.service);
    let serving = if owns {
        // Siblings are asked for the workers of a service from the first request on.
        instance.services.get_or_create(&call.service)
    } else {
        instance.services.get(&call.service)
    };
    // While it drains, an instance still serves with the workers that it knows.
    let able = serving.filter(|s| owns || (instance.is_draining() && s.has_fresh()));
    let others = || instance.other_owners(&call.service);
    match able {
        Some(serving) if serving.has_fresh() || call.hops >= MAX_HOPS => {
            local(instance, &serving, call).await
        }
        Some(serving) => {
            let others = others();
            if others.is_empty() {
                return local(instance, &serving, call).await;
            }
            forward(instance, &call, others).await
        }
        None if call.hops >= MAX_HOPS => Err(Refusal::new(
            Kind::ForwardLoop,
            "the entries do not agree on the owners of the service",
        )),
        None => forward(instance, &call, others()).await,
    }
}

async fn local(
    instance: &Arc<Instance>,
    serving: &Arc<Serving>,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    let once = once::applies(&call);
    if once {
        // A slow upload must not hold a place to run.
        once::prepare(&call).await?;
    }
    let deadline = call.deadline.into_std();
    let admitted = serving.admit(call.settings.rank, call.customer.clone(), deadline);
    let permit = admitted.await?;
    if once {
        return once::run(instance, serving, call, permit).await;
    }
    match Attempts::new(instance, serving, &call).run().await {
        Ok(mut answer) => {
            answer.ending.permit = Some(permit);
            Ok(answer.into_response(&call))
        }
        Err(unanswered) => Err(unanswered.refusal),
    }
}
