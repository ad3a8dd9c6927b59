//! Tests of the entry daemon with fake workers and a fake control instance in one process.

mod assignment;
mod at_most_once;
mod budget;
mod closing;
mod control;
mod control_client;
mod coordinator;
mod credentials;
mod customers;
mod dispatcher;
mod drain;
mod faulty;
mod fleet;
#[path = "../../../wire/tests/support/forwarder.rs"]
mod forwarder;
mod gateway;
mod gateway_stop;
mod hedge;
mod limits;
mod memory;
mod narrow;
mod notices;
mod proxy;
mod quota;
mod read_ahead;
mod readers;
mod sharing;
mod streams;
mod upload;
mod worker;
mod zones;
