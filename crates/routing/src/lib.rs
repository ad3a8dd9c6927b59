//! Routing decisions of an entry: placement, load balancing, admission control, outlier detection and retries.
//!
//! All modules are state machines: events and times are passed in, decisions are returned. They read no clock and do no I/O;
//! randomness is passed in.

pub mod admission;
pub mod balance;
pub mod bandwidth;
pub mod eject;
pub mod execution;
pub mod memory;
pub mod placement;
pub mod quota;
pub mod retry;
pub mod sample;
pub mod schedule;
