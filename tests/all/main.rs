//! Whole-process tests.

mod control;
