//! Names of the headers between callers, the gateway and workers.

use std::time::Duration;

use http::{HeaderName, HeaderValue};

use crate::header as name;

/// Header names of one deployment. The default names are the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of one attempt of a caller, which workers repeat in their responses.
    pub request_id: HeaderName,
    /// Time left, in milliseconds.
    pub deadline: HeaderName,
    /// Name of the worker that may run the request.
    pub worker: HeaderName,
    /// Present on a worker's response when the request was not executed.
    pub not_executed: HeaderName,
    /// Load of the worker.
    pub load: HeaderName,
    /// Present on every response that a worker has made.
    pub signature: HeaderName,
    /// Time after which a refused caller may come back.
    pub retry_after: HeaderName,
    /// Writes that time.
    pub format_retry_after: fn(Duration) -> HeaderValue,
    /// Reads the requests that run and wait at the worker from its load.
    pub parse_load: fn(&str) -> Option<u32>,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: name::ATTEMPT,
            deadline: name::DEADLINE,
            worker: HeaderName::from_static("chestnutvalve-expected-worker"),
            not_executed: HeaderName::from_static("chestnutvalve-not-executed"),
            load: name::LOAD,
            signature: HeaderName::from_static("chestnutvalve-signature"),
            retry_after: name::RETRY_AFTER,
            format_retry_after: |after| {
                let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
                HeaderValue::from(after)
            },
            parse_load: |load| load.parse().ok(),
        }
    }
}
