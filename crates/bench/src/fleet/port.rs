//! Free loopback ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::Error;

/// First port that is given out. Ports below the ephemeral range are not taken by outgoing connections between the check
/// and the use.
const FIRST: u32 = 10_000;
/// Number of ports that are given out; Linux's ephemeral range starts at 32768.
const RANGE: u32 = 22_000;
/// Distance between the first ports of two processes.
const STRIDE: u32 = 331;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns an address that nothing listens on; the process gives each out once.
///
/// # Errors
///
/// Returns an error when no port is free.
pub fn free() -> Result<SocketAddr, Error> {
    let offset = std::process::id().wrapping_mul(STRIDE);
    for _ in 0..RANGE {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + offset.wrapping_add(number) % RANGE;
        let Ok(port) = u16::try_from(port) else {
            continue;
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(Error::Invalid("no loopback port is free".into()))
}
