//! Common startup facilities of the daemons: validated settings, structured logs and metrics.

pub mod log;
pub mod metrics;
pub mod rate_limit;
pub mod settings;
