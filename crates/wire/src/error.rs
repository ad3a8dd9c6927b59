//! Errors of calls and frames.

use chestnutvalve_model::error::Fault;

/// Error of a call between the system's processes.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A connection could not be opened or had broken before; nothing was sent.
    #[error("connecting to {peer}: {cause}")]
    Unreachable {
        /// Address of the peer.
        peer: String,
        /// What went wrong.
        cause: String,
    },
    /// A connection broke during the call; the peer may have handled it.
    #[error("connection to {peer}: {cause}")]
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
    /// A frame is malformed.
    #[error("malformed frame: {0}")]
    Malformed(&'static str),
    /// A frame is larger than allowed.
    #[error("frame of {size} bytes; at most {limit} are allowed")]
    TooLarge {
        /// Size of the frame.
        size: usize,
        /// Limit in force.
        limit: usize,
    },
    /// The peer answered with a fault.
    #[error(transparent)]
    Fault(#[from] Fault),
}
