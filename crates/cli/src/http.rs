//! Calls to the operators' listeners.

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

/// Largest answer that is read: the configuration at its largest.
const MAX_ANSWER_BYTES: usize = 128 * 1024 * 1024;
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why one instance gave no usable answer.
#[derive(Debug)]
pub enum Problem {
    /// No connection was opened, so that nothing was sent.
    Unreachable(String),
    /// The exchange broke or took too long after it began.
    Broken(String),
    /// The instance answered with an error.
    Refused {
        /// Kind, if the code is known to this program.
        kind: Option<Kind>,
        /// The whole body.
        body: Value,
    },
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(cause) | Self::Broken(cause) => f.write_str(cause),
            Self::Refused { body, .. } => {
                let text = |field: &str| body[field].as_str().unwrap_or("no details").to_owned();
                write!(f, "{}: {}", text("code"), text("context"))
            }
        }
    }
}

/// Caller of the control instances.
#[derive(Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Control instances, in the order of preference.
    pub controls: Vec<SocketAddr>,
    timeout: Duration,
    token_file: Option<PathBuf>,
}

impl Client {
    /// Creates a client from the global arguments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] when no control instance is named.
    pub fn new(matches: &clap::ArgMatches) -> Result<Self, Error> {
        let controls = matches.get_many("control").into_iter().flatten().copied();
        let timeout_ms: Option<&u64> = matches.get_one("timeout-ms");
        let timeout_ms = timeout_ms.ok_or_else(|| Error::Usage("no --timeout-ms".to_owned()))?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Self {
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
            controls: controls.collect(),
            timeout: Duration::from_millis(*timeout_ms),
            token_file: matches.get_one::<PathBuf>("token-file").cloned(),
        })
    }

    /// Reads the operators' token.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] when no file is named or it can't be read.
    pub fn token(&self) -> Result<String, Error> {
        let file = self.token_file.as_ref();
        let file = file.ok_or_else(|| Error::Usage("changes need --token-file".to_owned()))?;
        let text = std::fs::read_to_string(file);
        let text = text.map_err(|e| Error::Usage(format!("{}: {e}", file.display())))?;
        Ok(text.trim_end().to_owned())
    }

    /// Reads from the first control instance that answers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Failed`] with what each instance answered.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let mut problems = Vec::new();
        for control in &self.controls {
            match self.get(*control, path).await {
                Ok(value) => {
                    let parsed = serde_path(value);
                    return parsed.map_err(|e| Error::Failed(format!("{control}{path}: {e}")));
                }
                Err(problem) => problems.push(format!("{control}: {problem}")),
            }
        }
        Err(Error::Failed(problems.join("; ")))
    }

    /// Reads from one instance, control or entry.
    ///
    /// # Errors
    ///
    /// Returns the [`Problem`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Problem> {
        let request = http::Request::get(format!("http://{address}{path}"));
        self.exchange(request, Bytes::new()).await
    }

    /// Sends a change to one control instance.
    ///
    /// # Errors
    ///
    /// Returns the [`Problem`].
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        token: &str,
        body: Bytes,
    ) -> Result<Value, Problem> {
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::AUTHORIZATION, format!("Bearer {token}"))
            .header(http::header::CONTENT_TYPE, "application/json");
        self.exchange(request, body).await
    }

    /// Sends a change to the first instance that can be reached; it is not repeated elsewhere once it was sent.
    ///
    /// # Errors
    ///
    /// Returns the error with its exit code.
    pub async fn send(&self, path: &str, body: Bytes) -> Result<Value, Error> {
        let token = self.token()?;
        let mut problems = Vec::new();
        for control in &self.controls {
            let problem = match self.post(*control, path, &token, body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(problem) => problem,
            };
            let text = format!("{control}: {problem}");
            match problem {
                Problem::Unreachable(_) => problems.push(text),
                Problem::Broken(_)
                | Problem::Refused {
                    kind: None | Some(Kind::ChangeUnconfirmed),
                    ..
                } => return Err(Error::Unconfirmed(text)),
                Problem::Refused {
                    kind: Some(Kind::BadRequest | Kind::InvalidChange | Kind::NotFound),
                    ..
                } => return Err(Error::Usage(text)),
                Problem::Refused {
                    kind: Some(Kind::VersionConflict),
                    ..
                } => {
                    return Err(Error::Conflict {
                        context: text,
                        current: None,
                        difference: None,
                    });
                }
                Problem::Refused { .. } => return Err(Error::Failed(text)),
            }
        }
        Err(Error::Failed(problems.join("; ")))
    }

    async fn exchange(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Value, Problem> {
        let request = request.body(Full::new(body));
        let request = request.map_err(|e| Problem::Unreachable(e.to_string()))?;
        let answered = timeout(self.timeout, self.answer(request)).await;
        let (status, bytes) =
            answered.map_err(|_| Problem::Broken("no answer in time".to_owned()))??;
        let value = serde_json::from_slice(&bytes);
        if status.is_success() {
            return value.map_err(|e| Problem::Broken(format!("the answer is not JSON: {e}")));
        }
        let body = value.unwrap_or_else(|_| serde_json::json!({ "context": status.to_string() }));
        let kind = serde_json::from_value(body["code"].clone()).ok();
        Err(Problem::Refused { kind, body })
    }

    async fn answer(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<(http::StatusCode, Bytes), Problem> {
        let response = self.http.request(request).await.map_err(|e| {
            if e.is_connect() {
                Problem::Unreachable(describe(&e))
            } else {
                Problem::Broken(describe(&e))
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|e| Problem::Broken(e.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

fn serde_path<T: DeserializeOwned>(value: Value) -> Result<T, serde_json::Error> {
    serde_json::from_value(value)
}

/// Joins an error and its causes, because the outermost text alone says little.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
