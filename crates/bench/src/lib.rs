//! Measurement program: stand-in workers, caller load, a fault-injecting forwarder, scenarios, capacity measurements,
//! models of customers' limits and of zones, and the fault soak.

pub mod capacity;
pub mod client;
pub mod command;
pub mod error;
pub mod fleet;
pub mod forward;
pub mod load;
pub mod payload;
pub mod quota;
pub mod scenario;
pub mod soak;
pub mod worker;
pub mod zones;

pub use error::Error;
