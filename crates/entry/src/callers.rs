//! Listener for callers, which serves cleartext HTTP/1.1 and HTTP/2 on one port.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::instance::Instance;
use crate::local_reply::Body;
use crate::proxy;
use crate::socket::{Delivery, Socket};

/// Maximum number of concurrent connections; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 20_000;
/// Maximum size of a request head, in bytes.
const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of headers of a request.
const MAX_REQUEST_HEADERS: usize = 128;
/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Time limit for a caller to send a request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after an accept error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval of the pings that check whether an HTTP/2 connection is alive.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// Time limit for the response to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

fn builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .max_buf_size(MAX_REQUEST_HEAD_BYTES)
        .max_headers(MAX_REQUEST_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(MAX_REQUEST_HEAD_BYTES).unwrap_or(u32::MAX))
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}

/// Serves callers until `stop` completes, then finishes the requests in progress without a time limit.
pub async fn serve(instance: Arc<Instance>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let builder = builder();
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    tokio::pin!(stop);
    loop {
        let accepted = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            accepted = accepted => accepted,
            () = &mut stop => break,
        };
        match (permit, accepted) {
            (Ok(permit), Ok((socket, _))) => {
                connection(&instance, &builder, &graceful, socket, permit);
            }
            (Err(_), _) => break,
            (_, Err(error)) => {
                spdlog::warn!("accepting a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection(
    instance: &Arc<Instance>,
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    socket: TcpStream,
    permit: OwnedSemaphorePermit,
) {
    let instance = Arc::clone(instance);
    let socket = Socket::new(socket);
    let delivery = socket.delivery();
    let service =
        service_fn(move |request| respond(Arc::clone(&instance), delivery.clone(), request));
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("caller's connection: {error}");
        }
        drop(permit);
    });
}

async fn respond(
    instance: Arc<Instance>,
    delivery: Delivery,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let closes_with_header = request.version() == Version::HTTP_11;
    let mut response = proxy::handle(&instance, request).await;
    if closes_with_header && instance.is_draining() {
        // Makes the caller open its next connection to another instance.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    // With HTTP/2 the caller ends each stream by itself.
    if !closes_with_header {
        return Ok(response);
    }
    Ok(response.map(|body| delivery.deliver(body).boxed_unsync()))
}
