//! Service of the operators' HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_model::config::Change;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::routes::Publication;
use chestnutvalve_model::upstream::Event;
use poem::endpoint::make;
use poem::http::{StatusCode, header};
use poem::{Endpoint, EndpointExt, IntoEndpoint, Request, Response, Route, get, post};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::listener::{Limited, MAX_CONNECTIONS};
use super::members::Action;
use super::{Instance, members, status, task};
use crate::state::Refusal;

/// Name of the service.
pub const NAME: &str = "operators";
/// Largest body of a request.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time for an operator to send the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time for requests in progress when the service stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Changes that a history answer lists unless the request states a limit.
const HISTORY_LIMIT: usize = 50;

type Answer = Result<Value, Refusal>;

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    task(NAME, instance, |instance, shutdown| async move {
        let address = instance.settings.operators;
        let failed = |e: std::io::Error| Failure(format!("operators {address}: {e}"));
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let acceptor = Limited::new(listener, MAX_CONNECTIONS).map_err(failed)?;
        let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
        Ok(async move {
            let requested = async move { shutdown.requested().await };
            let limit = Some(STOP_TIMEOUT);
            let ended = server.run_with_graceful_shutdown(routes(&instance), requested, limit);
            if let Err(error) = ended.await {
                spdlog::error!("operators: {error}");
            }
        })
    })
}

fn routes(instance: &Arc<Instance>) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
    Route::new()
        .at("/v1/config", get(endpoint(instance, config)))
        .at("/v1/changes", post(endpoint(instance, change)))
        .at("/v1/changes/:id", get(endpoint(instance, known)))
        .at("/v1/history", get(endpoint(instance, history)))
        .at("/v1/status", get(endpoint(instance, overview)))
        .at(
            "/v1/routes",
            get(endpoint(instance, routes_in_force)).post(endpoint(instance, publish)),
        )
        .at(
            "/v1/workers",
            get(endpoint(instance, workers)).post(endpoint(instance, register)),
        )
        .at(
            "/v1/replicas",
            get(endpoint(instance, groups)).post(endpoint(instance, act)),
        )
        .at("/metrics", get(metrics(instance)))
        .catch_all_error(|error: poem::Error| async move {
            let kind = match error.status() {
                StatusCode::NOT_FOUND => Kind::NotFound,
                status if status.is_client_error() => Kind::BadRequest,
                _ => Kind::Internal,
            };
            refused(&Fault::new(kind, error.to_string()).into())
        })
}

fn endpoint<F, Fut>(instance: &Arc<Instance>, handler: F) -> impl Endpoint + 'static + use<F, Fut>
where
    F: Fn(Arc<Instance>, Request) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Answer> + Send + 'static,
{
    let instance = Arc::clone(instance);
    make(move |request| {
        let answer = instance
            .admit()
            .then(|| handler(Arc::clone(&instance), request));
        async move {
            let answer = match answer {
                Some(answer) => answer.await,
                None => Err(excess().into()),
            };
            match answer {
                Ok(value) => response(StatusCode::OK, &value),
                Err(refusal) => refused(&refusal),
            }
        }
    })
}

fn response(status: StatusCode, value: &Value) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(value.to_string())
}

fn refused(refusal: &Refusal) -> Response {
    let answer = refusal.fault.kind.answer();
    let mut body = json!({
        "code": answer.code,
        "executed": answer.executed,
        "retry": answer.retry,
        "context": refusal.fault.context,
    });
    if let Some(current) = &refusal.current {
        body["current"] = json!(current);
        body["difference"] = json!(refusal.difference);
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response(status, &body)
}

fn value<T: Serialize>(body: &T) -> Answer {
    let value = serde_json::to_value(body);
    value.map_err(|e| Fault::new(Kind::Internal, e.to_string()).into())
}

async fn config(instance: Arc<Instance>, _request: Request) -> Answer {
    let stale = instance.is_stale();
    let store = instance.store();
    let document = &store.state().document;
    value(&json!({ "version": store.changed(), "document": document, "stale": stale }))
}

async fn change(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let change: Change = read(request).await?;
    let (id, author) = (change.id.clone(), change.author.clone());
    let outcome = instance.change(change).await;
    match &outcome {
        Ok(version) => spdlog::info!("change {id:?} of {author:?} accepted at {version}"),
        Err(refusal) => spdlog::info!("change {id:?} of {author:?} refused: {refusal}"),
    }
    Ok(json!({ "version": outcome? }))
}

fn authorize(instance: &Instance, request: &Request) -> Result<(), Fault> {
    let given = request.headers().get(header::AUTHORIZATION);
    if given.is_some_and(|g| instance.token.admits(g.as_bytes())) {
        return Ok(());
    }
    let context = "expected the header authorization: Bearer TOKEN with the operators' token";
    Err(Fault::new(Kind::Unauthorized, context))
}

async fn read<T: serde::de::DeserializeOwned>(request: Request) -> Result<T, Fault> {
    let body = bytes(request).await?;
    parse(&body).map_err(|e| Fault::new(Kind::BadRequest, e))
}

async fn bytes(request: Request) -> Result<Vec<u8>, Fault> {
    let body = request.into_body().into_bytes_limit(MAX_BODY_BYTES);
    let late = |_| Fault::new(Kind::BadRequest, "the body was not sent in time");
    let body = timeout(BODY_TIMEOUT, body).await.map_err(late)?;
    let body = body.map_err(|e| match e {
        poem::error::ReadBodyError::PayloadTooLarge => {
            Fault::new(Kind::TooLarge, format!("body above {MAX_BODY_BYTES} bytes"))
        }
        e => Fault::new(Kind::BadRequest, e.to_string()),
    })?;
    Ok(body.to_vec())
}

/// Parses JSON; the library limits its depth.
fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut json);
    let parsed = parsed.map_err(|e| format!("field {}: {}", e.path(), e.inner()))?;
    json.end().map_err(|e| e.to_string())?;
    Ok(parsed)
}

