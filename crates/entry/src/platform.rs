//! HTTP interface for workers and operators.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use chestnutvalve_membership::worker::Announcement;
use chestnutvalve_model::error::{Fault, Kind};
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoEndpoint, Response, Route, get, handler, post};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::clock;
use crate::instance::Instance;
use crate::peers::Withdrawal;

/// Maximum size of the body of an announcement or withdrawal, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Interval at which a worker must renew its announcement, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 800;
/// Maximum number of announcements and withdrawals that one instance accepts per second. At target scale an instance is
/// the home of about 50 workers, and of 500 after the loss of a zone.
const MAX_ANNOUNCEMENTS_PER_SECOND: u64 = 5_000;

/// Limit on the rate of announcements and withdrawals.
#[derive(Debug)]
struct RateLimiter {
    window_start: Mutex<Instant>,
    count: AtomicU64,
}

impl RateLimiter {
    fn try_acquire(&self) -> bool {
        let now = clock::now();
        let mut window_start = self
            .window_start
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(*window_start) >= Duration::from_secs(1) {
            *window_start = now;
            self.count.store(0, Ordering::Relaxed);
        }
        self.count.fetch_add(1, Ordering::Relaxed) < MAX_ANNOUNCEMENTS_PER_SECOND
    }
}

#[derive(Clone)]
struct Context {
    instance: Arc<Instance>,
    rate_limiter: Arc<RateLimiter>,
}

/// Returns the routes of the interface.
pub fn routes(instance: Arc<Instance>) -> impl IntoEndpoint {
    let rate_limiter = RateLimiter {
        window_start: Mutex::new(clock::now()),
        count: AtomicU64::new(0),
    };
    let context = Context {
        instance,
        rate_limiter: Arc::new(rate_limiter),
    };
    Route::new()
        .at("/v1/workers", post(handle_announcement))
        .at("/v1/workers/withdraw", post(handle_withdrawal))
        .at("/v1/status", get(show_status))
        .at("/v1/burn", get(show_burn))
        .at("/metrics", get(show_metrics))
        .data(context)
}

fn json_response(value: &Value) -> Response {
    Response::builder()
        .content_type("application/json")
        .body(value.to_string())
}

fn error_response(fault: &Fault) -> Response {
    let entry = fault.kind.answer();
    let status = StatusCode::from_u16(entry.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = json!({
        "code": entry.code,
        "executed": entry.executed.name(),
        "retry": entry.retry,
        "context": fault.context,
    });
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body.to_string())
}

async fn read_json<T: DeserializeOwned>(context: &Context, body: Body) -> Result<T, Fault> {
    if !context.rate_limiter.try_acquire() {
        let text =
            format!("expected at most {MAX_ANNOUNCEMENTS_PER_SECOND} announcements per second");
        return Err(Fault::new(Kind::Overloaded, text));
    }
    let bytes = body.into_bytes_limit(MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|e| Fault::new(Kind::TooLarge, e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| Fault::new(Kind::BadRequest, e.to_string()))
}

#[handler]
async fn handle_announcement(Data(context): Data<&Context>, body: Body) -> Response {
    let outcome = match read_json::<Announcement>(context, body).await {
        Ok(announcement) => register(&context.instance, &announcement),
        Err(fault) => Err(fault),
    };
    outcome.map_or_else(
        |fault| error_response(&fault),
        |value| json_response(&value),
    )
}

fn register(instance: &Arc<Instance>, announcement: &Announcement) -> Result<Value, Fault> {
    let now = clock::now();
    let token = instance.registry().announce(now, announcement)?;
    let owners = instance.responsive_first(instance.owners(&announcement.service).to_vec());
    if instance.owns(&announcement.service) || instance.is_draining() {
        let service_state = instance.services.get_or_create(&announcement.service);
        let full = || Fault::new(Kind::Overloaded, "this entry is at its limit of services");
        instance.sync(&*service_state.ok_or_else(full)?);
    }
    let owners: Vec<String> = owners.iter().map(|o| o.platform.to_string()).collect();
    Ok(json!({
        "token": token,
        "home": instance.home(announcement).to_string(),
        "owners": owners,
        "renew_ms": RENEWAL_INTERVAL_MS,
    }))
}

#[handler]
async fn handle_withdrawal(Data(context): Data<&Context>, body: Body) -> Response {
    match read_json::<Withdrawal>(context, body).await {
        Ok(message) => {
            let service = context.instance.services.get(&message.service);
            context.instance.propagate_withdrawal(message);
            if let Some(service_state) = service {
                context.instance.sync(&service_state);
            }
            json_response(&json!({}))
        }
        Err(fault) => error_response(&fault),
    }
}

#[handler]
fn show_status(Data(context): Data<&Context>) -> Response {
    json_response(&crate::status::report(&context.instance))
}

#[handler]
fn show_burn(Data(context): Data<&Context>) -> Response {
    let export = context.instance.burn().export(clock::now());
    match serde_json::to_value(&export) {
        Ok(value) => json_response(&value),
        Err(error) => error_response(&Fault::new(Kind::Internal, error.to_string())),
    }
}

#[handler]
fn show_metrics(Data(context): Data<&Context>) -> Response {
    match context.instance.meters.render() {
        Ok(text) => Response::builder()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => error_response(&Fault::new(Kind::Internal, error.to_string())),
    }
}
