//! Whole-process tests: actual processes on the loopback network, observed through their interfaces.

mod complete;
mod config;
mod control;
mod demo;
mod floor;
mod leaving;
mod once;
mod serve;
mod shutdown;
mod soak;
mod support;
mod truth;
