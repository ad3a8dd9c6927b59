//! HTTP client for the operator API.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::Kind;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::timeout;

use crate::Error;

/// Maximum size of a response body: a configuration of the maximum size fits.
const MAX_RESPONSE_BYTES: usize = 128 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure of a request to one instance.
#[derive(Debug)]
pub enum RequestError {
    /// No connection was established, so nothing was sent.
    Unreachable(String),
    /// The exchange failed or timed out after the request may have been sent. Its outcome is unknown.
    Interrupted(String),
    /// The instance responded with an error status.
    Rejected {
        /// Error kind; `None` if this program doesn't know the code.
        kind: Option<Kind>,
        /// Response body.
        body: Value,
    },
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(cause) | Self::Interrupted(cause) => f.write_str(cause),
            Self::Rejected { body, .. } => {
                let text = |field: &str| body[field].as_str().unwrap_or("no details").to_owned();
                write!(f, "{}: {}", text("code"), text("context"))
            }
        }
    }
}

/// HTTP client with the global options of the command line.
#[derive(Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Operator addresses of the control instances, in order of preference.
    pub controls: Vec<SocketAddr>,
    timeout: Duration,
    token_file: Option<PathBuf>,
}

impl Client {
    /// Creates a client from the global arguments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] when the timeout is missing.
    pub fn new(matches: &clap::ArgMatches) -> Result<Self, Error> {
        let controls = matches.get_many("control").into_iter().flatten().copied();
        let timeout_ms: Option<&u64> = matches.get_one("timeout-ms");
        let timeout_ms =
            timeout_ms.ok_or_else(|| Error::Usage("expected --timeout-ms".to_owned()))?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Self {
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
            controls: controls.collect(),
            timeout: Duration::from_millis(*timeout_ms),
            token_file: matches.get_one::<PathBuf>("token-file").cloned(),
        })
    }

    /// Reads the operator token.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] when no token file is given or it can't be read.
    pub fn read_token(&self) -> Result<String, Error> {
        let file = self.token_file.as_ref();
        let file = file.ok_or_else(|| Error::Usage("changes require --token-file".to_owned()))?;
        let text = std::fs::read_to_string(file);
        let text = text.map_err(|e| Error::Usage(format!("{}: {e}", file.display())))?;
        Ok(text.trim_end().to_owned())
    }

    /// Sends a GET request to the control instances in turn until one responds with success.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Failed`] with the error of each instance, or when the response can't be parsed.
    pub async fn get_any<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.get_first(path, None).await
    }

    /// As [`Client::get_any`], with the operator token if one is given.
    ///
    /// # Errors
    ///
    /// As [`Client::get_any`], and returns [`Error::Usage`] when the token file can't be read.
    pub async fn get_any_authorized<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let token = self.token_file.is_some().then(|| self.read_token());
        self.get_first(path, token.transpose()?.as_deref()).await
    }

    /// As [`Client::get_any_authorized`], but returns `None` when an instance responds that there is no such resource, and
    /// leaves the response unparsed, since errors about a document with keys must not quote it.
    ///
    /// # Errors
    ///
    /// As [`Client::get_any_authorized`].
    pub async fn find_any_authorized(&self, path: &str) -> Result<Option<Value>, Error> {
        let token = self.token_file.is_some().then(|| self.read_token());
        let token = token.transpose()?;
        let mut errors = Vec::new();
        for control in &self.controls {
            match self.get_with(*control, path, token.as_deref()).await {
                Ok(value) => return Ok(Some(value)),
                Err(RequestError::Rejected {
                    kind: Some(Kind::NotFound),
                    ..
                }) => return Ok(None),
                Err(error) => errors.push(format!("{control}: {error}")),
            }
        }
        Err(Error::Failed(errors.join("; ")))
    }

    async fn get_first<T: DeserializeOwned>(
        &self,
        path: &str,
        token: Option<&str>,
    ) -> Result<T, Error> {
        let mut errors = Vec::new();
        for control in &self.controls {
            match self.get_with(*control, path, token).await {
                Ok(value) => {
                    let parsed = parse(value);
                    return parsed.map_err(|e| Error::Failed(format!("{control}{path}: {e}")));
                }
                Err(error) => errors.push(format!("{control}: {error}")),
            }
        }
        Err(Error::Failed(errors.join("; ")))
    }

    /// Sends a GET request to one control or entry instance.
    ///
    /// # Errors
    ///
    /// Returns a [`RequestError`] when there is no successful response.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, RequestError> {
        self.get_with(address, path, None).await
    }

    async fn get_with(
        &self,
        address: SocketAddr,
        path: &str,
        token: Option<&str>,
    ) -> Result<Value, RequestError> {
        let mut request = http::Request::get(format!("http://{address}{path}"));
        if let Some(token) = token {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        self.exchange(request, Bytes::new()).await
    }

    /// Sends a POST request with a change to one control instance.
    ///
    /// # Errors
    ///
    /// Returns a [`RequestError`] when there is no successful response.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        token: &str,
        body: Bytes,
    ) -> Result<Value, RequestError> {
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::AUTHORIZATION, format!("Bearer {token}"))
            .header(http::header::CONTENT_TYPE, "application/json");
        self.exchange(request, body).await
    }

    /// Sends a POST request to the first reachable control instance. It is not retried at another instance once it may have
    /// been sent.
    ///
    /// # Errors
    ///
    /// Returns the error that determines the exit code.
    pub async fn post_any(&self, path: &str, body: Bytes) -> Result<Value, Error> {
        let token = self.read_token()?;
        let mut errors = Vec::new();
        for control in &self.controls {
            let error = match self.post(*control, path, &token, body.clone()).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let text = format!("{control}: {error}");
            match error {
                RequestError::Unreachable(_) => errors.push(text),
                RequestError::Interrupted(_)
                | RequestError::Rejected {
                    kind: None | Some(Kind::ChangeUnconfirmed),
                    ..
                } => return Err(Error::Unconfirmed(text)),
                RequestError::Rejected {
                    kind: Some(Kind::BadRequest | Kind::InvalidChange | Kind::NotFound),
                    ..
                } => return Err(Error::Usage(text)),
                RequestError::Rejected {
                    kind: Some(Kind::VersionConflict),
                    ..
                } => {
                    return Err(Error::Conflict {
                        context: text,
                        current: None,
                        difference: None,
                    });
                }
                RequestError::Rejected { .. } => return Err(Error::Failed(text)),
            }
        }
        Err(Error::Failed(errors.join("; ")))
    }

    async fn exchange(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Value, RequestError> {
        let request = request.body(Full::new(body));
        let request = request.map_err(|e| RequestError::Unreachable(e.to_string()))?;
        let exchanged = timeout(self.timeout, self.receive(request)).await;
        let (status, bytes) =
            exchanged.map_err(|_| RequestError::Interrupted("no answer in time".to_owned()))??;
        let value = serde_json::from_slice(&bytes);
        if status.is_success() {
            return value
                .map_err(|e| RequestError::Interrupted(format!("the answer is not JSON: {e}")));
        }
        let body = value.unwrap_or_else(|_| serde_json::json!({ "context": status.to_string() }));
        let kind = serde_json::from_value(body["code"].clone()).ok();
        Err(RequestError::Rejected { kind, body })
    }

    async fn receive(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<(http::StatusCode, Bytes), RequestError> {
        let response = self.http.request(request).await.map_err(|e| {
            if e.is_connect() {
                RequestError::Unreachable(error_chain(&e))
            } else {
                RequestError::Interrupted(error_chain(&e))
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|e| RequestError::Interrupted(e.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

fn parse<T: DeserializeOwned>(value: Value) -> Result<T, serde_json::Error> {
    serde_json::from_value(value)
}

/// Joins the messages of an error and its sources, because the outermost message alone is not specific.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
