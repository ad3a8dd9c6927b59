//! Service lifecycle of a process: services are registered and looked up by name, start in order of registration and stop
//! in reverse order.

pub mod registry;
pub mod service;
pub mod shutdown;

pub use registry::Registry;
pub use service::Service;
pub use shutdown::Shutdown;
