//! Listener that limits the number of open connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// Maximum number of open operator connections; further ones wait in the accept queue of the operating system. The log
/// needs file descriptors too, so operators must not be able to exhaust them.
pub const MAX_CONNECTIONS: usize = 256;
/// Delay after a failed accept, for example because the process has too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Acceptor that waits while the maximum number of connections is open.
pub struct LimitedAcceptor {
    acceptor: TcpAcceptor,
    permits: Arc<Semaphore>,
}

impl LimitedAcceptor {
    /// Wraps a bound listener; `connections` is the maximum number of open connections.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn new(listener: TcpListener, connections: usize) -> io::Result<Self> {
        Ok(Self {
            acceptor: TcpAcceptor::from_tokio(listener)?,
            permits: Arc::new(Semaphore::new(connections)),
        })
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.acceptor.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        let permit = Arc::clone(&self.permits).acquire_owned().await;
        let permit = permit.map_err(io::Error::other)?;
        match self.acceptor.accept().await {
            Ok((stream, local, remote, scheme)) => {
                let connection = Connection {
                    stream,
                    _permit: permit,
                };
                Ok((connection, local, remote, scheme))
            }
            Err(error) => {
                // The server retries immediately after an error.
                sleep(ACCEPT_RETRY_DELAY).await;
                Err(error)
            }
        }
    }
}

/// Connection that holds a permit while it is open.
pub struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
