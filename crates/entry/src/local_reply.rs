//! Responses that the entry generates itself.

use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::{Fault, Kind};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::header as name;

/// Error while a body is read.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Refusal of a request, with an optional retry delay.
#[derive(Debug)]
pub struct Refusal {
    /// Kind and description of the error.
    pub fault: Fault,
    /// Delay after which a retry by the caller can succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(kind: Kind, context: impl Into<String>) -> Self {
        Fault::new(kind, context).into()
    }
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Self {
        Self {
            fault,
            retry_after: None,
        }
    }
}

/// Returns a body that holds `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a JSON response with status 200.
pub fn json(value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the response for a refusal, with the error in its headers and as JSON.
#[must_use]
pub fn refusal(refusal: &Refusal) -> Response<Body> {
    let answer = refusal.fault.kind.answer();
    let mut response = json(&serde_json::json!({
        "code": answer.code,
        "executed": answer.executed.name(),
        "retry": answer.retry,
        "context": refusal.fault.context,
    }));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(name::ERROR, HeaderValue::from_static(answer.code));
    let executed = HeaderValue::from_static(answer.executed.name());
    headers.insert(name::EXECUTED, executed);
    if let Some(after) = refusal.retry_after {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        headers.insert(name::RETRY_AFTER, after.into());
    }
    response
}
