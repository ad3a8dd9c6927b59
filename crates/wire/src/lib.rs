//! Internal RPC protocol: frames with checksums in unary calls over HTTP/2 streams.

pub mod client;
pub mod connection;
pub mod error;
pub mod frame;
pub mod server;
pub mod traffic;

pub use client::Client;
pub use connection::KeepAlive;
pub use error::Error;
pub use frame::Frame;
pub use server::{Router, Server};
pub use traffic::Traffic;
