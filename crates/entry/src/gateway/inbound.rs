//! A caller's request as the gateway parses it.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::account::Account;
use chestnutvalve_model::error::Kind;
use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use chestnutvalve_model::routes::{Route, Table};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version, header};
use http_body::Body as _;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Gateway;
use super::credentials::{self, Rejection};
use super::dialect::Dialect;
use crate::header as name;
use crate::holding::Holder;
use crate::local_reply::Refusal;
use crate::replay::{Replay, Source};

/// Maximum timeout that a caller may set, in milliseconds: one hour, which exceeds every timeout of a route.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A request to route.
#[derive(Debug)]
pub struct Inbound {
    /// Id that the caller gave the request; empty if it gave none.
    pub id: String,
    /// Route that the request matches.
    pub route: Route,
    /// Account on whose behalf the request is made; `None` without accounts, and for a request without a valid key on a public
    /// route.
    pub account: Option<Arc<Account>>,
    /// Priority class: that of the account if it has one, else that of the route.
    pub rank: Rank,
    /// Service to which the request goes.
    pub service: Service,
    /// Version of the route table that matched the request.
    pub label: u64,
    /// When the request arrived.
    pub arrived: Instant,
    /// Time by which the caller must have a response.
    pub deadline: Instant,
    /// Body of the request.
    pub source: Source,
    /// Count of the bytes that are held for the caller's connection.
    pub holder: Holder,
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
}

impl Inbound {
    /// Parses a request that arrived at `arrived` on the connection of `holder`.
    ///
    /// # Errors
    ///
    /// Refuses a malformed request, one that exceeds the limits in force, a request that no route matches, one without a valid API key on a route that requires one, and
    /// every request before the first route table.
    pub fn read(
        gateway: &Gateway,
        request: Request<Incoming>,
        arrived: Instant,
        holder: &Holder,
    ) -> Result<Self, Refusal> {
        let (parts, body) = request.into_parts();
        let dialect = &gateway.settings.dialect;
        let path = parts.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let state = gateway.instance.control_state.current();
        let table = Arc::clone(&state.routes);
        if table.label == 0 {
            let context = "this entry has no route table yet";
            return Err(Refusal::new(Kind::NoEligibleWorker, context));
        }
        if parts.version < Version::HTTP_11 {
            let context = "expected HTTP/1.1 or later";
            return Err(Refusal::new(Kind::BadRequest, context));
        }
        if parts.method == Method::CONNECT {
            return Err(Refusal::new(Kind::BadRequest, "CONNECT is not supported"));
        }
        let (length, limit) = (head_bytes(&parts), table.limits.head_bytes);
        if length > usize::try_from(limit).unwrap_or(usize::MAX) {
            let context = format!("expected a head of at most {limit} bytes, found {length}");
            return Err(Refusal::new(Kind::HeadTooLarge, context));
        }
        let host = host(&parts.uri, &parts.headers)?;
        let route = table.find(host, path.path()).ok_or_else(|| {
            let (label, path) = (table.label, path.path());
            let context = format!("no route for {host}{path} in route table version {label:x}");
            Refusal::new(Kind::NotFound, context)
        })?;
        let accounts = &table.accounts;
        let account = credentials::authenticate(accounts, route.public, dialect, &parts.headers)
            .map_err(|rejection| unauthorized(gateway, &table, route, rejection))?;
        let length = body.size_hint().lower();
        if length > table.limits.body_bytes {
            let limit = table.limits.body_bytes;
            let context = format!("expected a body of at most {limit} bytes, found {length}");
            return Err(Refusal::new(Kind::TooLarge, context));
        }
        let service = gateway.choose_service(route).cloned().ok_or_else(|| {
            let context = format!("route {} has no service with a positive weight", route.name);
            Refusal::new(Kind::NoEligibleWorker, context)
        })?;
        let mut headers = parts.headers;
        let deadline = arrived + effective_timeout(dialect, &headers, route)?;
        let id = headers.get(&dialect.request_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let id = id.to_owned();
        name::remove_hop_by_hop(&mut headers);
        headers.remove(header::EXPECT);
        headers.remove(&dialect.worker);
        if !table.accounts.is_empty() {
            credentials::replace(&mut headers, dialect, account.as_deref());
        }
        let rank = account.as_ref().and_then(|account| account.rank);
        Ok(Self {
            id,
            account,
            rank: rank.unwrap_or(route.rank),
            route: route.clone(),
            service,
            label: table.label,
            arrived,
            deadline,
            source: Source::new(body, holder.clone()),
            holder: holder.clone(),
            method: parts.method,
            path,
            headers,
        })
    }

    /// Brings the deadline forward to `limit`. A request that can't end by then is refused when it is admitted, while its caller
    /// still has time to use another entry.
    #[must_use]
    pub fn limit_deadline(mut self, limit: Option<Instant>) -> Self {
        self.deadline = limit.map_or(self.deadline, |limit| self.deadline.min(limit));
        self
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the request to send in one attempt at `worker`.
    #[must_use]
    pub fn attempt_request(
        &self,
        dialect: &Dialect,
        worker: &str,
        body: Replay,
    ) -> Request<Replay> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let left = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        headers.insert(&dialect.deadline, left.max(1).into());
        if let Ok(worker) = HeaderValue::from_str(worker) {
            headers.insert(&dialect.worker, worker);
        }
        name::frame_body(&mut request);
        request
    }
}

fn unauthorized(gateway: &Gateway, table: &Table, route: &Route, rejection: Rejection) -> Refusal {
    gateway.instance.meters.count_rejection(rejection.name());
    let dialect = &gateway.settings.dialect;
    let (label, name) = (table.label, &route.name);
    let (header, scheme) = (&dialect.credentials, dialect.scheme);
    let context = format!(
        "route {name} in route table version {label:x}: expected the header {header}: {scheme} KEY, found {rejection}"
    );
    Refusal::new(Kind::Unauthorized, context)
}

/// Returns the size of a request head: the request line, the headers and the empty line.
fn head_bytes(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let authority = parts.uri.authority().map_or(0, |a| a.as_str().len());
    let line = parts.method.as_str().len() + authority + target + "  HTTP/1.1\r\n".len();
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + headers.sum::<usize>() + "\r\n".len()
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Result<&'a str, Refusal> {
    let stated = headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = uri.host().or(stated);
    let host = host.ok_or_else(|| Refusal::new(Kind::BadRequest, "the request names no host"))?;
    Ok(host.rsplit_once(':').map_or(host, |(host, _)| host))
}

/// Returns the timeout that the caller set, if it set one.
///
/// # Errors
///
/// Refuses a value that is not a number of milliseconds.
pub fn caller_timeout(dialect: &Dialect, headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(stated) = headers.get(&dialect.deadline) else {
        return Ok(None);
    };
    let stated = stated.to_str().ok();
    let stated: Option<u64> = stated.and_then(|text| text.trim().parse().ok());
    let stated = stated.ok_or_else(|| {
        let context = format!(
            "{}: expected an integer number of milliseconds",
            dialect.deadline
        );
        Refusal::new(Kind::BadRequest, context)
    })?;
    Ok(Some(Duration::from_millis(stated.min(MAX_DEADLINE_MS))))
}

fn effective_timeout(
    dialect: &Dialect,
    headers: &HeaderMap,
    route: &Route,
) -> Result<Duration, Refusal> {
    let limit = Duration::from_millis(route.timeout_ms);
    let stated = caller_timeout(dialect, headers)?;
    Ok(stated.map_or(limit, |stated| limit.min(stated)))
}
