//! Tests of the control daemon.

mod cluster;
mod heartbeats;
mod state;
mod support;
