//! Tests of the entry daemon against fake workers and a fake control instance, all in one process.

mod control;
mod coordinator;
mod drain;
mod faulty;
mod fleet;
mod gateway;
mod link;
mod narrow;
mod once;
mod proxy;
mod sharing;
mod worker;
