//! Response bodies that identify their request and show whether they are complete.

use bytes::{Bytes, BytesMut};

/// Request header with the request id, which the worker repeats in the response body.
pub const REQUEST_HEADER: &str = "bench-request";
/// Request header with the customer that the worker must be told, whatever customer the caller claims to be.
pub const EXPECTED_CUSTOMER_HEADER: &str = "bench-expected-customer";
/// Size of a body whose request states none.
pub const DEFAULT_BYTES: usize = 256;
/// Maximum size of a body; larger requested sizes are reduced to it.
pub const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Builds the body of `size` bytes for the request `id`: the id and a line feed, repeated and cut at `size`.
#[must_use]
pub fn build(id: &str, size: usize) -> Bytes {
    slice(id, 0, size)
}

/// Builds the bytes from `start` to `end` of the body for `id`.
#[must_use]
pub fn slice(id: &str, start: usize, end: usize) -> Bytes {
    let mut bytes = BytesMut::with_capacity(end.saturating_sub(start));
    let pattern = [id.as_bytes(), b"\n"].concat();
    let mut offset = start;
    while offset < end {
        let from = offset % pattern.len();
        let length = (pattern.len() - from).min(end - offset);
        bytes.extend_from_slice(&pattern[from..from + length]);
        offset += length;
    }
    bytes.freeze()
}

/// Returns whether `body` is exactly the body of `size` bytes for `id`.
#[must_use]
pub fn matches(body: &[u8], id: &str, size: usize) -> bool {
    body.len() == size && body == build(id, size)
}
