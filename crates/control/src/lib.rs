//! Control daemon: replicated configuration, entry directory, ejection grants and the at-most-once ledger.

pub mod codec;
pub mod daemon;
pub mod rendezvous;
pub mod replica;
pub mod settings;
pub mod state;
