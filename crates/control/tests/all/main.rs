//! Tests of the control daemon.

mod accounts;
mod batcher;
mod claims;
mod cluster;
mod harness;
mod heartbeats;
mod layout;
mod malformed;
mod publish;
mod rendezvous;
mod state;
mod support;
