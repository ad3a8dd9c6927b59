//! Errors of the measurement program.

use std::time::Duration;

/// Error of a measurement or of a process that it uses.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system refused something.
    #[error("{what}: {cause}")]
    Io {
        /// What was being done.
        what: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// An address outside the loopback network was given.
    #[error("address {0}: only loopback addresses are allowed")]
    NotLoopback(std::net::SocketAddr),
    /// An HTTP exchange failed or was answered with something unexpected.
    #[error("{what}: {cause}")]
    Http {
        /// What was being done.
        what: String,
        /// What went wrong.
        cause: String,
    },
    /// A condition did not come about in time.
    #[error("{what}: not within {limit:?}")]
    Timeout {
        /// Condition that was awaited.
        what: String,
        /// Time that was allowed.
        limit: Duration,
    },
    /// A value in the arguments or in a scenario is not usable.
    #[error("{0}")]
    Invalid(String),
}

impl Error {
    /// Wraps an error of the operating system with what was being done.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |cause| Self::Io { what, cause }
    }
}

/// Checks that load and faults stay on this machine.
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
