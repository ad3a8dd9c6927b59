//! The gateway's listener: HTTP/1.1 with persistent connections and pipelined requests.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_model::error::Kind;
use http::{HeaderValue, Response, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::{Gateway, proxy};
use crate::holding::GivenUp;
use crate::local_reply::{self, Refusal};
use crate::socket::Socket;

/// Delay before the next accept after a failed one, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Time after which a caller whose request was given up may come back: the budget has room again after a few responses.
const GIVEN_UP_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Backlog of the listener, in connections.
const BACKLOG: u32 = 1_024;
/// Part of the process's memory that the send buffer of one connection may take. The operating system's default grows to
/// several megabytes for a caller that reads slowly.
const SEND_BUFFER_DIVISOR: u32 = 2_000;
/// Minimum and maximum size of a limited send buffer, in bytes. 64 kB on the way are 30 Mbit/s at a round trip of 17 ms.
const SEND_BUFFER_BYTES: (u32, u32) = (64 * 1024, 1024 * 1024);

/// Binds the listener. With a memory limit, in megabytes, the send buffers of its connections are limited too.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub fn bind(address: SocketAddr, memory_mb: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if let Some(limit) = memory_mb {
        let (min, max) = SEND_BUFFER_BYTES;
        let bytes = limit.saturating_mul(1_000_000 / SEND_BUFFER_DIVISOR);
        // Connections inherit the size.
        if let Err(error) = socket.set_send_buffer_size(bytes.clamp(min, max)) {
            spdlog::warn!("gateway listener: limiting the send buffers failed: {error}");
        }
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

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

/// Returns the response to a request that was given up for the memory that it holds.
fn give_up(gateway: &Gateway, given_up: GivenUp) -> Response<local_reply::Body> {
    let kind = if given_up.is_sent {
        Kind::UpstreamBroken
    } else {
        Kind::Overloaded
    };
    gateway.instance.meters.count_refusal(kind);
    let cause = "the entry holds too many bytes and gave up the request";
    let mut response = local_reply::refusal(&Refusal::new(kind, cause));
    if !given_up.is_sent {
        let dialect = &gateway.settings.dialect;
        let value = (dialect.format_retry_after)(GIVEN_UP_RETRY_AFTER);
        response.headers_mut().insert(&dialect.retry_after, value);
    }
    response
}

fn serve_connection(gateway: &Arc<Gateway>, graceful: &GracefulShutdown, socket: TcpStream) {
    let limits = gateway.instance.control_state.current().routes.limits;
    let buffer = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX);
    let socket = Socket::new(socket);
    let (last_read, delivery) = (socket.last_read(), socket.delivery());
    let gateway = Arc::clone(gateway);
    let open = gateway.memory.open();
    let holder = open.holder.clone();
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&gateway);
        // A pipelined request arrived with the last bytes that were read, which may be long before it is handled.
        let arrived = last_read.at();
        let (delivery, holder) = (delivery.clone(), holder.clone());
        async move {
            let handled = proxy::handle(&gateway, request, arrived, &holder);
            let handled = holder.until_given_up(handled).await;
            let is_given_up = handled.is_err();
            let mut response = handled.unwrap_or_else(|given_up| give_up(&gateway, given_up));
            if is_given_up || gateway.instance.is_draining() {
                // The caller's next request then opens a connection to another entry.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| delivery.deliver(body)))
        }
    });
    // The library's timeout covers both the idle time before a request head and the time to read it.
    let limit = Duration::from_millis(limits.idle_ms.saturating_add(limits.head_ms));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limit)
        .max_buf_size(buffer.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            biased;
            ended = connection => if let Err(error) = ended {
                spdlog::debug!("gateway connection ended with an error: {error}");
            },
            () = open.holder.closed() => {}
        }
    });
}
