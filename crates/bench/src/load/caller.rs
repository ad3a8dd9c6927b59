//! Callers. Each customer requests the addresses of a service, caches them until they expire and calls them in order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;

use super::Class;
use crate::client::{Failure, Http, Response};
use crate::payload;

/// Time to wait for a response after the deadline has passed.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);

/// One request of a customer.
#[derive(Clone, Debug)]
pub struct Call {
    /// Class of the request.
    pub class: Class,
    /// Unique id, which the response body repeats.
    pub id: String,
    /// Name of the customer.
    pub customer: String,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
}

impl Call {
    /// Creates a call of a class. If the class has keys, the key is derived from the id.
    #[must_use]
    pub fn new(class: &Class, id: impl Into<String>) -> Self {
        let id = id.into();
        Self {
            key: class.key.then(|| format!("k-{id}")),
            class: class.clone(),
            id,
            customer: "c0".into(),
        }
    }

    /// Replaces the customer, which is `c0` by default.
    #[must_use]
    pub fn customer(mut self, customer: impl Into<String>) -> Self {
        self.customer = customer.into();
        self
    }

    /// Returns the timeout of the call.
    #[must_use]
    pub fn limit(&self) -> Duration {
        // Allows twice the configured pauses, because timers fire late on a busy machine.
        let pauses = Duration::from_secs_f64(self.class.pacing_ms() / 500.0);
        Duration::from_millis(self.class.deadline_ms.into()) + RESPONSE_GRACE + pauses
    }

    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, http::Error> {
        let class = &self.class;
        let (path, size, pace) = (&class.path, class.size, class.pace_ms);
        let mut request = Request::builder()
            .method(class.method.as_str())
            .uri(format!("http://{address}{path}?size={size}&pace_ms={pace}"))
            .header("chestnutvalve-service", &class.service)
            .header("chestnutvalve-customer", &self.customer)
            .header("chestnutvalve-deadline-ms", class.deadline_ms)
            .header(payload::REQUEST_HEADER, &self.id)
            .header("chestnutvalve-attempt", &self.id);
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(credentials) = &class.credentials {
            let bearer = format!("Bearer {}", credentials.key);
            request = request
                .header(http::header::AUTHORIZATION, bearer)
                .header(payload::EXPECTED_CUSTOMER_HEADER, &credentials.customer);
        }
        let body = match class.method.as_str() {
            "GET" | "HEAD" => Bytes::new(),
            _ => Bytes::from_static(b"{}"),
        };
        request.body(Full::new(body))
    }
}

/// Result of one request as its caller sees it. Printed in reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The complete response to this request.
    Good,
    /// A success status with a body of another request or an incomplete one.
    Wrong,
    /// An error response with its error code, or its status if it has none.
    Refused(String),
    /// No complete response.
    Lost(Failure),
}

/// Result of one call.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Result as the caller sees it.
    pub verdict: Verdict,
    /// Value of the response header that states whether the request was executed.
    pub executed: Option<String>,
    /// HTTP status, if there was a response.
    pub status: Option<u16>,
    /// Time from the start to the end of the call, including connection setup and earlier addresses.
    pub latency: Duration,
    /// Address that was called last.
    pub entry: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
}

/// Callers with their cached addresses. They share a connection pool. Each customer has its own cache, because a shared one
/// would send the whole load to the first address of one response.
#[derive(Debug)]
pub struct Caller {
    http: Http,
    seeds: Vec<SocketAddr>,
    direct: bool,
    rotation: AtomicUsize,
    cache: Mutex<HashMap<String, Cached>>,
}

/// Addresses with their expiry.
type Cached = (Vec<SocketAddr>, Instant);

fn cache_key(service: &str, customer: &str) -> String {
    format!("{service}/{customer}")
}

