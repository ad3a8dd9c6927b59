//! Decisions of an entry about single requests: placement, balancing, admission, ejection detection and retries.
//!
//! All modules are state machines: events and instants in, decisions out. They read no clock and do no I/O;
//! randomness is passed in.

pub mod admission;
pub mod balance;
pub mod bandwidth;
pub mod eject;
pub mod execution;
pub mod placement;
pub mod retry;
pub mod sample;
pub mod schedule;
