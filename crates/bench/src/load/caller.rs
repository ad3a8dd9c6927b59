//! Callers: each customer asks for addresses, keeps the answer for its time and calls the addresses in order.

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

/// Time to wait for an answer after the deadline has passed.
const GRACE: Duration = Duration::from_secs(2);
/// Time for an entry to answer a question for addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Kind of the request.
    pub class: Class,
    /// Unique name, which the answer repeats.
    pub id: String,
    /// Customer.
    pub customer: String,
    /// Idempotency key.
    pub key: Option<String>,
}

impl Call {
    /// Creates a call of a class; a class with keys gets the name as key.
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

    /// Sets the customer.
    #[must_use]
    pub fn customer(mut self, customer: impl Into<String>) -> Self {
        self.customer = customer.into();
        self
    }

    /// Returns the time after which a caller gives up.
    #[must_use]
    pub fn limit(&self) -> Duration {
        // Twice the stated pauses, because timers on a busy machine are late.
        let pauses = Duration::from_secs_f64(self.class.pacing_ms() / 500.0);
        Duration::from_millis(self.class.deadline_ms.into()) + GRACE + pauses
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
        let body = match class.method.as_str() {
            "GET" | "HEAD" => Bytes::new(),
            _ => Bytes::from_static(b"{}"),
        };
        request.body(Full::new(body))
    }
}

/// What a caller learned about one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The whole answer to this request.
    Good,
    /// A success status with a body that belongs to another request or is incomplete.
    Wrong,
    /// An error answer with its code, or the status when it has none.
    Refused(String),
    /// No whole answer.
    Lost(Failure),
}

/// Result of one call.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What the caller learned.
    pub verdict: Verdict,
    /// What the answer says about execution.
    pub executed: Option<String>,
    /// HTTP status, if there was an answer.
    pub status: Option<u16>,
    /// Time from the start to the end of the call, connecting included.
    pub latency: Duration,
    /// Entry that was called last.
    pub entry: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
}

/// Callers with their cached addresses; they share connections. Each customer keeps answers of its own, because one cache for
/// all would send the whole load to the first address of one answer.
#[derive(Debug)]
pub struct Caller {
    http: Http,
    seeds: Vec<SocketAddr>,
    direct: bool,
    turn: AtomicUsize,
    cache: Mutex<HashMap<String, Cached>>,
}

/// Addresses with the end of their time.
type Cached = (Vec<SocketAddr>, Instant);

fn cache_key(service: &str, customer: &str) -> String {
    format!("{service}/{customer}")
}

impl Caller {
    /// Creates a caller that asks `seeds` for addresses, or that calls them without asking.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>, direct: bool) -> Self {
        Self {
            http: Http::new(),
            seeds,
            direct,
            turn: AtomicUsize::new(0),
            cache: Mutex::default(),
        }
    }

    /// Sends one request; only after a failure to connect is the next address tried.
    pub async fn call(&self, call: &Call) -> Outcome {
        let start = Instant::now();
        let mut outcome = None;
        for address in self.addresses(&call.class.service, &call.customer).await {
            let tried = self.call_at(call, address).await;
            let next = tried.verdict == Verdict::Lost(Failure::Connect);
            outcome = Some(tried);
            if !next {
                break;
            }
            self.forget(&call.class.service, &call.customer, address);
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

    /// Sends one request to one address.
    pub async fn call_at(&self, call: &Call, address: SocketAddr) -> Outcome {
        let start = Instant::now();
        let answer = match call.request(address) {
            Ok(request) => self.http.send(request, call.limit()).await,
            Err(error) => Err(Failure::Broken(error.to_string())),
        };
        Outcome {
            verdict: judge(call, &answer),
            executed: answer.as_ref().ok().and_then(executed),
            status: answer.as_ref().ok().map(|a| a.status.as_u16()),
            latency: start.elapsed(),
            entry: Some(address),
        }
    }

    /// Returns the addresses that serve `service`, from the customer's cache while the answer lasts.
    pub async fn addresses(&self, service: &str, customer: &str) -> Vec<SocketAddr> {
        if self.direct {
            // Workers have no fleet that spreads callers, so that the caller rotates.
            let mut seeds = self.seeds.clone();
            let by = self.turn.fetch_add(1, Ordering::Relaxed) % seeds.len().max(1);
            seeds.rotate_left(by);
            return seeds;
        }
        let key = cache_key(service, customer);
        if let Some((addresses, until)) = self.cached(&key)
            && until > Instant::now()
        {
            return addresses;
        }
        let first = self.turn.fetch_add(1, Ordering::Relaxed);
        for seed in self
            .seeds
            .iter()
            .cycle()
            .skip(first % self.seeds.len().max(1))
            .take(self.seeds.len())
        {
            let path = format!("/_chestnutvalve/addresses?service={service}");
            let answer = self.http.get(*seed, &path, ADDRESS_TIMEOUT).await;
            let answer = answer.ok().filter(|a| a.status.is_success());
            let Some(answer) =
                answer.and_then(|a| serde_json::from_slice::<Addresses>(&a.body).ok())
            else {
                continue;
            };
            if !answer.addresses.is_empty() {
                let until = Instant::now() + Duration::from_millis(answer.ttl_ms);
                let value = (answer.addresses.clone(), until);
                self.cache().insert(key, value);
                return answer.addresses;
            }
        }
        // Old addresses are better than none while no entry answers.
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

    /// Moves an address that refused a connection to the end.
    fn forget(&self, service: &str, customer: &str, address: SocketAddr) {
        if let Some((addresses, _)) = self.cache().get_mut(&cache_key(service, customer))
            && addresses.first() == Some(&address)
        {
            addresses.rotate_left(1);
        }
    }
}

fn executed(answer: &Response) -> Option<String> {
    answer.header("chestnutvalve-executed").map(str::to_owned)
}

fn judge(call: &Call, answer: &Result<Response, Failure>) -> Verdict {
    match answer {
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
