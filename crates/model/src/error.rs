//! The closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// The request did not run and will not run.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Yes,
}

impl Executed {
    /// Returns the value of the `chestnutvalve-executed` header.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// Answer that belongs to an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Stable machine-readable code.
    pub code: &'static str,
    /// Whether the request was executed.
    pub executed: Executed,
    /// Whether the caller may send the same request again.
    pub retry: bool,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $code:literal, $executed:ident, $retry:literal;)*) => {
        /// Kind of error that a caller or an operator can meet.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the answer for this kind.
            #[must_use]
            pub fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        status: $status,
                        code: $code,
                        executed: Executed::$executed,
                        retry: $retry,
                    },)*
                }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest => 400, "bad_request", No, false;
    /// The operator's token is missing or wrong.
    Unauthorized => 401, "unauthorized", No, false;
    /// Nothing is found under that name.
    NotFound => 404, "not_found", No, false;
    /// No worker of the service is known.
    UnknownService => 404, "unknown_service", No, true;
    /// The request's body or head is larger than the limit.
    TooLarge => 413, "too_large", No, false;
    /// The change's expected version is not the current one.
    VersionConflict => 409, "version_conflict", No, false;
    /// The change would make the configuration invalid.
    InvalidChange => 422, "invalid_change", No, false;
    /// The idempotency key was used before with another request.
    KeyReused => 422, "key_reused", No, false;
    /// The key was claimed before and its outcome is not known; the request is not executed again.
    OutcomeUnknown => 409, "outcome_unknown", Unknown, false;
    /// The queue is full or the request could not finish before its deadline.
    Overloaded => 503, "overloaded", No, true;
    /// The deadline passed before the request was given to a worker.
    DeadlineBeforeDispatch => 504, "deadline_before_dispatch", No, true;
    /// No worker may take the request now.
    NoEligibleWorker => 503, "no_eligible_worker", No, true;
    /// The instance is shutting down and takes no new work.
    Draining => 503, "draining", No, true;
    /// The request was forwarded between entries too often.
    ForwardLoop => 508, "forward_loop", No, true;
    /// The once-only ledger did not confirm the claim, so the request was not dispatched.
    LedgerUnavailable => 503, "ledger_unavailable", No, true;
    /// Workers could not be reached; nothing was sent to any.
    ConnectFailed => 502, "connect_failed", No, true;
    /// The worker refused the request as not executed.
    RefusedByUpstream => 503, "refused_by_upstream", No, true;
    /// The worker did not answer before the deadline.
    UpstreamTimeout => 504, "upstream_timeout", Unknown, false;
    /// The exchange with the worker broke after the request was sent.
    UpstreamBroken => 502, "upstream_broken", Unknown, false;
    /// The control group has no quorum or no leader.
    NoQuorum => 503, "no_quorum", No, true;
    /// The control instance did not confirm the change in time; its outcome is not known. Resend with the same change id.
    ChangeUnconfirmed => 504, "change_unconfirmed", Unknown, true;
    /// A fault inside the system.
    Internal => 500, "internal", Unknown, false;
}

/// Error with a kind from the closed list and a short context.
#[derive(Clone, Debug, Deserialize, Eq, thiserror::Error, PartialEq, Serialize)]
#[error("{context}")]
pub struct Fault {
    /// Kind, which decides the answer.
    pub kind: Kind,
    /// What was being done and what went wrong.
    pub context: String,
}

impl Fault {
    /// Builds a fault.
    pub fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }
}
