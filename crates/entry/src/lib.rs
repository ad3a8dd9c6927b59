//! Entry daemon: a proxy between callers and workers.
//!
//! An instance registers workers, tells callers which instances own a service, and routes requests.

pub mod addresses;
pub mod at_most_once;
pub mod call;
pub mod callers;
pub mod clock;
pub mod control_client;
pub mod control_state;
pub mod daemon;
pub mod dispatch;
pub mod eject;
pub mod exchange;
pub mod forward;
pub mod gateway;
pub mod header;
pub mod holding;
pub mod instance;
pub mod local_reply;
pub mod meters;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod proxy;
pub mod read_ahead;
pub mod relay;
pub mod replay;
pub mod request_metrics;
pub mod reservation;
pub mod service;
pub mod services;
pub mod settings;
pub mod socket;
pub mod status;

pub use daemon::Daemon;
pub use settings::Settings;
