//! A caller's connection: HTTP/1.1 with pipelined requests, within the limits in force.
//!
//! The HTTP library takes the maximum size of a request head when it starts to serve a connection. When another one comes into force,
//! the connection is handed to a new instance of the library between two requests. The timeouts are kept here.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use chestnutvalve_model::error::Kind;
use chestnutvalve_model::routes::Limits;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderValue, Request, Response, header};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep};

use super::{Gateway, proxy};
use crate::holding::{GivenUp, Holder, Receipt};
use crate::local_reply::{self, Refusal};
use crate::socket::{Activity, Delivered, Socket};

/// Minimum read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Time after which a caller whose request was given up may come back: the budget has room again after a few responses.
const GIVEN_UP_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Interval of the checks whether the body of an answered request is still received.
const RECEIPT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What concerns all connections of the gateway.
#[derive(Debug)]
pub struct Signals {
    /// Limits in force.
    pub limits: watch::Receiver<Limits>,
    /// Changes once when the gateway stops. The listener waits until all receivers are dropped.
    pub stopping: watch::Receiver<()>,
}

type Answer = Result<Response<Delivered>, Infallible>;
type Connection<S> = http1::Connection<TokioIo<Socket>, S>;

/// Outcome of the attempt to hand a connection to a new instance of the HTTP library.
enum Reopened<S: HttpService<Incoming>> {
    /// The connection continues with a new instance.
    Open(Connection<S>),
    /// A request is in progress, after whose response the connection ends.
    Closing(Connection<S>),
    /// The connection has ended.
    Ended,
}

/// Serves a connection until it ends.
pub async fn serve(gateway: Arc<Gateway>, stream: TcpStream, signals: Signals) {
    let Signals {
        limits: mut changes,
        mut stopping,
    } = signals;
    let socket = Socket::new(stream);
    let (activity, delivery) = (socket.activity(), socket.delivery());
    let open = gateway.memory.open();
    let holder = open.holder.clone();
    let service = {
        let (activity, holder) = (activity.clone(), holder.clone());
        service_fn(
            move |request: Request<Incoming>| -> BoxFuture<'static, Answer> {
                activity.begin_request();
                holder.begin_request(!request.body().is_end_stream());
                // A pipelined request arrived with the last bytes that were read, which may be long before it is handled.
                let arrived = activity.last_read();
                let (gateway, holder) = (Arc::clone(&gateway), holder.clone());
                let delivery = delivery.clone();
                async move {
                    let response = respond(&gateway, request, arrived, &holder).await;
                    Ok(response.map(|body| delivery.deliver(body)))
                }
                .boxed()
            },
        )
    };
    let mut limits = *changes.borrow_and_update();
    let mut buffer_bytes = buffer_bytes(&limits);
    let mut connection = open_connection(buffer_bytes, socket, service);
    let mut requests_before = 0;
    let mut timer = pin!(sleep(Duration::ZERO));
    let mut is_closing = false;
    loop {
        let is_outdated = !is_closing && buffer_bytes != self::buffer_bytes(&limits);
        // A request that has arrived goes before a timeout.
        tokio::select! {
            biased;
            ended = &mut connection => {
                if let Err(error) = ended {
                    spdlog::debug!("gateway connection ended with an error: {error}");
                }
                return;
            }
            () = holder.closed() => return,
            receipt = until_idle(&activity, &holder), if is_outdated => {
                if receipt == Receipt::Abandoned {
                    // The library discards the rest of the body, or ends the connection if that is long.
                    is_closing = true;
                    Pin::new(&mut connection).graceful_shutdown();
                    continue;
                }
                buffer_bytes = self::buffer_bytes(&limits);
                let is_unused = holder.requests() == requests_before;
                connection = match reopen(connection, is_unused, buffer_bytes).await {
                    Reopened::Open(reopened) => {
                        requests_before = holder.requests();
                        reopened
                    }
                    Reopened::Closing(unfinished) => {
                        is_closing = true;
                        unfinished
                    }
                    Reopened::Ended => return,
                };
            }
            () = until_timeout(&activity, &holder, &limits, timer.as_mut()) => return,
            _ = stopping.changed(), if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            Ok(()) = changes.changed() => limits = *changes.borrow_and_update(),
        }
    }
}

