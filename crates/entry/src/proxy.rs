//! Treatment of one request of a caller.

use std::sync::Arc;

use chestnutvalve_model::error::Kind;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::account::Account;
use crate::addresses;
use crate::call::Call;
use crate::dispatch::Attempts;
use crate::forward::{MAX_HOPS, forward};
use crate::instance::Instance;
use crate::local_reply::{self, Body, Refusal};
use crate::once;
use crate::serving::Serving;

/// A response, and whether another entry made it.
type Routed = Result<(Response<Body>, bool), Refusal>;

/// Answers a request.
pub async fn handle(instance: &Arc<Instance>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    if request.uri().path() == addresses::PATH {
        let answered = addresses::answer(instance, request.uri().query());
        return answered.unwrap_or_else(|refusal| local_reply::refusal(&refusal));
    }
    let call = match Call::read(instance, request) {
        Ok(call) => call,
        Err(refusal) => {
            instance.meters.count_refusal(refusal.fault.kind);
            return local_reply::refusal(&refusal);
        }
    };
    let account = Account::new(instance, &call, started);
    match route(instance, call).await {
        Ok((response, forwarded)) => account.attach(response, forwarded),
        Err(refusal) => account.refuse(&refusal),
    }
}

/// Serves a request here if this instance has workers for it, and else forwards it.
async fn route(instance: &Arc<Instance>, call: Call) -> Routed {
    // Siblings are asked for the workers of an own service from the first request on.
    let serving = instance.services.get_or_create(&call.service);
    let owns = instance.owns(&call.service);
    // While it drains, an instance still serves with the workers that it knows.
    let able = serving.filter(|s| owns || (instance.is_draining() && s.has_fresh()));
    let Some(serving) = able else {
        if call.hops >= MAX_HOPS {
            let context = "the entries do not agree on the owners of the service";
            return Err(Refusal::new(Kind::ForwardLoop, context));
        }
        let others = instance.other_owners(&call.service);
        return Ok((forward(instance, &call, others).await?, true));
    };
    if !serving.has_fresh() && call.hops < MAX_HOPS {
        let others = instance.other_owners(&call.service);
        if !others.is_empty() {
            return Ok((forward(instance, &call, others).await?, true));
        }
    }
    Ok((local(instance, &serving, call).await?, false))
}

async fn local(
    instance: &Arc<Instance>,
    serving: &Arc<Serving>,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    if once::applies(&call) {
        once::prepare(&call).await?;
        return once::run(instance, serving, call).await;
    }
    let permit = serving.admit_call(&call).await?;
    match Attempts::new(instance, serving, &call).run(permit).await {
        Ok(answer) => Ok(answer.into_response(&call)),
        Err(unanswered) => Err(unanswered.refusal),
    }
}
