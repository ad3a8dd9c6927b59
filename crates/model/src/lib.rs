//! Types that all crates of the fleet share: identifiers, configuration, directory, routes, control messages and error
//! kinds.
//!
//! This crate does no I/O and reads no clock.

pub mod config;
pub mod control;
pub mod directory;
pub mod error;
pub mod id;
pub mod rank;
pub mod routes;
pub mod upstream;
pub mod version;
