//! Errors of calls and of frame decoding.

use chestnutvalve_model::error::Fault;

/// Error of a call between two processes of the fleet.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened or had failed earlier; nothing was sent.
    #[error("could not connect to {peer}: {cause}")]
    Unreachable {
        /// Address of the peer.
        peer: String,
        /// What went wrong.
        cause: String,
    },
    /// The connection failed during the call; the peer may have handled it.
    #[error("connection to {peer} failed: {cause}")]
    Connection {
        /// Address of the peer.
        peer: String,
        /// What went wrong.
        cause: String,
    },
    /// The call did not finish in time; the peer may have handled it.
    #[error("call {path} to {peer} timed out")]
    Timeout {
        /// Address of the peer.
        peer: String,
        /// Path of the call.
        path: String,
    },
    /// A frame, or the message in it, is malformed.
    #[error("malformed frame: {0}")]
    Malformed(&'static str),
    /// A frame exceeds the size limit.
    #[error("frame has {size} bytes, expected at most {limit}")]
    TooLarge {
        /// Size of the frame, in bytes.
        size: usize,
        /// Max size, in bytes.
        limit: usize,
    },
    /// The peer answered with a fault.
    #[error(transparent)]
    Fault(#[from] Fault),
}
