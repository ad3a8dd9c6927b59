//! Once-only claims: a deterministic state machine and the map from keys to ledger groups.
//!
//! Replicas apply the same commands in the same order and reach the same state. Time is log time, which only
//! [`Command::Advance`] moves.

mod command;
mod snapshot;
mod state;

pub use command::{
    ClaimReply, Command, Key, MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_KEY_BYTES, Outcome, group,
};
pub use snapshot::Invalid;
pub use state::{Ledger, MAX_CLAIMS, MAX_OUTCOME_BYTES};
