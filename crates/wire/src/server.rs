//! Server side of unary calls.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chestnutvalve_model::error::{Fault, Kind};
use h2::server::SendResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::frame::{HEADER_BYTES, MAX_PAYLOAD_BYTES};
use crate::{Error, Frame, Traffic};

/// Timeout for receiving a whole request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Default max connections of a server: one from each entry of a fleet of the target size, with room for reconnects.
pub const MAX_CONNECTIONS: usize = 4_096;
/// Default idle timeout of a connection. A client behind a one-way partition opens a new connection after each timeout,
/// and the server never learns that the old ones are closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Max concurrent calls on one connection.
const MAX_STREAMS: u32 = 1_024;
/// Flow-control window, large enough to transfer a snapshot in few round trips.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

type Answer = Pin<Box<dyn Future<Output = Result<Frame, Error>> + Send>>;
type Handler = Box<dyn Fn(Frame) -> Answer + Send + Sync>;

/// Handlers of calls, by path.
#[derive(Default)]
pub struct Router {
    handlers: HashMap<&'static str, Handler>,
    traffic: Arc<Traffic>,
}

impl Router {
    /// Counts the messages of all handled calls in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: &Arc<Traffic>) -> Self {
        self.traffic = Arc::clone(traffic);
        self
    }

    /// Adds the handler of a call path, for example `ledger/claim`, or replaces it.
    #[must_use]
    pub fn route<Q, A, F, Fut>(mut self, path: &'static str, handler: F) -> Self
    where
        Q: DeserializeOwned + Send + 'static,
        A: Serialize + Send + 'static,
        F: Fn(Q) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Result<A, Fault>> + Send + 'static,
    {
        let handler: Handler = Box::new(move |frame| {
            let handler = handler.clone();
            Box::pin(async move {
                let answer = handler(frame.decode()?).await;
                Frame::encode(&answer)
            })
        });
        self.handlers.insert(path, handler);
        self
    }
}

/// Server of calls on one listening address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    max_connections: usize,
    idle_timeout: Duration,
}

impl Server {
    /// Binds a listener to the address; [`Server::serve`] accepts connections.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            max_connections: MAX_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
        })
    }

    /// Sets the max number of concurrent connections; the default is [`MAX_CONNECTIONS`].
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the time without a call after which a connection is closed; the default is [`IDLE_TIMEOUT`].
    #[must_use]
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections and answers calls until the future is dropped.
    pub async fn serve(self, router: Router) {
        let router = Arc::new(router);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((_, peer)) if connections.len() >= self.max_connections => {
                        spdlog::warn!("internal connection from {peer} refused: limit of {} connections reached", self.max_connections);
                    }
                    Ok((socket, peer)) => {
                        let (router, idle_timeout) = (Arc::clone(&router), self.idle_timeout);
                        connections.spawn(async move {
                            if let Err(error) = serve_connection(socket, router, idle_timeout).await {
                                spdlog::debug!("internal connection from {peer} failed: {error}");
                            }
                        });
                    }
                    Err(error) => {
                        spdlog::warn!("could not accept an internal connection: {error}");
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }
}

async fn serve_connection(
    socket: TcpStream,
    router: Arc<Router>,
    idle_timeout: Duration,
) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES);
    let handshake = timeout(HANDSHAKE_TIMEOUT, builder.handshake(socket)).await;
    let Ok(connection) = handshake else {
        return Ok(());
    };
    let mut connection = connection.map_err(std::io::Error::other)?;
    let (mut calls, mut closing) = (JoinSet::new(), false);
    loop {
        let accepted = match timeout(idle_timeout, connection.accept()).await {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return Ok(()),
            Err(_) => {
                while calls.try_join_next().is_some() {}
                if calls.is_empty() && closing {
                    return Ok(());
                }
                if calls.is_empty() {
                    // The graceful shutdown still answers a call that is already in transit.
                    connection.graceful_shutdown();
                    closing = true;
                }
                continue;
            }
        };
        let (request, respond) = accepted.map_err(std::io::Error::other)?;
        let router = Arc::clone(&router);
        calls.spawn(handle_call(request, respond, router));
        while calls.try_join_next().is_some() {}
    }
}

async fn handle_call(
    request: http::Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    router: Arc<Router>,
) {
    let path = request.uri().path().trim_start_matches('/').to_owned();
    let answer = match timeout(REQUEST_TIMEOUT, read_body(request.into_body())).await {
        Ok(Ok(bytes)) => {
            router.traffic.record_received(bytes.len());
            dispatch(&router, &path, &bytes).await
        }
        Ok(Err(error)) => Err(error),
        Err(_) => Err(Error::Malformed("request was not received in time")),
    };
    let frame = answer.or_else(|error| Frame::encode(&Err::<(), Fault>(into_fault(error))));
    let Ok(frame) = frame else { return };
    let head = http::Response::new(());
    // Errors mean that the peer has disconnected and needs no answer.
    if let Ok(mut stream) = respond.send_response(head, false) {
        let bytes = frame.to_bytes();
        router.traffic.record_sent(bytes.len());
        let _ = stream.send_data(bytes, true);
    }
}

async fn dispatch(router: &Router, path: &str, bytes: &Bytes) -> Result<Frame, Error> {
    let frame = Frame::from_bytes(bytes)?;
    let handler = router.handlers.get(path);
    let handler =
        handler.ok_or_else(|| Fault::new(Kind::NotFound, format!("unknown call {path:?}")))?;
    handler(frame).await
}

fn into_fault(error: Error) -> Fault {
    match error {
        Error::Fault(fault) => fault,
        Error::TooLarge { .. } => Fault::new(Kind::TooLarge, error.to_string()),
        error => Fault::new(Kind::BadRequest, error.to_string()),
    }
}

/// Reads a whole body, up to the max size of a frame.
pub(crate) async fn read_body(mut body: h2::RecvStream) -> Result<Bytes, Error> {
    let limit = HEADER_BYTES + MAX_PAYLOAD_BYTES;
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|_| Error::Malformed("body ended early"))?;
        let size = bytes.len() + chunk.len();
        if size > limit {
            return Err(Error::TooLarge { size, limit });
        }
        let _ = body.flow_control().release_capacity(chunk.len());
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}
