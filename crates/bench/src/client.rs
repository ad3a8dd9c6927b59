//! HTTP client for callers, workers and measurements.

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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why an exchange has no complete response. Printed in reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Connect,
    /// The connection failed before the response head was received.
    Broken(String),
    /// The response body ended early, after this many bytes.
    Cut(usize),
    /// The exchange exceeded its timeout.
    Timeout,
}

impl Failure {
    /// Returns the name of the failure in reports.
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

/// Complete HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Response {
    /// Returns the value of a header, `None` if it is absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the error code of the `chestnutvalve-error` header.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        self.header("chestnutvalve-error")
    }

    /// Returns the body parsed as JSON, or null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// HTTP/1.1 client with a connection pool. Clones share the pool.
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

    /// Sends a request and reads the complete response within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no complete response.
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
                Failure::Broken(format_error_chain(&error))
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

    /// Sends a GET request for `path` to `address`. Responses with an error status are returned as they are.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` is not on the loopback network or there is no complete response within `limit`.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Response, Error> {
        self.request_json(Method::GET, address, path, None, None, limit)
            .await
    }

    /// Posts JSON, with `token` as bearer token if there is one. Responses with an error status are returned as they are.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` is not on the loopback network or there is no complete response within `limit`.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
        token: Option<&str>,
        limit: Duration,
    ) -> Result<Response, Error> {
        self.request_json(Method::POST, address, path, Some(value), token, limit)
            .await
    }

    async fn request_json(
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
        let response = self.send(request, limit).await;
        response.map_err(|cause| Error::Http {
            what: what(),
            cause: format!("{cause:?}"),
        })
    }
}

fn format_error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
