//! Record frame: a header with length, sequence number and checksums, followed by the payload.

/// Size of the header: payload length (`u32`), sequence number (`u64`), CRC32 of the payload, CRC32 of the preceding header
/// bytes. All are little-endian.
pub const HEADER_BYTES: usize = 20;

/// Encodes a payload with its header.
///
/// # Panics
///
/// Panics for a payload of 4 GiB or more.
#[must_use]
pub fn encode(sequence: u64, payload: &[u8]) -> Vec<u8> {
    let size = u32::try_from(payload.len()).expect("record payloads are below 4 GiB");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&size.to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let check = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&check.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// A decoded frame, whose checksums match.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Frame<'a> {
    /// Sequence number, which the writer chose.
    pub sequence: u64,
    /// Payload bytes.
    pub payload: &'a [u8],
}

/// Decodes the frame at the start of `bytes`.
///
/// # Errors
///
/// Returns a description of the damage for an incomplete frame or a checksum mismatch.
pub fn decode(bytes: &[u8]) -> Result<Frame<'_>, &'static str> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err("incomplete record header");
    };
    let word = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|i| header[at + i]));
    if crc32fast::hash(&header[..16]) != word(16) {
        return Err("record header checksum mismatch");
    }
    let Some(payload) = rest.get(..word(0) as usize) else {
        return Err("incomplete record payload");
    };
    if crc32fast::hash(payload) != word(12) {
        return Err("record payload checksum mismatch");
    }
    let sequence = u64::from(word(4)) | u64::from(word(8)) << 32;
    Ok(Frame { sequence, payload })
}