/// Returns the response to a request.
async fn respond(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    arrived: Instant,
    holder: &Holder,
) -> Response<local_reply::Body> {
    let handled = proxy::handle(gateway, request, arrived, holder);
    let handled = holder.until_given_up(handled).await;
    let is_given_up = handled.is_err();
    let mut response = handled.unwrap_or_else(|given_up| give_up(gateway, given_up));
    if is_given_up || gateway.instance.is_draining() {
        // The caller's next request then opens a connection to another entry.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
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

/// Returns the size of the read buffer in which a request head must fit.
fn buffer_bytes(limits: &Limits) -> usize {
    let limit = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX);
    limit.max(MIN_BUFFER_BYTES)
}

fn open_connection<S>(buffer_bytes: usize, socket: Socket, service: S) -> Connection<S>
where
    S: HttpService<Incoming, ResBody = Delivered>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(socket), service)
}

/// Hands a connection on which no request is in progress to a new instance of the HTTP library. Bytes of the next request that were
/// read are kept. An unused instance has received no request yet.
async fn reopen<S>(
    mut connection: Connection<S>,
    is_unused: bool,
    buffer_bytes: usize,
) -> Reopened<S>
where
    S: HttpService<Incoming, ResBody = Delivered> + Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::Future: Unpin,
{
    // An unused instance that has read a part of a head would wait for the rest of it.
    if !is_unused {
        // The library ends at once if it agrees that no request is in progress.
        Pin::new(&mut connection).graceful_shutdown();
        match poll_fn(|cx| Poll::Ready(connection.poll_without_shutdown(cx))).await {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(error)) => {
                spdlog::debug!("gateway connection ended with an error: {error}");
                return Reopened::Ended;
            }
            Poll::Pending => return Reopened::Closing(connection),
        }
    }
    let parts = connection.into_parts();
    let mut socket = parts.io.into_inner();
    socket.unread(parts.read_buf);
    Reopened::Open(open_connection(buffer_bytes, socket, parts.service))
}

/// Waits until no request is in progress, and returns whether the body of the last one was received. It must be polled whenever the
/// connection was.
async fn until_idle(activity: &Activity, holder: &Holder) -> Receipt {
    poll_fn(|_| match holder.receipt() {
        Receipt::Partial => Poll::Pending,
        receipt if activity.is_idle() => Poll::Ready(receipt),
        _ => Poll::Pending,
    })
    .await
}

/// Waits until a timeout of the connection has passed. It must be polled whenever the connection was.
async fn until_timeout(
    activity: &Activity,
    holder: &Holder,
    limits: &Limits,
    mut timer: Pin<&mut Sleep>,
) {
    let head_timeout = Duration::from_millis(limits.head_ms);
    let idle_timeout = Duration::from_millis(limits.idle_ms);
    poll_fn(|cx| {
        loop {
            let deadline = if holder.receipt() == Receipt::Partial {
                // What was read belongs to the body of an answered request. Nothing tells this task when its receipt ends.
                activity.discard_head();
                None
            } else {
                match activity.deadline(head_timeout, idle_timeout) {
                    None => return Poll::Pending,
                    deadline => deadline,
                }
            };
            let wake_at = deadline.unwrap_or_else(|| Instant::now() + RECEIPT_CHECK_INTERVAL);
            if wake_at < timer.deadline() || timer.is_elapsed() {
                timer.as_mut().reset(wake_at);
            }
            ready!(timer.as_mut().poll(cx));
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return Poll::Ready(());
            }
        }
    })
    .await;
}
