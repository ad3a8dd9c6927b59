//! Whole-process tests: real processes on the loopback network, compared from outside.

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
