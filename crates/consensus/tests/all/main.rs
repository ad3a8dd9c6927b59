//! Raft tests on a simulated network, clock and disk.

mod append;
mod election;
mod members;
mod restart;
mod schedule;
mod sim;
mod vote;
