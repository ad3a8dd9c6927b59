//! Response bodies that tell to which request they belong and whether they are complete.

use bytes::{Bytes, BytesMut};

/// Request header that names the request; the worker's answer repeats it in the body.
pub const REQUEST_HEADER: &str = "bench-request";
/// Smallest body, in bytes.
pub const DEFAULT_BYTES: usize = 256;
/// Largest body, in bytes.
pub const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Builds the body of `size` bytes for the request `id`: the id and a line feed, repeated.
#[must_use]
pub fn build(id: &str, size: usize) -> Bytes {
    slice(id, 0, size)
}

/// Builds the bytes from `start` to `end` of the body for `id`.
#[must_use]
pub fn slice(id: &str, start: usize, end: usize) -> Bytes {
    let mut bytes = BytesMut::with_capacity(end.saturating_sub(start));
    let unit = [id.as_bytes(), b"\n"].concat();
    let mut at = start;
    while at < end {
        let from = at % unit.len();
        let take = (unit.len() - from).min(end - at);
        bytes.extend_from_slice(&unit[from..from + take]);
        at += take;
    }
    bytes.freeze()
}

/// Returns whether `body` is the whole body of `size` bytes for `id`.
#[must_use]
pub fn matches(body: &[u8], id: &str, size: usize) -> bool {
    body.len() == size && body == build(id, size)
}
