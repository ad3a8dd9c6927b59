//! Tests of the control daemon.

mod heartbeats;
mod state;
mod support;
