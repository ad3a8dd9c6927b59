//! Names of the protocol's own headers, and removal of hop-by-hop headers.

use http::Request;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http_body::Body;

/// Name of the requested service.
pub const SERVICE: HeaderName = HeaderName::from_static("chestnutvalve-service");
/// Customer on whose behalf the request is made.
pub const CUSTOMER: HeaderName = HeaderName::from_static("chestnutvalve-customer");
/// Time left for the request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("chestnutvalve-deadline-ms");
/// Key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of one attempt, which the worker echoes.
pub const ATTEMPT: HeaderName = HeaderName::from_static("chestnutvalve-attempt");
/// Number of entries that have forwarded the request so far.
pub const FORWARDED: HeaderName = HeaderName::from_static("chestnutvalve-forwarded");
/// Code of the error with which a request was refused.
pub const ERROR: HeaderName = HeaderName::from_static("chestnutvalve-error");
/// Whether the request was executed: `no`, `yes` or `unknown`.
pub const EXECUTED: HeaderName = HeaderName::from_static("chestnutvalve-executed");
/// Delay after which a retry can succeed, in milliseconds.
pub const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after-ms");
/// State of the worker: `accepting` or `leaving`.
pub const WORKER: HeaderName = HeaderName::from_static("chestnutvalve-worker");
/// Number of requests in progress at the worker.
pub const LOAD: HeaderName = HeaderName::from_static("chestnutvalve-load");

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the headers that apply to a single connection.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        // Transfer encoding takes precedence over a content length that contradicts it.
        headers.remove(header::CONTENT_LENGTH);
    }
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// States the framing of a body of unknown size, so that it is sent with any method. The HTTP library otherwise sends no
/// such body with GET and HEAD.
pub fn frame_body(request: &mut Request<impl Body>) {
    let body = request.body();
    if body.size_hint().exact().is_none() && !body.is_end_stream() {
        let chunked = HeaderValue::from_static("chunked");
        request
            .headers_mut()
            .insert(header::TRANSFER_ENCODING, chunked);
    }
}
