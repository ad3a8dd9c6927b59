//! What every daemon needs before its own work: checked settings, structured logs and metrics.

pub mod log;
pub mod metrics;
pub mod quota;
pub mod settings;
