//! One connection to a peer, and how long the peer has been silent on it.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Ping, PingPong};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Flow-control window, large enough to transfer a snapshot in few round trips.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// When a connection counts as silent: new connections to the peer may work although this one does not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeepAlive {
    /// Time without a byte from the peer after which a call that waits sends a ping.
    pub interval: Duration,
    /// Time limit for the next byte from the peer after the ping.
    pub timeout: Duration,
}

impl KeepAlive {
    /// Returns the settings with which a silent connection is replaced in three quarters of `limit`, so that a call on the
    /// next connection can still be answered within it.
    #[must_use]
    pub fn within(limit: Duration) -> Self {
        Self {
            interval: limit / 4,
            timeout: limit / 2,
        }
    }

    /// Returns the time without a byte after which a connection is not used for a further call.
    fn max_idle(self) -> Duration {
        self.interval + self.timeout
    }
}

/// A connection to a peer.
pub(crate) struct Connection {
    /// Sends the requests of calls.
    pub sender: SendRequest<Bytes>,
    pings: Mutex<PingPong>,
    last_read: Arc<LastRead>,
    /// Whether a call was answered.
    answered: AtomicBool,
    task: AbortHandle,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system or of the handshake.
    pub async fn open(peer: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let last_read = Arc::new(LastRead {
            at: Mutex::new(Instant::now()),
            arrived: Notify::new(),
        });
        let stream = ObservedStream {
            stream,
            last_read: Arc::clone(&last_read),
        };
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES);
        let opened = builder.handshake(stream).await;
        let (sender, mut connection) = opened.map_err(io::Error::other)?;
        let pings = connection.ping_pong();
        let pings = pings.ok_or_else(|| io::Error::other("the connection has no pings"))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                spdlog::debug!("internal connection to {peer} failed: {error}");
            }
        });
        Ok(Self {
            sender,
            pings: Mutex::new(pings),
            last_read,
            answered: AtomicBool::new(false),
            task: task.abort_handle(),
        })
    }

    /// Returns whether the connection was idle for so long that it may have gone silent unnoticed.
    pub fn is_idle(&self, keep_alive: KeepAlive) -> bool {
        self.last_read.at().elapsed() > keep_alive.max_idle()
    }

    /// Records that a call was answered.
    pub fn record_answer(&self) {
        self.answered.store(true, Ordering::Relaxed);
    }

    /// Waits until the peer is silent: it has not sent a byte for an interval from now on, nor in time after a ping.
    ///
    /// Before the first answer this waits forever. A new connection works, and a peer that is slow to answer on it is
    /// overloaded, for example by all entries that start at the same time. Further connections would add to its load.
    pub async fn wait_for_silence(&self, keep_alive: KeepAlive) {
        if !self.answered.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        let started = Instant::now();
        loop {
            let since = self.last_read.at().max(started);
            sleep_until(since + keep_alive.interval).await;
            if self.last_read.at() > since {
                continue;
            }
            let arrived = self.last_read.arrived.notified();
            self.send_ping();
            if timeout(keep_alive.timeout, arrived).await.is_err() {
                return;
            }
        }
    }

    /// Sends a ping, unless one is unanswered.
    fn send_ping(&self) {
        let mut pings = self.pings.lock().unwrap_or_else(PoisonError::into_inner);
        // Takes the pong of the last ping. The bytes of the next one are seen by `last_read`.
        let _ = pings.poll_pong(&mut Context::from_waker(Waker::noop()));
        let _ = pings.send_ping(Ping::opaque());
    }

    /// Closes the connection, which fails all calls that wait on it.
    pub fn close(&self) {
        self.task.abort();
    }
}

/// When bytes were last read from a connection.
struct LastRead {
    at: Mutex<Instant>,
    /// Notified of each read.
    arrived: Notify,
}

impl LastRead {
    fn at(&self) -> Instant {
        *self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) {
        *self.at.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.arrived.notify_waiters();
    }
}

/// Stream that records when bytes were last read.
struct ObservedStream {
    stream: TcpStream,
    last_read: Arc<LastRead>,
}

impl AsyncRead for ObservedStream {
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

impl AsyncWrite for ObservedStream {
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
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
