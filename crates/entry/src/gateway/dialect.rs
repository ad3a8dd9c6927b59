//! Headers that callers, the gateway and workers exchange.

use std::time::Duration;

use http::{HeaderName, HeaderValue, header};

use crate::header as name;

/// Header names and formats of one deployment. The defaults are the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of one attempt of a caller. Workers repeat it in their responses.
    pub request_id: HeaderName,
    /// Time left until the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Name of the worker that the request is meant for.
    pub worker: HeaderName,
    /// Present on a worker's response if the worker did not execute the request.
    pub not_executed: HeaderName,
    /// Load that a worker reports.
    pub load: HeaderName,
    /// Present on every response that a worker produced.
    pub signature: HeaderName,
    /// Time after which a refused request may be retried: by the caller in a refusal of the gateway, by the gateway in
    /// one of a worker.
    pub retry_after: HeaderName,
    /// Formats the value of `retry_after`.
    pub format_retry_after: fn(Duration) -> HeaderValue,
    /// Parses the value of `retry_after`. Returns `None` for a value that is not a time.
    pub parse_retry_after: fn(&str) -> Option<Duration>,
    /// Credentials of a caller: `SCHEME KEY` with the API key of a customer.
    pub credentials: HeaderName,
    /// Scheme of the credentials.
    pub scheme: &'static str,
    /// Name of the customer on whose behalf the request is made. Workers receive it if there are accounts.
    pub customer: HeaderName,
    /// State of a worker.
    pub state: HeaderName,
    /// Value of `state` in the responses of a worker that leaves.
    pub leaving: HeaderValue,
    /// Parses the number of requests that run or wait at the worker from its load.
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
            parse_retry_after: |after| after.trim().parse().ok().map(Duration::from_millis),
            credentials: header::AUTHORIZATION,
            scheme: "Bearer",
            customer: name::CUSTOMER,
            state: name::WORKER,
            leaving: HeaderValue::from_static("leaving"),
            parse_load: |load| load.parse().ok(),
        }
    }
}
