//! Tests of replicas over loopback connections and real files.

mod cluster;
mod disk;
mod failover;
