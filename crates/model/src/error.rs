//! Closed set of error kinds, and the answer for each kind.

use serde::{Deserialize, Serialize};

/// Whether a request was executed by an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// The request was not executed and will not be.
    No,
    /// The request may have been executed.
    Unknown,
    /// The request was executed.
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

/// Answer to a request that ends with an error kind.
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
        /// Kind of error that callers and operators can receive.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the status, code and retry advice of this kind.
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
    /// The operator's token or the customer's API key is missing or invalid.
    Unauthorized => 401, "unauthorized", No, false;
    /// No resource or call has that name.
    NotFound => 404, "not_found", No, false;
    /// No worker of the service is known.
    UnknownService => 404, "unknown_service", No, true;
    /// The body of the request exceeds the size limit.
    TooLarge => 413, "too_large", No, false;
    /// The expected version of the change is not the current one.
    VersionConflict => 409, "version_conflict", No, false;
    /// The change would make the configuration invalid.
    InvalidChange => 422, "invalid_change", No, false;
    /// The idempotency key was already used for a different request.
    KeyReused => 422, "key_reused", No, false;
    /// The idempotency key is already claimed and its outcome is unknown; the request is not executed again.
    OutcomeUnknown => 409, "outcome_unknown", Unknown, false;
    /// The queue is full, or the request could not finish before its deadline.
    Overloaded => 503, "overloaded", No, true;
    /// The deadline passed before the request was dispatched to a worker.
    DeadlineBeforeDispatch => 504, "deadline_before_dispatch", No, true;
    /// No worker is currently eligible for the request.
    NoEligibleWorker => 503, "no_eligible_worker", No, true;
    /// The instance is shutting down and accepts no new requests.
    Draining => 503, "draining", No, true;
    /// The request was forwarded between entries too many times.
    ForwardLoop => 508, "forward_loop", No, true;
    /// The ledger of at-most-once requests did not confirm the claim, so the request was not dispatched.
    LedgerUnavailable => 503, "ledger_unavailable", No, true;
    /// No worker could be reached; no part of the request was sent.
    ConnectFailed => 502, "connect_failed", No, true;
    /// The worker refused the request without executing it.
    RefusedByUpstream => 503, "refused_by_upstream", No, true;
    /// The worker did not answer before the deadline.
    UpstreamTimeout => 504, "upstream_timeout", Unknown, false;
    /// The exchange with the worker failed after the request was sent.
    UpstreamBroken => 502, "upstream_broken", Unknown, false;
    /// The control group has no quorum or no leader.
    NoQuorum => 503, "no_quorum", No, true;
    /// The control instance did not confirm the change in time, so its outcome is unknown. Resend it with the same
    /// change id.
    ChangeUnconfirmed => 504, "change_unconfirmed", Unknown, true;
    /// Internal error of the system.
    Internal => 500, "internal", Unknown, false;
    /// The customer's requests exceed the limit of its account.
    LimitExceeded => 429, "limit_exceeded", No, true;
    /// The control instance was removed from its group and joins it again as a new member.
    MemberRemoved => 503, "member_removed", No, true;
    /// The head of the request exceeds the size limit in force.
    HeadTooLarge => 431, "head_too_large", No, false;
}

/// Error with a kind from the closed set and a short context.
#[derive(Clone, Debug, Deserialize, Eq, thiserror::Error, PartialEq, Serialize)]
#[error("{context}")]
pub struct Fault {
    /// Kind, which determines the answer.
    pub kind: Kind,
    /// What was attempted and what failed, for logs and readers of the answer.
    pub context: String,
}

impl Fault {
    /// Creates a fault of `kind`.
    pub fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }
}