impl Caller {
    /// Creates a caller that requests addresses from `seeds` or, if `direct`, calls the seeds themselves.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, direct: bool) -> Self {
        Self {
            http: Http::new(),
            seeds,
            direct,
            rotation: AtomicUsize::new(0),
            cache: Mutex::default(),
        }
    }

    /// Sends one request. Tries the next address only after a failure to connect, since then nothing was sent.
    pub async fn call(&self, call: &Call) -> Outcome {
        let start = Instant::now();
        let mut outcome = None;
        for address in self.addresses(&call.class.service, &call.customer).await {
            let attempt = self.call_at(call, address).await;
            let next = attempt.verdict == Verdict::Lost(Failure::Connect);
            outcome = Some(attempt);
            if !next {
                break;
            }
            self.demote(&call.class.service, &call.customer, address);
        }
        let mut outcome = outcome.unwrap_or(Outcome {
            verdict: Verdict::Lost(Failure::Connect),
            executed: None,
            status: None,
            latency: Duration::ZERO,
            entry: None,
        });
        outcome.latency = start.elapsed();
        outcome
    }

    /// Sends one request to `address`, without trying others.
    pub async fn call_at(&self, call: &Call, address: SocketAddr) -> Outcome {
        let start = Instant::now();
        let response = match call.request(address) {
            Ok(request) => self.http.send(request, call.limit()).await,
            Err(error) => Err(Failure::Broken(error.to_string())),
        };
        Outcome {
            verdict: classify(call, &response),
            executed: response.as_ref().ok().and_then(executed),
            status: response.as_ref().ok().map(|a| a.status.as_u16()),
            latency: start.elapsed(),
            entry: Some(address),
        }
    }

    /// Returns the addresses for `service`, from the customer's cache until they expire. Falls back to expired ones if no seed
    /// responds; empty if there are none.
    pub async fn addresses(&self, service: &str, customer: &str) -> Vec<SocketAddr> {
        if self.direct {
            // Without an entry that spreads the callers, the caller rotates the addresses itself.
            let mut seeds = self.seeds.clone();
            let offset = self.rotation.fetch_add(1, Ordering::Relaxed) % seeds.len().max(1);
            seeds.rotate_left(offset);
            return seeds;
        }
        let key = cache_key(service, customer);
        if let Some((addresses, expires)) = self.cached(&key)
            && expires > Instant::now()
        {
            return addresses;
        }
        let first = self.rotation.fetch_add(1, Ordering::Relaxed);
        for seed in self
            .seeds
            .iter()
            .cycle()
            .skip(first % self.seeds.len().max(1))
            .take(self.seeds.len())
        {
            let path = format!("/_chestnutvalve/addresses?service={service}");
            let response = self.http.get(*seed, &path, ADDRESS_TIMEOUT).await;
            let response = response.ok().filter(|a| a.status.is_success());
            let Some(response) =
                response.and_then(|a| serde_json::from_slice::<Addresses>(&a.body).ok())
            else {
                continue;
            };
            if !response.addresses.is_empty() {
                let expires = Instant::now() + Duration::from_millis(response.ttl_ms);
                let value = (response.addresses.clone(), expires);
                self.cache().insert(key, value);
                return response.addresses;
            }
        }
        // Expired addresses are better than none while no entry responds.
        self.cached(&key).map(|(a, _)| a).unwrap_or_default()
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, HashMap<String, Cached>> {
        self.cache
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn cached(&self, key: &str) -> Option<Cached> {
        self.cache().get(key).cloned()
    }

    /// Moves an address that refused a connection to the end of the customer's list.
    fn demote(&self, service: &str, customer: &str, address: SocketAddr) {
        if let Some((addresses, _)) = self.cache().get_mut(&cache_key(service, customer))
            && addresses.first() == Some(&address)
        {
            addresses.rotate_left(1);
        }
    }
}

fn executed(response: &Response) -> Option<String> {
    response.header("chestnutvalve-executed").map(str::to_owned)
}

fn classify(call: &Call, response: &Result<Response, Failure>) -> Verdict {
    match response {
        Err(failure) => Verdict::Lost(failure.clone()),
        Ok(a) if a.status.is_success() => {
            if payload::matches(&a.body, &call.id, call.class.size) {
                Verdict::Good
            } else {
                Verdict::Wrong
            }
        }
        Ok(a) => {
            let status = || a.status.as_str().to_owned();
            Verdict::Refused(a.code().map_or_else(status, str::to_owned))
        }
    }
}
