//! The gateway's listener: HTTP/1.1 with persistent connections and pipelined requests.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use http::{HeaderValue, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::{Gateway, proxy};

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
    if let Err(error) = socket.set_nodelay(true) {
        spdlog::debug!("gateway connection: setting TCP_NODELAY failed: {error}");
    }
    let limits = gateway.instance.control_state.current().routes.limits;
    let buffer = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX);
    let last_read = Arc::new(Mutex::new(Instant::now()));
    let socket = TimestampedSocket {
        socket,
        last_read: Arc::clone(&last_read),
    };
    let gateway = Arc::clone(gateway);
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&gateway);
        // A pipelined request arrived with the last bytes that were read, which may be long before it is handled.
        let arrived = *last_read.lock().unwrap_or_else(PoisonError::into_inner);
        async move {
            let mut response = proxy::handle(&gateway, request, arrived).await;
            if gateway.instance.is_draining() {
                // The caller's next request then opens a connection to another entry.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
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

/// Socket that records when bytes were last read.
struct TimestampedSocket {
    socket: TcpStream,
    last_read: Arc<Mutex<Instant>>,
}

impl AsyncRead for TimestampedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            *self
                .last_read
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Instant::now();
        }
        polled
    }
}

impl AsyncWrite for TimestampedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
