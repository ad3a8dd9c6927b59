//! Result of one attempt at a worker.

use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// A complete response other than a server error.
    Success,
    /// A complete response with a server error (5xx).
    Failure,
    /// No complete response before the deadline.
    Timeout,
    /// The response ended before it was complete.
    Truncated,
    /// The connection was refused.
    Refused,
    /// The worker responded that it didn't execute the request.
    Shed,
    /// The caller cancelled the request, which gives no evidence about the worker.
    Cancelled,
}

impl Verdict {
    /// Returns whether the attempt counts as an error of the worker.
    #[must_use]
    pub fn is_error(self) -> bool {
        matches!(
            self,
            Self::Failure | Self::Timeout | Self::Truncated | Self::Refused
        )
    }
}

/// Latency and verdict of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Time from dispatch to the end of the response.
    pub latency: Duration,
    /// How the attempt ended.
    pub verdict: Verdict,
}
