//! HTTP client of callers, workers and measurements.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;
use tokio::time::timeout;

use crate::error::{Error, loopback};

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an exchange has no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Connect,
    /// The connection broke before the answer's head.
    Broken(String),
    /// The answer's body broke off after this many bytes.
    Cut(usize),
    /// The exchange did not finish in time.
    Timeout,
}

impl Failure {
    /// Returns the name used in reports.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Broken(_) => "broken",
            Self::Cut(_) => "cut",
            Self::Timeout => "timeout",
        }
    }
}

/// Whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Returns a header's value.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the error code that the fleet stated.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        self.header("chestnutvalve-error")
    }

    /// Returns the body as JSON, or null.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// HTTP/1.1 client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

impl Http {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response, Failure> {
        let exchange = timeout(limit, self.exchange(request)).await;
        exchange.unwrap_or(Err(Failure::Timeout))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response, Failure> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Failure::Connect
            } else {
                Failure::Broken(chain(&error))
            }
        })?;
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Failure::Cut(bytes.len()))?;
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
        }
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body: bytes.into(),
        })
    }

    /// Fetches JSON from a path of `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer with a success status.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Response, Error> {
        self.call(Method::GET, address, path, None, None, limit)
            .await
    }

    /// Posts JSON, with the operators' token if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer; an answer with an error status is returned as it is.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
        token: Option<&str>,
        limit: Duration,
    ) -> Result<Response, Error> {
        self.call(Method::POST, address, path, Some(value), token, limit)
            .await
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        value: Option<&Value>,
        token: Option<&str>,
        limit: Duration,
    ) -> Result<Response, Error> {
        let address = loopback(address)?;
        let what = || format!("{method} http://{address}{path}");
        let mut request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{address}{path}"));
        if let Some(token) = token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        if value.is_some() {
            request = request.header("content-type", "application/json");
        }
        let body = value.map(Value::to_string).unwrap_or_default();
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|cause| Error::Http {
                what: what(),
                cause: cause.to_string(),
            })?;
        let answer = self.send(request, limit).await;
        answer.map_err(|cause| Error::Http {
            what: what(),
            cause: format!("{cause:?}"),
        })
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