async fn known(instance: Arc<Instance>, request: Request) -> Answer {
    let id = request.raw_path_param("id").unwrap_or_default();
    let store = instance.store();
    let unknown = || Fault::new(Kind::NotFound, format!("no accepted change {id:?} is kept"));
    let known = store.history().find(id).ok_or_else(unknown)?;
    Ok(json!({ "version": known.version }))
}

async fn history(instance: Arc<Instance>, request: Request) -> Answer {
    let limit = limit(request.uri().query().unwrap_or_default())?;
    let store = instance.store();
    let newest = store.history().accepted().iter().rev().take(limit);
    let listed = newest.map(|accepted| {
        let change = &accepted.change;
        json!({
            "version": accepted.version,
            "id": change.id,
            "author": change.author,
            "reason": change.reason,
            "edits": change.edits,
        })
    });
    Ok(listed.collect())
}

fn limit(query: &str) -> Result<usize, Fault> {
    if query.is_empty() {
        return Ok(HISTORY_LIMIT);
    }
    let limit = query.strip_prefix("limit=").and_then(|l| l.parse().ok());
    let context = || format!("query {query:?}: expected limit=N");
    limit.ok_or_else(|| Fault::new(Kind::BadRequest, context()))
}

/// Returns the operator's route document, confirmed to be the newest.
async fn routes_in_force(instance: Arc<Instance>, _request: Request) -> Answer {
    let document = instance.read_published().await?;
    parse(&document).map_err(|e| Fault::new(Kind::Internal, e).into())
}

/// Replaces the route table; the body is returned to readers as it is.
async fn publish(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let body = bytes(request).await?;
    let publication = parse::<Publication>(&body);
    let mut publication = publication.map_err(|e| Fault::new(Kind::BadRequest, e))?;
    publication.source = body;
    let (label, base) = (publication.label, publication.base);
    let outcome = instance.publish(publication).await;
    match &outcome {
        Ok(current) => {
            spdlog::info!("routes accepted", kv: {label, base, current = *current});
        }
        Err(fault) => spdlog::info!("routes refused", kv: {label, base, cause: = fault}),
    }
    Ok(json!({ "label": outcome? }))
}

async fn workers(instance: Arc<Instance>, _request: Request) -> Answer {
    let roster = Arc::clone(&instance.store().state().roster);
    value(&roster.workers.values().collect::<Vec<_>>())
}

/// Takes an event of a worker; the answer comes when it is committed.
async fn register(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let event: Event = read(request).await?;
    instance.record_worker_event(event).await?;
    Ok(json!({}))
}

async fn overview(instance: Arc<Instance>, _request: Request) -> Answer {
    value(&status::overview(&instance).await)
}

async fn groups(instance: Arc<Instance>, _request: Request) -> Answer {
    value(&members::groups(&instance))
}

async fn act(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let action: Action = read(request).await?;
    let outcome = members::act(&instance, &action).await;
    match &outcome {
        Ok(()) => spdlog::warn!("members: {action:?} done"),
        Err(fault) => spdlog::warn!("members: {action:?} failed: {fault}"),
    }
    outcome?;
    value(&members::groups(&instance))
}

fn metrics(instance: &Arc<Instance>) -> impl Endpoint + 'static + use<> {
    let instance = Arc::clone(instance);
    make(move |_request| {
        let rendered = if instance.admit() {
            let rendered = instance.meters.render();
            rendered.map_err(|e| Fault::new(Kind::Internal, e.to_string()))
        } else {
            Err(excess())
        };
        async move {
            match rendered {
                Ok(text) => Response::builder()
                    .content_type("text/plain; version=0.0.4")
                    .body(text),
                Err(fault) => refused(&fault.into()),
            }
        }
    })
}

fn excess() -> Fault {
    Fault::new(Kind::Overloaded, "too many requests of operators")
}
