//! HTTP API for operators.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Service;
use chestnutvalve_kernel::service::Failure;
use chestnutvalve_model::config::Change;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::json;
use chestnutvalve_model::routes::Publication;
use chestnutvalve_model::upstream::Event;
use poem::endpoint::make;
use poem::http::{StatusCode, header};
use poem::{Endpoint, EndpointExt, IntoEndpoint, Request, Response, Route, get, post};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::listener::{LimitedAcceptor, MAX_CONNECTIONS};
use super::members::Action;
use super::{Instance, background_service, members, status};
use crate::state::Refusal;

/// Service name in the registry.
pub const NAME: &str = "operators";
/// Maximum size of a request body, except for a route document.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a route document. 20,000 routes and 20,000 accounts with two keys of 64 characters each take 8.6 MB.
pub const MAX_DOCUMENT_BYTES: usize = 10 * 1024 * 1024;
/// Timeout for receiving a whole request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time that requests in progress get to finish when the service stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of changes in a history response when the request states no limit.
const DEFAULT_HISTORY_LIMIT: usize = 50;

type Answer = Result<Value, Refusal>;

/// Builds the service.
#[must_use]
pub fn service(instance: &Arc<Instance>) -> Service {
    background_service(NAME, instance, |instance, shutdown| async move {
        let address = instance.settings.operators;
        let failed = |e: std::io::Error| Failure(format!("operators {address}: {e}"));
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let acceptor = LimitedAcceptor::new(listener, MAX_CONNECTIONS).map_err(failed)?;
        let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
        Ok(async move {
            let requested = async move { shutdown.requested().await };
            let limit = Some(STOP_TIMEOUT);
            let ended = server.run_with_graceful_shutdown(routes(&instance), requested, limit);
            if let Err(error) = ended.await {
                spdlog::error!("operator API stopped: {error}");
            }
        })
    })
}

