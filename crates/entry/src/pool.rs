//! Pool of HTTP/1.1 connections to workers and other entries.
//!
//! A connection returns to the pool only after a complete exchange; otherwise it is closed.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::replay::Replay;

/// Time after which an idle connection is closed; servers commonly close theirs after 5 s or more.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for a connection to become ready after a complete exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for opening a connection, which takes about 1 ms at a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a response.
const MAX_RESPONSE_HEADERS: usize = 128;

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    max_idle: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    /// Bytes of request bodies in progress by address.
    uploads: Mutex<HashMap<SocketAddr, u64>>,
}

/// Bytes of a request body that a peer holds; released when dropped.
#[derive(Debug)]
struct Upload {
    pool: Arc<Pool>,
    address: SocketAddr,
    bytes: u64,
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut uploads = self.pool.uploads();
        if let Some(total) = uploads.get_mut(&self.address) {
            *total -= self.bytes;
            if *total == 0 {
                uploads.remove(&self.address);
            }
        }
    }
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Replay>,
    task: ConnectionTask,
    since: Instant,
}

/// Closes the connection when dropped.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use by one exchange; closed when dropped.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    address: SocketAddr,
    sender: SendRequest<Replay>,
    task: ConnectionTask,
    upload: Option<Upload>,
    /// Whether the connection was used for an earlier exchange.
    pub reused: bool,
}

/// Statuses of a response. The HTTP library skips interim responses, except for 101, which no request asks for, and accepts
/// numbers that are no status.
const RESPONSE_STATUSES: RangeInclusive<u16> = 200..=599;

/// Error of a request that got no response.
#[derive(Debug)]
pub enum SendError {
    /// The connection was closed before any byte of the request was written; the request can be sent again.
    NotSent(Box<Request<Replay>>),
    /// The connection failed after the request may have been sent.
    Broken(hyper::Error),
    /// The peer sent something that is no response to the request: its status is not one of [`RESPONSE_STATUSES`].
    NoResponse(StatusCode),
}

impl Pool {
    /// Creates an empty pool that keeps at most `max_idle` idle connections for each address.
    #[must_use]
    pub fn new(max_idle: usize) -> Self {
        Self {
            max_idle,
            idle: Mutex::default(),
            uploads: Mutex::default(),
        }
    }

    /// Returns an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection attempt, of kind `TimedOut` after `CONNECT_TIMEOUT` or at the deadline.
    pub async fn lease(
        self: &Arc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> std::io::Result<Lease> {
        self.lease_idle_within(address, deadline, None).await
    }

    /// Returns a connection that was idle for less than `max_idle_time`, or opens one.
    ///
    /// # Errors
    ///
    /// As [`Pool::lease`].
    pub async fn lease_idle_within(
        self: &Arc<Self>,
        address: SocketAddr,
        deadline: Instant,
        max_idle_time: Option<Duration>,
    ) -> std::io::Result<Lease> {
        if let Some(lease) = self.take_idle(address, max_idle_time.unwrap_or(IDLE_TIMEOUT)) {
            return Ok(lease);
        }
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match timeout_at(connect_deadline, open(self, address)).await {
            Ok(opened) => opened,
            Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }

    fn take_idle(self: &Arc<Self>, address: SocketAddr, max_idle_time: Duration) -> Option<Lease> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        while let Some(Idle {
            sender,
            task,
            since,
        }) = list.pop()
        {
            if since.elapsed() < max_idle_time.min(IDLE_TIMEOUT) && sender.is_ready() {
                return Some(Lease {
                    pool: Arc::clone(self),
                    address,
                    sender,
                    task,
                    upload: None,
                    reused: true,
                });
            }
        }
        idle.remove(&address);
        None
    }

    fn uploads(&self) -> MutexGuard<'_, HashMap<SocketAddr, u64>> {
        self.uploads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the addresses with a connection that was idle for less than `max_idle_time`.
    #[must_use]
    pub fn reusable_addresses(&self, max_idle_time: Duration) -> HashSet<SocketAddr> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let usable = |list: &Vec<Idle>| {
            let last = list.last();
            last.is_some_and(|i| i.since.elapsed() < max_idle_time && i.sender.is_ready())
        };
        let reusable = idle.iter().filter(|(_, list)| usable(list));
        reusable.map(|(address, _)| *address).collect()
    }

    /// Closes the connections that were idle for [`IDLE_TIMEOUT`] or that the peer closed.
    pub fn close_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain(|i| i.since.elapsed() < IDLE_TIMEOUT && !i.sender.is_closed());
            !list.is_empty()
        });
    }
}

impl Lease {
    /// Returns the connection to the pool. Call it only after a complete exchange.
    pub fn return_to_pool(self) {
        let Self {
            pool,
            address,
            mut sender,
            task,
            ..
        } = self;
        tokio::spawn(async move {
            // The connection becomes ready when its task has processed the end of the exchange.
            if !matches!(timeout(READY_TIMEOUT, sender.ready()).await, Ok(Ok(()))) {
                return;
            }
            let mut idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
            let list = idle.entry(address).or_default();
            if list.len() < pool.max_idle {
                list.push(Idle {
                    sender,
                    task,
                    since: Instant::now(),
                });
            }
        });
    }

    /// Counts a request body of `bytes` as held by the peer until the exchange has ended. Returns `false` if the peer would
    /// then hold more than `max`; a single body may be larger.
    #[must_use]
    pub fn reserve_upload(&mut self, bytes: u64, max: u64) -> bool {
        self.upload = None;
        if bytes == 0 {
            return true;
        }
        let mut uploads = self.pool.uploads();
        let total = uploads.entry(self.address).or_default();
        if *total > 0 && *total + bytes > max {
            return false;
        }
        *total += bytes;
        drop(uploads);
        self.upload = Some(Upload {
            pool: Arc::clone(&self.pool),
            address: self.address,
            bytes,
        });
        true
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the request if nothing of it was sent, and otherwise the error of the connection or the status that is none of a
    /// response.
    pub async fn send(
        &mut self,
        request: Request<Replay>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Broken(error.into_error()),
        })?;
        let status = response.status();
        if RESPONSE_STATUSES.contains(&status.as_u16()) {
            Ok(response)
        } else {
            Err(SendError::NoResponse(status))
        }
    }
}

async fn open(pool: &Arc<Pool>, address: SocketAddr) -> std::io::Result<Lease> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .max_headers(MAX_RESPONSE_HEADERS)
        .handshake(TokioIo::new(socket));
    let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("connection to {address}: {error}");
        }
    });
    Ok(Lease {
        pool: Arc::clone(pool),
        address,
        sender,
        task: ConnectionTask(task.abort_handle()),
        upload: None,
        reused: false,
    })
}
