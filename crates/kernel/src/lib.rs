//! Micro-kernel: services register under a name, find each other by that name, start in order and stop in reverse order.

pub mod registry;
pub mod service;
pub mod shutdown;

pub use registry::Registry;
pub use service::Service;
pub use shutdown::Shutdown;
