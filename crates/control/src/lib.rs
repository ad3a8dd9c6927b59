//! Control daemon: replicated configuration, entry directory, ejection grants and once-only ledger.

pub mod replica;