fn routes(instance: &Arc<Instance>) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
    Route::new()
        .at("/v1/config", get(endpoint(instance, config)))
        .at("/v1/changes", post(endpoint(instance, change)))
        .at("/v1/changes/:id", get(endpoint(instance, accepted_change)))
        .at("/v1/history", get(endpoint(instance, history)))
        .at("/v1/status", get(endpoint(instance, overview)))
        .at(
            "/v1/routes",
            get(endpoint(instance, routes_in_force)).post(endpoint(instance, publish)),
        )
        .at("/v1/customers", get(endpoint(instance, customers)))
        .at(
            "/v1/workers",
            get(endpoint(instance, workers)).post(endpoint(instance, record_worker_event)),
        )
        .at(
            "/v1/replicas",
            get(endpoint(instance, replica_groups)).post(endpoint(instance, act_on_member)),
        )
        .at("/metrics", get(metrics(instance)))
        .catch_all_error(|error: poem::Error| async move {
            let kind = match error.status() {
                StatusCode::NOT_FOUND => Kind::NotFound,
                status if status.is_client_error() => Kind::BadRequest,
                _ => Kind::Internal,
            };
            error_response(&Fault::new(kind, error.to_string()).into())
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
            .admit_request()
            .then(|| handler(Arc::clone(&instance), request));
        async move {
            let answer = match answer {
                Some(answer) => answer.await,
                None => Err(overloaded().into()),
            };
            match answer {
                Ok(value) => response(StatusCode::OK, &value),
                Err(refusal) => error_response(&refusal),
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

fn error_response(refusal: &Refusal) -> Response {
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

fn to_json<T: Serialize>(body: &T) -> Answer {
    let value = serde_json::to_value(body);
    value.map_err(|e| Fault::new(Kind::Internal, e.to_string()).into())
}

async fn config(instance: Arc<Instance>, _request: Request) -> Answer {
    let stale = instance.is_stale();
    let store = instance.store();
    let document = &store.state().document;
    to_json(&json!({ "version": store.config_version(), "document": document, "stale": stale }))
}

async fn change(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let change: Change = read_json(request).await?;
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
    if given.is_some_and(|g| instance.token.matches_header(g.as_bytes())) {
        return Ok(());
    }
    let context = "expected the header authorization: Bearer TOKEN with the operators' token";
    Err(Fault::new(Kind::Unauthorized, context))
}

async fn read_json<T: serde::de::DeserializeOwned>(request: Request) -> Result<T, Fault> {
    let body = read_body(request, MAX_BODY_BYTES).await?;
    json::parse(&body).map_err(|e| Fault::new(Kind::BadRequest, e))
}

async fn read_body(request: Request, max_bytes: usize) -> Result<Vec<u8>, Fault> {
    let body = request.into_body().into_bytes_limit(max_bytes);
    let late = |_| Fault::new(Kind::BadRequest, "the body was not sent in time");
    let body = timeout(BODY_TIMEOUT, body).await.map_err(late)?;
    let body = body.map_err(|e| match e {
        poem::error::ReadBodyError::PayloadTooLarge => {
            Fault::new(Kind::TooLarge, format!("body above {max_bytes} bytes"))
        }
        e => Fault::new(Kind::BadRequest, e.to_string()),
    })?;
    Ok(body.to_vec())
}

async fn accepted_change(instance: Arc<Instance>, request: Request) -> Answer {
    let id = request.raw_path_param("id").unwrap_or_default();
    let store = instance.store();
    let unknown = || Fault::new(Kind::NotFound, format!("no accepted change {id:?} is kept"));
    let known = store.history().find_id(id).ok_or_else(unknown)?;
    Ok(json!({ "version": known.version }))
}

async fn history(instance: Arc<Instance>, request: Request) -> Answer {
    let limit = parse_limit(request.uri().query().unwrap_or_default())?;
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

fn parse_limit(query: &str) -> Result<usize, Fault> {
    if query.is_empty() {
        return Ok(DEFAULT_HISTORY_LIMIT);
    }
    let limit = query.strip_prefix("limit=").and_then(|l| l.parse().ok());
    let context = || format!("query {query:?}: expected limit=N");
    limit.ok_or_else(|| Fault::new(Kind::BadRequest, context()))
}

/// Returns the operator's route document, confirmed to be the latest. Reading one with API keys requires the token.
async fn routes_in_force(instance: Arc<Instance>, request: Request) -> Answer {
    let document = instance.read_published().await?;
    // The document may be newer than the state of this instance, and need not have the product's own format.
    let in_force = !instance.store().state().routes.accounts.is_empty();
    let published = json::parse_confidential::<Publication>(&document);
    if in_force || published.is_ok_and(|p| !p.accounts.is_empty()) {
        authorize(&instance, &request)?;
    }
    json::parse_confidential(&document).map_err(|e| Fault::new(Kind::Internal, e).into())
}

/// Replaces the route table; readers get the request body back unchanged.
async fn publish(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let body = read_body(request, MAX_DOCUMENT_BYTES).await?;
    let publication = json::parse_confidential::<Publication>(&body);
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

/// Returns the customers without their keys.
async fn customers(instance: Arc<Instance>, _request: Request) -> Answer {
    let table = Arc::clone(&instance.store().state().routes);
    to_json(
        &table
            .accounts
            .iter()
            .map(|a| a.summary())
            .collect::<Vec<_>>(),
    )
}

async fn workers(instance: Arc<Instance>, _request: Request) -> Answer {
    let roster = Arc::clone(&instance.store().state().roster);
    to_json(&roster.workers.values().collect::<Vec<_>>())
}

/// Records an event of a worker; responds once the event is committed.
async fn record_worker_event(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let event: Event = read_json(request).await?;
    instance.record_worker_event(event).await?;
    Ok(json!({}))
}

async fn overview(instance: Arc<Instance>, _request: Request) -> Answer {
    to_json(&status::collect_overview(&instance).await)
}

async fn replica_groups(instance: Arc<Instance>, _request: Request) -> Answer {
    to_json(&members::groups(&instance))
}

async fn act_on_member(instance: Arc<Instance>, request: Request) -> Answer {
    authorize(&instance, &request)?;
    let action: Action = read_json(request).await?;
    let outcome = members::apply_action(&instance, &action).await;
    match &outcome {
        Ok(()) => spdlog::warn!("membership action {action:?} succeeded"),
        Err(fault) => spdlog::warn!("could not apply membership action {action:?}: {fault}"),
    }
    outcome?;
    to_json(&members::groups(&instance))
}

fn metrics(instance: &Arc<Instance>) -> impl Endpoint + 'static + use<> {
    let instance = Arc::clone(instance);
    make(move |_request| {
        let rendered = if instance.admit_request() {
            let rendered = instance.meters.render();
            rendered.map_err(|e| Fault::new(Kind::Internal, e.to_string()))
        } else {
            Err(overloaded())
        };
        async move {
            match rendered {
                Ok(text) => Response::builder()
                    .content_type("text/plain; version=0.0.4")
                    .body(text),
                Err(fault) => error_response(&fault.into()),
            }
        }
    })
}

fn overloaded() -> Fault {
    Fault::new(Kind::Overloaded, "too many operator requests")
}
