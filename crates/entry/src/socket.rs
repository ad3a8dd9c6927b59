//! Connections of callers.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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
    /// Bytes that were read from the stream and returned to the socket.
    unread: Bytes,
    activity: Activity,
    delivery: Delivery,
    /// Whether the end of the input was read and held back.
    is_end_held: bool,
    /// Present after the write side was shut down.
    linger: Option<Pin<Box<Sleep>>>,
}

/// What happens on a connection, recorded by its socket and by the service that handles its requests.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Mutex<Record>>);

#[derive(Debug)]
struct Record {
    last_read: Instant,
    last_write: Instant,
    phase: Phase,
    /// Whether the library may hold bytes that it has not written.
    is_unflushed: bool,
    /// When the first bytes after the last response were read.
    head_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No request was received yet.
    New,
    /// A request was received and its response has not ended.
    Busy,
    /// The last response has ended.
    Idle,
    /// The write side was shut down.
    ShutDown,
}

impl Activity {
    fn new() -> Self {
        let now = Instant::now();
        Self(Arc::new(Mutex::new(Record {
            last_read: now,
            last_write: now,
            phase: Phase::New,
            is_unflushed: false,
            head_since: None,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the instant of the last read, or of the accept before the first one.
    #[must_use]
    pub fn last_read(&self) -> Instant {
        self.lock().last_read
    }

    /// Records that the head of a request was received.
    pub fn begin_request(&self) {
        let mut record = self.lock();
        record.phase = Phase::Busy;
        record.head_since = None;
    }

    fn end_request(&self) {
        let mut record = self.lock();
        if record.phase == Phase::Busy {
            record.phase = Phase::Idle;
        }
        record.last_write = Instant::now();
    }

    fn record_read(&self) {
        let now = Instant::now();
        let mut record = self.lock();
        record.last_read = now;
        if record.phase != Phase::Busy {
            record.head_since.get_or_insert(now);
        }
    }

    fn record_write(&self) {
        let mut record = self.lock();
        record.last_write = Instant::now();
        record.is_unflushed = true;
    }

    /// Records that a part of the body of an answered request may have been read, which is no head.
    pub fn discard_head(&self) {
        self.lock().head_since = None;
    }

    /// Returns whether the connection is open, no request is in progress and all of the last response was written.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let record = self.lock();
        matches!(record.phase, Phase::New | Phase::Idle) && !record.is_unflushed
    }

    /// Returns when the connection has to be closed: the head of a request must be received in `head_timeout`, and begin within
    /// `idle_timeout` after the last response; on a new connection, within the longer of both. Neither applies while a request is in
    /// progress or the connection is being closed.
    #[must_use]
    pub fn deadline(&self, head_timeout: Duration, idle_timeout: Duration) -> Option<Instant> {
        let record = self.lock();
        let timeout = match record.phase {
            Phase::Busy | Phase::ShutDown => return None,
            Phase::New => idle_timeout.max(head_timeout),
            Phase::Idle => idle_timeout,
        };
        let idle_since = record.last_read.max(record.last_write);
        Some(
            record
                .head_since
                .map_or(idle_since + timeout, |since| since + head_timeout),
        )
    }
}

/// Whether a response is delivered on a connection.
#[derive(Clone, Debug)]
pub struct Delivery {
    is_delivering: Arc<AtomicBool>,
    activity: Activity,
}

impl Delivery {
    /// Marks a response as being delivered until its body ends or is dropped.
    #[must_use]
    pub fn deliver(&self, body: local_reply::Body) -> Delivered {
        self.is_delivering.store(true, Ordering::Relaxed);
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
        self.delivery.is_delivering.store(false, Ordering::Relaxed);
        self.delivery.activity.end_request();
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
        let activity = Activity::new();
        Self {
            stream: Some(stream),
            unread: Bytes::new(),
            delivery: Delivery {
                is_delivering: Arc::default(),
                activity: activity.clone(),
            },
            activity,
            is_end_held: false,
            linger: None,
        }
    }

    /// Returns bytes to the socket that were read from it and not used; the next read yields them first.
    pub fn unread(&mut self, bytes: Bytes) {
        self.unread = bytes;
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        Ok(Pin::new(stream))
    }

    /// Returns a handle that tells what happens on the connection.
    #[must_use]
    pub fn activity(&self) -> Activity {
        self.activity.clone()
    }

    /// Returns a handle that marks responses as being delivered.
    #[must_use]
    pub fn delivery(&self) -> Delivery {
        self.delivery.clone()
    }

    /// Returns whether the end of the caller's input must be held back.
    fn is_delivering(&self) -> bool {
        self.activity.lock().is_unflushed || self.delivery.is_delivering.load(Ordering::Relaxed)
    }

    /// Discards what the caller sends until it closes the connection or the time is over.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let last_write = self.activity.lock().last_write;
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
            let last_write = self.activity.lock().last_write;
            runtime.spawn(timeout_at(last_write + LINGER_TIMEOUT, shut_down(stream)));
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
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        if self.is_end_held && self.is_delivering() {
            return Poll::Pending;
        }
        let polled = self.stream()?.poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.activity.record_read();
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
        self.activity.record_write();
        self.stream()?.poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let was_unflushed = std::mem::take(&mut self.activity.lock().is_unflushed);
        if was_unflushed && self.is_end_held {
            cx.waker().wake_by_ref();
        }
        self.stream()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.lock().phase = Phase::ShutDown;
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
        self.activity.record_write();
        self.stream()?.poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream
            .as_ref()
            .is_some_and(AsyncWrite::is_write_vectored)
    }
}
