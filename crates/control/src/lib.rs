//! Control daemon: replicated configuration, entry directory, ejection grants and once-only ledger.

pub mod codec;
pub mod daemon;
pub mod rendezvous;
pub mod replica;
pub mod settings;
pub mod state;
