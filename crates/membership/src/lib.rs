//! Worker membership: the registry of workers with their proofs of liveness, the ejections that are granted fleet-wide,
//! and the number of owners that a service needs.
//!
//! All of them are state machines that read no clock and do no I/O.

pub mod digest;
pub mod grant;
pub mod scaling;
pub mod token;
pub mod worker;
