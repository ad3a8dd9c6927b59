//! Client side of unary calls: one connection to a peer, reopened after an error.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_model::error::Fault;
use h2::client::SendRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::connection::{Connection, KeepAlive};
use crate::server::read_body;
use crate::{Error, Frame, Traffic};

/// Timeout for opening a connection, many times the round trip between regions. A host without power refuses no
/// connection, and TCP retransmits the first packet only after 1 s: with a timeout of 1 s, a group whose instances
/// restarted together had no leader for that time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Client of one peer; clones share the connection.
#[derive(Clone, Debug)]
pub struct Client {
    peer: SocketAddr,
    connection: Arc<Mutex<Option<Arc<Connection>>>>,
    keep_alive: Option<KeepAlive>,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Creates a client; the first call opens the connection.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            connection: Arc::default(),
            keep_alive: None,
            traffic: Arc::default(),
        }
    }

    /// Replaces a connection on which the peer is silent. Calls that wait on it fail with [`Error::Connection`].
    #[must_use]
    pub fn with_keep_alive(mut self, keep_alive: KeepAlive) -> Self {
        self.keep_alive = Some(keep_alive);
        self
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
        let mut used = None;
        let outcome = timeout(limit, self.exchange(path, &frame, &mut used)).await;
        let outcome = outcome.unwrap_or_else(|_| {
            Err(Error::Timeout {
                peer: self.peer.to_string(),
                path: path.to_owned(),
            })
        });
        if let Err(Error::Connection { .. } | Error::Timeout { .. } | Error::Unreachable { .. }) =
            &outcome
            && let Some(used) = used
        {
            // The network path of the connection may be broken, so the next call opens a new connection.
            self.discard(&used).await;
        }
        let answer: Result<A, Fault> = outcome?.decode()?;
        Ok(answer?)
    }

    /// Sends a call on the connection that is stored in `used`.
    async fn exchange(
        &self,
        path: &str,
        frame: &Frame,
        used: &mut Option<Arc<Connection>>,
    ) -> Result<Frame, Error> {
        let connection = self.connection().await?;
        *used = Some(Arc::clone(&connection));
        let answer = self.send_request(connection.sender.clone(), path, frame);
        let Some(keep_alive) = self.keep_alive else {
            return answer.await;
        };
        tokio::select! {
            answer = answer => {
                if answer.is_ok() {
                    connection.record_answer();
                }
                answer
            }
            () = connection.wait_for_silence(keep_alive) => {
                let peer = self.peer;
                spdlog::info!("internal connection is silent", kv: {peer:?, path});
                connection.close();
                Err(self.connection_error(&"the peer did not answer a ping in time"))
            }
        }
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

    async fn connection(&self) -> Result<Arc<Connection>, Error> {
        let mut current = self.connection.lock().await;
        let is_idle = |c: &Arc<Connection>| self.keep_alive.is_some_and(|k| c.is_idle(k));
        if let Some(connection) = current.as_ref().filter(|c| !is_idle(c)) {
            return Ok(Arc::clone(connection));
        }
        let opened = timeout(CONNECT_TIMEOUT, Connection::open(self.peer)).await;
        let opened = opened.map_err(|_| self.unreachable_error(&"connection attempt timed out"))?;
        let opened = Arc::new(opened.map_err(|e| self.unreachable_error(&e))?);
        *current = Some(Arc::clone(&opened));
        Ok(opened)
    }

    /// Makes the next call open a connection, unless another call has replaced this one already.
    async fn discard(&self, used: &Arc<Connection>) {
        let mut current = self.connection.lock().await;
        if current.as_ref().is_some_and(|c| Arc::ptr_eq(c, used)) {
            *current = None;
        }
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
