//! Errors of the measurement program.

use std::time::Duration;

/// Error of a measurement or of a process that it started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation of the operating system failed.
    #[error("{what}: {cause}")]
    Io {
        /// Operation that failed.
        what: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// An address is outside the loopback network.
    #[error("expected a loopback address, found {0}")]
    NotLoopback(std::net::SocketAddr),
    /// An HTTP exchange failed or had an unexpected response.
    #[error("{what}: {cause}")]
    Http {
        /// Request that failed.
        what: String,
        /// Failure, or the unexpected response.
        cause: String,
    },
    /// A condition was not met in time.
    #[error("{what}: timed out after {limit:?}")]
    Timeout {
        /// Condition that was waited for.
        what: String,
        /// Timeout that passed.
        limit: Duration,
    },
    /// A value in the arguments, a file or a response is invalid, or a run failed.
    #[error("{0}")]
    Invalid(String),
}

impl Error {
    /// Returns a function that wraps an error of the operating system with the operation that failed.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |cause| Self::Io { what, cause }
    }
}

/// Returns the address if it is on the loopback network. Load and faults must not leave this machine.
///
/// # Errors
///
/// Returns [`Error::NotLoopback`] for any other address.
pub fn loopback(address: std::net::SocketAddr) -> Result<std::net::SocketAddr, Error> {
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(Error::NotLoopback(address))
    }
}
