//! Client side of unary calls: one connection to a peer, reopened after an error.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::Fault;
use h2::client::SendRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::server::read_body;
use crate::{Error, Frame, Traffic};

/// Timeout for opening a connection, many times the round trip between regions. A host without power refuses no
/// connection, and TCP retransmits the first packet only after 1 s: with a timeout of 1 s, a group whose instances
/// restarted together had no leader for that time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Flow-control window, large enough to transfer a snapshot in few round trips.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Client of one peer; clones share the connection.
#[derive(Clone, Debug)]
pub struct Client {
    peer: SocketAddr,
    connection: Arc<Mutex<Option<SendRequest<Bytes>>>>,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Creates a client; the first call opens the connection.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            connection: Arc::default(),
            traffic: Arc::default(),
        }
    }

    /// Counts the messages of this client in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: &Arc<Traffic>) -> Self {
        self.traffic = Arc::clone(traffic);
        self
    }

    /// Returns the address of the peer.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Calls `path` with `message` and waits for the answer for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns the fault that the peer answered with, or the transport error. After [`Error::Timeout`] and
    /// [`Error::Connection`] the peer may have handled the call; after [`Error::Unreachable`] it has not.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, Error> {
        let frame = Frame::encode(message)?;
        let outcome = timeout(limit, self.call_or_reset(path, &frame)).await;
        let Ok(outcome) = outcome else {
            // The network path of the connection may be broken, so the next call opens a new connection.
            self.reset().await;
            return Err(Error::Timeout {
                peer: self.peer.to_string(),
                path: path.to_owned(),
            });
        };
        let answer: Result<A, Fault> = outcome?.decode()?;
        Ok(answer?)
    }

    async fn call_or_reset(&self, path: &str, frame: &Frame) -> Result<Frame, Error> {
        let sender = self.sender().await?;
        let outcome = self.send_request(sender, path, frame).await;
        if let Err(Error::Connection { .. } | Error::Unreachable { .. }) = &outcome {
            self.reset().await;
        }
        outcome
    }

    async fn send_request(
        &self,
        sender: SendRequest<Bytes>,
        path: &str,
        frame: &Frame,
    ) -> Result<Frame, Error> {
        let request = http::Request::post(format!("http://{}/{path}", self.peer)).body(());
        let request =
            request.map_err(|_| Error::Malformed("path of the call is not a valid URI path"))?;
        let mut sender = sender
            .ready()
            .await
            .map_err(|e| self.unreachable_error(&e))?;
        let sent = sender.send_request(request, false);
        let (response, mut body) = sent.map_err(|e| self.connection_error(&e))?;
        let bytes = frame.to_bytes();
        self.traffic.record_sent(bytes.len());
        body.send_data(bytes, true)
            .map_err(|e| self.connection_error(&e))?;
        let response = response.await.map_err(|e| self.connection_error(&e))?;
        let bytes = read_body(response.into_body()).await?;
        self.traffic.record_received(bytes.len());
        Frame::from_bytes(&bytes)
    }

    async fn sender(&self) -> Result<SendRequest<Bytes>, Error> {
        let mut connection = self.connection.lock().await;
        if let Some(sender) = connection.as_ref() {
            return Ok(sender.clone());
        }
        let opened = timeout(CONNECT_TIMEOUT, connect(self.peer)).await;
        let opened = opened.map_err(|_| self.unreachable_error(&"connection attempt timed out"))?;
        let sender = opened.map_err(|e| self.unreachable_error(&e))?;
        *connection = Some(sender.clone());
        Ok(sender)
    }

    async fn reset(&self) {
        *self.connection.lock().await = None;
    }

    fn unreachable_error(&self, cause: &dyn std::fmt::Display) -> Error {
        Error::Unreachable {
            peer: self.peer.to_string(),
            cause: cause.to_string(),
        }
    }

    fn connection_error(&self, cause: &dyn std::fmt::Display) -> Error {
        Error::Connection {
            peer: self.peer.to_string(),
            cause: cause.to_string(),
        }
    }
}

async fn connect(peer: SocketAddr) -> std::io::Result<SendRequest<Bytes>> {
    let socket = TcpStream::connect(peer).await?;
    socket.set_nodelay(true)?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let (sender, connection) = builder
        .handshake(socket)
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("internal connection to {peer} failed: {error}");
        }
    });
    Ok(sender)
}
