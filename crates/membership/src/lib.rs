//! Who may serve: the workers that an entry knows, with proofs of liveness, and the ejections that the fleet allows.
//!
//! Both modules are state machines without clock and I/O.

pub mod digest;
pub mod grant;
pub mod token;
pub mod worker;
