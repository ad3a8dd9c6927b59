//! Types that all crates of the fleet share: identifiers, accounts, configuration, directory, routes, control messages
//! and error kinds; and the parsing of JSON texts.
//!
//! This crate does no I/O and reads no clock.

pub mod account;
pub mod config;
pub mod control;
pub mod directory;
pub mod error;
pub mod id;
pub mod json;
pub mod rank;
pub mod review;
pub mod routes;
pub mod upstream;
pub mod version;
