//! A caller's request, as the parts that route it see it.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::config::{Document, Settings, Target};
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::{Customer, Service};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version, header};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::account::Spent;
use crate::header as name;
use crate::instance::Instance;
use crate::local_reply::Refusal;
use crate::replay::{Replay, Source};

/// Longest deadline that a caller may state, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Route of requests that no exception with a path covers.
const DEFAULT_ROUTE: &str = "-";

/// A request to be routed.
#[derive(Debug)]
pub struct Call {
    /// Service of the request.
    pub service: Service,
    /// Customer, if the caller stated one.
    pub customer: Option<Customer>,
    /// Key under which the request runs at most once.
    pub key: Option<String>,
    /// Number of entries that have forwarded the request.
    pub hops: u32,
    /// Settings for the request.
    pub settings: Settings,
    /// Exception that defines the route, for failure statistics.
    pub route: String,
    /// Instant after which the caller has no use for a response.
    pub deadline: Instant,
    /// Whether the caller stated the deadline.
    pub stated: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Body of the request.
    pub source: Source,
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: PathAndQuery,
    /// Time spent elsewhere than in the entry's own work.
    pub spent: Arc<Spent>,
    headers: HeaderMap,
}

impl Call {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Refuses a malformed request.
    pub fn read(instance: &Instance, request: Request<Incoming>) -> Result<Self, Refusal> {
        let (mut parts, body) = request.into_parts();
        // Without chunked framing a caller could take a truncated response for a complete one.
        if parts.version < Version::HTTP_11 {
            return Err(bad("HTTP/1.1 or HTTP/2 is required"));
        }
        if parts.method == Method::CONNECT {
            return Err(bad("CONNECT is not supported"));
        }
        let service = service(&parts.uri, &parts.headers)?;
        let customer = text(&parts.headers, &name::CUSTOMER)?
            .map(Customer::new)
            .transpose();
        let customer = customer.map_err(|e| bad(e.to_string()))?;
        let path = parts.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let (settings, route) =
            resolve(instance, &service, &path, &parts.method, customer.as_ref());
        let key = text(&parts.headers, &name::IDEMPOTENCY_KEY)?.map(str::to_owned);
        if key
            .as_ref()
            .is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES)
        {
            let expected = format!("idempotency-key: expected 1 to {MAX_KEY_BYTES} characters");
            return Err(bad(expected));
        }
        let idempotent = settings.idempotent || parts.method.is_safe();
        let claimed = !idempotent && key.is_some();
        let (deadline, stated) = deadline(&parts.headers, &settings, claimed)?;
        let hops = number(&parts.headers, &name::FORWARDED)?.unwrap_or(0);
        clean(&mut parts.headers, &parts.uri);
        Ok(Self {
            idempotent,
            hops: u32::try_from(hops).unwrap_or(u32::MAX),
            service,
            customer,
            key,
            settings,
            route,
            deadline,
            stated,
            source: Source::new(body),
            method: parts.method,
            path,
            spent: Arc::default(),
            headers: parts.headers,
        })
    }

    /// Returns the time left.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the request of one attempt.
    #[must_use]
    pub fn request(&self, attempt: &str, body: Replay) -> Request<Replay> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if let Ok(attempt) = HeaderValue::from_str(attempt) {
            headers.insert(name::ATTEMPT, attempt);
        }
        let left = u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX);
        headers.insert(name::DEADLINE, left.into());
        request
    }

    /// Returns the request that forwards this one to another entry.
    #[must_use]
    pub fn forwarded(&self, attempt: &str, body: Replay) -> Request<Replay> {
        let mut request = self.request(attempt, body);
        let headers = request.headers_mut();
        headers.insert(name::FORWARDED, (self.hops + 1).into());
        if let Ok(service) = HeaderValue::from_str(self.service.as_str()) {
            headers.insert(name::SERVICE, service);
        }
        request
    }
}

fn bad(context: impl Into<String>) -> Refusal {
    Refusal::new(Kind::BadRequest, context)
}

fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| bad(format!("{name}: expected visible ASCII characters")))
}

fn number(headers: &HeaderMap, name: &header::HeaderName) -> Result<Option<u64>, Refusal> {
    let value = text(headers, name)?.map(str::parse).transpose();
    value.map_err(|_| bad(format!("{name}: expected a number")))
}

fn service(uri: &Uri, headers: &HeaderMap) -> Result<Service, Refusal> {
    let stated = text(headers, &name::SERVICE)?;
    let host = match uri.host() {
        Some(host) => Some(host),
        None => text(headers, &header::HOST)?.map(without_port),
    };
    let service = stated.or(host).ok_or_else(|| bad("no service is named"))?;
    Service::new(service).map_err(|e| bad(e.to_string()))
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(host, _)| host)
}

/// Returns the deadline and whether the caller stated it.
///
/// A claimed request ends within half of the retention of its claim. Otherwise the claim could expire while the request
/// still runs, and a resend would run a second time.
fn deadline(
    headers: &HeaderMap,
    settings: &Settings,
    claimed: bool,
) -> Result<(Instant, bool), Refusal> {
    let stated = number(headers, &name::DEADLINE)?;
    let left = stated.unwrap_or(settings.timeout_ms.into());
    let most = if claimed {
        u64::from(settings.once_retention_s) * 1_000 / 2
    } else {
        MAX_DEADLINE_MS
    };
    let left = Duration::from_millis(left.min(MAX_DEADLINE_MS).min(most));
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
    let resolved = |document: &Document| {
        let covering = document
            .exceptions
            .values()
            .filter(|e| e.on.covers(&target));
        let paths = covering.filter_map(|e| e.on.path.as_ref().map(|p| (p.len(), &e.id)));
        let route = paths.max().map_or(DEFAULT_ROUTE, |(_, id)| id);
        (document.resolve(&target), route.to_owned())
    };
    match instance.services.get(service) {
        Some(serving) => resolved(&serving.document(&state)),
        None => resolved(&state.document),
    }
}

/// Leaves what is passed on to the worker.
fn clean(headers: &mut HeaderMap, uri: &Uri) {
    name::remove_hop_by_hop(headers);
    // The server answers the expectation when it reads the body.
    headers.remove(header::EXPECT);
    headers.remove(name::ATTEMPT);
    headers.remove(name::FORWARDED);
    if let Some(authority) = uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(header::HOST, host);
    }
}
