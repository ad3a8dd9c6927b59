//! Tests of the replicated log under a simulated network, clock and disk.

mod append;
mod election;
mod members;
mod schedule;
mod sim;
mod vote;
