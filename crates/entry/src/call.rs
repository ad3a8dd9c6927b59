//! A caller's request, with the settings that apply to it.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::config::{Document, Settings, Target};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::{Customer, Service};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version, header};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::header as name;
use crate::holding::Holder;
use crate::instance::Instance;
use crate::local_reply::Refusal;
use crate::replay::{Replay, Source};
use crate::request_metrics::Timings;

/// Maximum deadline that a caller can set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Route of requests that match no exception with a path.
const DEFAULT_ROUTE: &str = "-";

/// A request to be routed.
#[derive(Debug)]
pub struct Call {
    /// Service of the request.
    pub service: Service,
    /// Customer from the request header, if there is one.
    pub customer: Option<Customer>,
    /// Idempotency key, under which the request runs at most once.
    pub key: Option<String>,
    /// Number of entries that have forwarded the request so far.
    pub hops: u32,
    /// Settings in force for the request, with all matching exceptions applied.
    pub settings: Settings,
    /// Id of the exception with the longest matching path, by which failures are counted.
    pub route: String,
    /// Instant after which the caller no longer waits for a response.
    pub deadline: Instant,
    /// Whether the caller set the deadline. Otherwise it follows from the configured timeout.
    pub has_explicit_deadline: bool,
    /// Whether the request can safely run more than once.
    pub idempotent: bool,
    /// Body of the request.
    pub source: Source,
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: PathAndQuery,
    /// Queue and attempt times, which don't count as latency that the entry adds.
    pub timings: Arc<Timings>,
    headers: HeaderMap,
}

impl Call {
    /// Reads the headers of a request and resolves its settings.
    ///
    /// # Errors
    ///
    /// Refuses a malformed request.
    pub fn read(instance: &Instance, request: Request<Incoming>) -> Result<Self, Refusal> {
        let (mut parts, body) = request.into_parts();
        // HTTP/1.0 has no chunked framing, so a caller could not detect a truncated response.
        if parts.version < Version::HTTP_11 {
            return Err(bad_request("HTTP/1.1 or HTTP/2 is required"));
        }
        if parts.method == Method::CONNECT {
            return Err(bad_request("CONNECT is not supported"));
        }
        let service = requested_service(&parts.uri, &parts.headers)?;
        let customer = text_header(&parts.headers, &name::CUSTOMER)?
            .map(Customer::new)
            .transpose();
        let customer = customer.map_err(|e| bad_request(e.to_string()))?;
        let path = parts.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let (settings, route) =
            resolve(instance, &service, &path, &parts.method, customer.as_ref());
        let key = text_header(&parts.headers, &name::IDEMPOTENCY_KEY)?.map(str::to_owned);
        if key
            .as_ref()
            .is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES)
        {
            let expected = format!("idempotency-key: expected 1 to {MAX_KEY_BYTES} characters");
            return Err(bad_request(expected));
        }
        let idempotent = settings.idempotent || parts.method.is_safe();
        let claimed = !idempotent && key.is_some();
        let (deadline, has_explicit_deadline) = deadline(&parts.headers, &settings, claimed)?;
        let hops = number_header(&parts.headers, &name::FORWARDED)?.unwrap_or(0);
        remove_internal_headers(&mut parts.headers, &parts.uri);
        Ok(Self {
            idempotent,
            hops: u32::try_from(hops).unwrap_or(u32::MAX),
            service,
            customer,
            key,
            settings,
            route,
            deadline,
            has_explicit_deadline,
            source: Source::new(body, Holder::default()),
            method: parts.method,
            path,
            timings: Arc::default(),
            headers: parts.headers,
        })
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Builds the request of one attempt, with its id and the time left in headers.
    #[must_use]
    pub fn attempt_request(&self, attempt: &str, body: Replay) -> Request<Replay> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if let Ok(attempt) = HeaderValue::from_str(attempt) {
            headers.insert(name::ATTEMPT, attempt);
        }
        let left_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        headers.insert(name::DEADLINE, left_ms.into());
        name::frame_body(&mut request);
        request
    }

    /// Builds the request that forwards this one to another entry.
    #[must_use]
    pub fn forward_request(&self, attempt: &str, body: Replay) -> Request<Replay> {
        let mut request = self.attempt_request(attempt, body);
        let headers = request.headers_mut();
        headers.insert(name::FORWARDED, (self.hops + 1).into());
        if let Ok(service) = HeaderValue::from_str(self.service.as_str()) {
            headers.insert(name::SERVICE, service);
        }
        request
    }
}

fn bad_request(context: impl Into<String>) -> Refusal {
    Refusal::new(Kind::BadRequest, context)
}

fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &header::HeaderName,
) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| bad_request(format!("{name}: expected visible ASCII characters")))
}

fn number_header(headers: &HeaderMap, name: &header::HeaderName) -> Result<Option<u64>, Refusal> {
    let value = text_header(headers, name)?.map(str::parse).transpose();
    value.map_err(|_| bad_request(format!("{name}: expected a number")))
}

fn requested_service(uri: &Uri, headers: &HeaderMap) -> Result<Service, Refusal> {
    let named = text_header(headers, &name::SERVICE)?;
    let host = match uri.host() {
        Some(host) => Some(host),
        None => text_header(headers, &header::HOST)?.map(without_port),
    };
    let service = named
        .or(host)
        .ok_or_else(|| bad_request("expected a service name, found none"))?;
    Service::new(service).map_err(|e| bad_request(e.to_string()))
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(host, _)| host)
}

/// Returns the deadline and whether the caller set it.
///
/// The deadline of a claimed request is at most half of the retention of its claim. Otherwise the claim could expire while
/// the request still runs, and a resend would run a second time.
fn deadline(
    headers: &HeaderMap,
    settings: &Settings,
    claimed: bool,
) -> Result<(Instant, bool), Refusal> {
    let stated = number_header(headers, &name::DEADLINE)?;
    let left = stated.unwrap_or(settings.timeout_ms.into());
    let max_ms = if claimed {
        u64::from(settings.once_retention_s) * 1_000 / 2
    } else {
        MAX_DEADLINE_MS
    };
    let left = Duration::from_millis(left.min(MAX_DEADLINE_MS).min(max_ms));
    Ok((Instant::now() + left, stated.is_some()))
}

fn resolve(
    instance: &Instance,
    service: &Service,
    path: &PathAndQuery,
    method: &Method,
    customer: Option<&Customer>,
) -> (Settings, String) {
    let target = Target {
        service,
        path: Some(path.path()),
        method: Some(method.as_str()),
        customer,
    };
    let state = instance.control_state.current();
    let resolve_in = |document: &Document| {
        let matching = document
            .exceptions
            .values()
            .filter(|e| e.on.covers(&target));
        let paths = matching.filter_map(|e| e.on.path.as_ref().map(|p| (p.len(), &e.id)));
        let route = paths.max().map_or(DEFAULT_ROUTE, |(_, id)| id);
        (document.resolve(&target), route.to_owned())
    };
    match instance.services.get(service) {
        Some(service_state) => resolve_in(&service_state.document(&state)),
        None => resolve_in(&state.document),
    }
}

/// Removes the headers that are not forwarded to the worker.
fn remove_internal_headers(headers: &mut HeaderMap, uri: &Uri) {
    name::remove_hop_by_hop(headers);
    // The server sends `100 Continue` itself when it reads the body.
    headers.remove(header::EXPECT);
    headers.remove(name::ATTEMPT);
    headers.remove(name::FORWARDED);
    if let Some(authority) = uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(header::HOST, host);
    }
}
