//! Connections of callers.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time after the last write in which a caller can receive the response and close the connection. A send buffer of 1 MB
/// takes 2.5 s on a link of 3.2 Mbit/s.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);

/// Connection of a caller.
///
/// The operating system resets a connection that is closed with unread bytes, and the caller loses the part of the
/// response that it has not received yet. Unread bytes are common: further requests of a caller that pipelines, or the
/// rest of a body to which the worker has already responded. A shutdown therefore discards what the caller still sends,
/// until it closes its side too.
pub struct Socket {
    stream: TcpStream,
    last_read: LastRead,
    last_write: Instant,
    /// Present after the write side was shut down.
    linger: Option<Pin<Box<Sleep>>>,
}

/// When bytes were last read from a connection.
#[derive(Clone, Debug)]
pub struct LastRead(Arc<Mutex<Instant>>);

impl LastRead {
    /// Returns the instant of the last read, or of the accept before the first one.
    #[must_use]
    pub fn at(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }
}

impl Socket {
    /// Wraps a connection that was just accepted, and disables the delay of small segments.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            spdlog::debug!("caller's connection: setting TCP_NODELAY failed: {error}");
        }
        let now = Instant::now();
        Self {
            stream,
            last_read: LastRead(Arc::new(Mutex::new(now))),
            last_write: now,
            linger: None,
        }
    }

    /// Returns a handle that tells when bytes were last read.
    #[must_use]
    pub fn last_read(&self) -> LastRead {
        self.last_read.clone()
    }

    /// Discards what the caller sends until it closes the connection or the time is over.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Self { stream, linger, .. } = self;
        let last_write = self.last_write;
        let timer =
            linger.get_or_insert_with(|| Box::pin(sleep_until(last_write + LINGER_TIMEOUT)));
        let mut discarded = [0; 4 * 1024];
        while timer.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut discarded);
            let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.last_read.record();
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.last_write = Instant::now();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        self.poll_linger(cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.last_write = Instant::now();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
