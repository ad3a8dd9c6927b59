//! Free loopback ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::Error;

/// First candidate port. Outgoing connections take ports of the ephemeral range only, so they can't take a port below it
/// between the check and the use.
const FIRST_PORT: u32 = 10_000;
/// Number of candidate ports. Linux's default ephemeral range starts at 32768.
const PORTS: u32 = 22_000;
/// Distance between the first candidates of two processes with consecutive ids, so that they seldom pick the same port.
const PROCESS_STRIDE: u32 = 331;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that nothing listens on. A process gets each port once until the range is used up.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free() -> Result<SocketAddr, Error> {
    let process_offset = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORTS {
        let number = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + process_offset.wrapping_add(number) % PORTS;
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
