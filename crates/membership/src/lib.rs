//! Who may serve: the workers that an entry knows, with proofs of liveness, the ejections that the fleet allows
//! and the number of owners that a service needs.
//!
//! They are state machines without clock and I/O.

pub mod digest;
pub mod grant;
pub mod scaling;
pub mod token;
pub mod worker;
