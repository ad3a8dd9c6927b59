//! The gateway's listener: HTTP/1.1 with persistent connections and pipelined requests.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};

use super::{Gateway, proxy};
use crate::socket::Socket;

/// Delay before the next accept after a failed one, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves callers until `stop` completes, then finishes the requests in progress.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        match accepted {
            Ok((socket, _)) => serve_connection(&gateway, &graceful, socket),
            Err(error) => {
                spdlog::warn!("gateway listener: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(gateway: &Arc<Gateway>, graceful: &GracefulShutdown, socket: TcpStream) {
    let limits = gateway.instance.control_state.current().routes.limits;
    let buffer = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX);
    let socket = Socket::new(socket);
    let (last_read, delivery) = (socket.last_read(), socket.delivery());
    let gateway = Arc::clone(gateway);
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&gateway);
        // A pipelined request arrived with the last bytes that were read, which may be long before it is handled.
        let arrived = last_read.at();
        let delivery = delivery.clone();
        async move {
            let mut response = proxy::handle(&gateway, request, arrived).await;
            if gateway.instance.is_draining() {
                // The caller's next request then opens a connection to another entry.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| delivery.deliver(body)))
        }
    });
    // The library's timeout covers both the idle time before a request head and the time to read it.
    let limit = Duration::from_millis(limits.idle_ms + limits.head_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limit)
        .max_buf_size(buffer.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("gateway connection ended with an error: {error}");
        }
    });
}
