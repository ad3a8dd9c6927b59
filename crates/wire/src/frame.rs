//! Frames: length, checksum and bincode payload.

use bincode::config::{Configuration, Limit};
use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Size of the header: payload length and CRC32, both little-endian `u32`.
pub const HEADER_BYTES: usize = 8;
/// Max payload. A snapshot of the configuration is the largest message.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

/// Encoding of payloads. The limit bounds the memory that a decoder allocates for a forged length prefix.
const CODEC: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<MAX_PAYLOAD_BYTES>,
> = bincode::config::standard().with_limit::<MAX_PAYLOAD_BYTES>();

/// Payload whose length and checksum have been verified.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    payload: Bytes,
}

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the message can't be encoded, and [`Error::TooLarge`] if it exceeds
    /// [`MAX_PAYLOAD_BYTES`].
    pub fn encode<T: Serialize>(message: &T) -> Result<Self, Error> {
        let payload = bincode::serde::encode_to_vec(message, CODEC)
            .map_err(|_| Error::Malformed("message can't be encoded"))?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(Error::TooLarge {
                size: payload.len(),
                limit: MAX_PAYLOAD_BYTES,
            });
        }
        Ok(Self {
            payload: payload.into(),
        })
    }

    /// Decodes the payload.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the payload is not exactly one message of type `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let decoded = bincode::serde::decode_from_slice(&self.payload, CODEC);
        let (message, consumed) = decoded
            .map_err(|_| Error::Malformed("payload can't be decoded as the expected type"))?;
        if consumed != self.payload.len() {
            return Err(Error::Malformed("trailing bytes after the message"));
        }
        Ok(message)
    }

    /// Returns the encoded frame, header included.
    ///
    /// # Panics
    ///
    /// Panics for a payload above [`MAX_PAYLOAD_BYTES`], which [`Frame::encode`] refuses.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let size =
            u32::try_from(self.payload.len()).expect("Frame::encode limits the payload size");
        let mut bytes = BytesMut::with_capacity(HEADER_BYTES + self.payload.len());
        bytes.put_u32_le(size);
        bytes.put_u32_le(crc32fast::hash(&self.payload));
        bytes.extend_from_slice(&self.payload);
        bytes.freeze()
    }

    /// Parses bytes that contain exactly one frame, and verifies length and checksum.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the header is incomplete or the length or checksum doesn't match.
    pub fn from_bytes(bytes: &Bytes) -> Result<Self, Error> {
        let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
            return Err(Error::Malformed("frame is shorter than its header"));
        };
        let read_u32 = |at: usize| {
            u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        if read_u32(0) as usize != rest.len() {
            return Err(Error::Malformed("payload length doesn't match the header"));
        }
        if read_u32(4) != crc32fast::hash(rest) {
            return Err(Error::Malformed(
                "payload checksum doesn't match the header",
            ));
        }
        Ok(Self {
            payload: bytes.slice(HEADER_BYTES..),
        })
    }
}
