//! Internal protocol: checked frames in unary calls over h2 streams.

pub mod client;
pub mod error;
pub mod frame;
pub mod server;
pub mod traffic;

pub use client::Client;
pub use error::Error;
pub use frame::Frame;
pub use server::{Router, Server};
pub use traffic::Traffic;
