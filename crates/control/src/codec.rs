//! Binary encoding of the commands, results and snapshots of the replicated state machines.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use chestnutvalve_model::error::{Fault, Kind};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Limits what the decoder allocates for a forged length.
const MAX_ENCODED_BYTES: usize = 256 * 1024 * 1024;

const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_ENCODED_BYTES>> =
    bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();

/// Encodes a value with bincode.
///
/// # Panics
///
/// Panics for a type that bincode can't represent; no type of the state machines is one.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, CODEC).expect("state machine types can be encoded")
}

/// Decodes exactly one value.
///
/// # Errors
///
/// Returns [`Kind::Internal`] when the bytes are not one value of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    match bincode::serde::decode_from_slice(bytes, CODEC) {
        Ok((value, consumed)) if consumed == bytes.len() => Ok(value),
        Ok(_) => Err(Fault::new(
            Kind::Internal,
            "unexpected bytes after the encoded value",
        )),
        Err(error) => Err(Fault::new(
            Kind::Internal,
            format!("value does not decode: {error}"),
        )),
    }
}
