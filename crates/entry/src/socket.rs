//! Connections of callers.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

use crate::local_reply::{self, BodyError};

/// Time after the last write in which a caller can receive the response and close the connection. A send buffer of 1 MB
/// takes 2.5 s on a link of 3.2 Mbit/s.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);

/// Connection of a caller.
///
/// The operating system resets a connection that is closed with unread bytes, and the caller loses the part of the
/// response that it has not received yet. Unread bytes are common: further requests of a caller that pipelines, or the
/// rest of a body to which the worker has already responded. A shutdown therefore discards what the caller still sends,
/// until it closes its side too, and so does a drop without a shutdown, which follows a response that broke off.
///
/// The HTTP library aborts a response when the caller closes its sending side. A caller that has sent its requests may do
/// so while it reads, so that the end of its input is held back while a response is delivered. A caller that has closed
/// the connection altogether resets it at the next write.
pub struct Socket {
    /// `None` only after a drop.
    stream: Option<TcpStream>,
    last_read: LastRead,
    last_write: Instant,
    delivery: Delivery,
    /// Whether the end of the input was read and held back.
    is_end_held: bool,
    /// Whether the library may hold bytes that it has not written.
    is_unflushed: bool,
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

/// Whether a response is delivered on a connection.
#[derive(Clone, Debug, Default)]
pub struct Delivery(Arc<AtomicBool>);

impl Delivery {
    /// Marks a response as being delivered until its body ends or is dropped.
    #[must_use]
    pub fn deliver(&self, body: local_reply::Body) -> Delivered {
        self.0.store(true, Ordering::Relaxed);
        Delivered {
            body,
            delivery: self.clone(),
        }
    }
}

/// Body of a response that is delivered.
#[derive(Debug)]
pub struct Delivered {
    body: local_reply::Body,
    delivery: Delivery,
}

impl Drop for Delivered {
    fn drop(&mut self) {
        self.delivery.0.store(false, Ordering::Relaxed);
    }
}

impl Body for Delivered {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
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
            stream: Some(stream),
            last_read: LastRead(Arc::new(Mutex::new(now))),
            last_write: now,
            delivery: Delivery::default(),
            is_end_held: false,
            is_unflushed: false,
            linger: None,
        }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(stream))
    }

    /// Returns a handle that tells when bytes were last read.
    #[must_use]
    pub fn last_read(&self) -> LastRead {
        self.last_read.clone()
    }

    /// Returns a handle that marks responses as being delivered.
    #[must_use]
    pub fn delivery(&self) -> Delivery {
        self.delivery.clone()
    }

    /// Returns whether the end of the caller's input must be held back.
    fn is_delivering(&self) -> bool {
        self.is_unflushed || self.delivery.0.load(Ordering::Relaxed)
    }

    /// Discards what the caller sends until it closes the connection or the time is over.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let last_write = self.last_write;
        let timer = || Box::pin(sleep_until(last_write + LINGER_TIMEOUT));
        let mut timer = self.linger.take().unwrap_or_else(timer);
        let polled = self.poll_discard(cx, timer.as_mut());
        self.linger = Some(timer);
        polled
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>, mut timer: Pin<&mut Sleep>) -> Poll<()> {
        let mut discarded = [0; 4 * 1024];
        while timer.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut discarded);
            let Ok(stream) = self.stream() else {
                break;
            };
            let read = ready!(stream.poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(())
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.linger.is_some() {
            return;
        }
        if let (Some(stream), Ok(runtime)) = (self.stream.take(), Handle::try_current()) {
            runtime.spawn(timeout_at(
                self.last_write + LINGER_TIMEOUT,
                shut_down(stream),
            ));
        }
    }
}

/// Shuts down the write side and discards what the caller sends until it closes its side too.
async fn shut_down(mut stream: TcpStream) -> io::Result<u64> {
    stream.shutdown().await?;
    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        if self.is_end_held && self.is_delivering() {
            return Poll::Pending;
        }
        let polled = self.stream()?.poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.last_read.record();
        } else if matches!(polled, Poll::Ready(Ok(()))) && self.is_delivering() {
            // The flush of the response wakes the task.
            self.is_end_held = true;
            return Poll::Pending;
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
        self.is_unflushed = true;
        self.stream()?.poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.is_unflushed) && self.is_end_held {
            cx.waker().wake_by_ref();
        }
        self.stream()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(self.stream()?.poll_shutdown(cx))?;
        }
        self.poll_linger(cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.last_write = Instant::now();
        self.is_unflushed = true;
        self.stream()?.poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }
}
