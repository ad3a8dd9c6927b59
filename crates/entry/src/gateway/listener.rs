//! The gateway's listener.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

use super::Gateway;
use super::connection::{self, Signals};

/// Delay before the next accept after a failed one, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Backlog of the listener, in connections.
const BACKLOG: u32 = 1_024;
/// Part of the process's memory that the send buffer of one connection may take. The operating system's default grows to
/// several megabytes for a caller that reads slowly.
const SEND_BUFFER_DIVISOR: u32 = 2_000;
/// Minimum and maximum size of a limited send buffer, in bytes. 64 kB on the way are 30 Mbit/s at a round trip of 17 ms.
const SEND_BUFFER_BYTES: (u32, u32) = (64 * 1024, 1024 * 1024);

/// Binds the listener. With a memory limit, in megabytes, the send buffers of its connections are limited too.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub fn bind(address: SocketAddr, memory_mb: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if let Some(limit) = memory_mb {
        let (min, max) = SEND_BUFFER_BYTES;
        let bytes = limit.saturating_mul(1_000_000 / SEND_BUFFER_DIVISOR);
        // Connections inherit the size.
        if let Err(error) = socket.set_send_buffer_size(bytes.clamp(min, max)) {
            spdlog::warn!("gateway listener: limiting the send buffers failed: {error}");
        }
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until `stop` completes, then finishes the requests in progress.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let mut states = gateway.instance.control_state.subscribe();
    let limits = watch::Sender::new(states.borrow_and_update().routes.limits);
    let stopping = watch::Sender::new(());
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = states.changed() => {
                let current = states.borrow_and_update().routes.limits;
                limits.send_if_modified(|limits| std::mem::replace(limits, current) != current);
                if changed.is_err() {
                    break;
                }
                continue;
            }
            () = &mut stop => break,
        };
        match accepted {
            Ok((socket, _)) => {
                let signals = Signals {
                    limits: limits.subscribe(),
                    stopping: stopping.subscribe(),
                };
                tokio::spawn(connection::serve(Arc::clone(&gateway), socket, signals));
            }
            Err(error) => {
                spdlog::warn!("gateway listener: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    stopping.send_replace(());
    stopping.closed().await;
}
