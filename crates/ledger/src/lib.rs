//! Claims of at-most-once requests: a deterministic replicated state machine and the mapping of keys to ledger groups.
//!
//! Replicas apply the same commands in the same order and reach the same state. Time is log time, which only
//! [`Command::Advance`] advances.

mod command;
mod snapshot;
mod state;

pub use command::{
    ClaimReply, Command, Key, MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_KEY_BYTES, Outcome, group,
};
pub use snapshot::Invalid;
pub use state::{Ledger, MAX_CLAIMS, MAX_OUTCOME_BYTES};
