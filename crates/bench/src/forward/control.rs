//! HTTP interface that reads and replaces the faults of a running forwarder.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

use super::{Mode, Shared};
use crate::error::{Error, loopback};

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Serves `GET /mode` and `POST /mode` until the future is dropped.
///
/// # Errors
///
/// Returns an error if the address is not on the loopback network or is in use, or if accepting a connection fails.
pub async fn serve(listen: SocketAddr, forwarder: Shared) -> Result<(), Error> {
    let listen = loopback(listen)?;
    let listener = TcpListener::bind(listen).await;
    let listener = listener.map_err(Error::io(format!("listening on {listen}")))?;
    loop {
        let accepted = listener.accept().await;
        let (socket, _) = accepted.map_err(Error::io("accepting a connection"))?;
        let forwarder = Shared::clone(&forwarder);
        tokio::spawn(async move {
            let service = hyper::service::service_fn(move |request| {
                let forwarder = Shared::clone(&forwarder);
                async move { Ok::<_, Infallible>(respond_to(&forwarder, request).await) }
            });
            let server = auto::Builder::new(TokioExecutor::new());
            // Errors of a connection affect only its client.
            let _ = server.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

async fn respond_to(
    forwarder: &super::Forwarder,
    request: http::Request<Incoming>,
) -> Response<Full<Bytes>> {
    let reply = |status: StatusCode, text: String| {
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response
    };
    if request.uri().path() != "/mode" {
        return reply(StatusCode::NOT_FOUND, String::new());
    }
    if request.method() == Method::POST {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
        let Ok(body) = body.collect().await else {
            return reply(StatusCode::BAD_REQUEST, "body could not be read".into());
        };
        match serde_json::from_slice::<Mode>(&body.to_bytes()) {
            Ok(mode) => forwarder.set_mode(mode),
            Err(error) => return reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
    let mode = serde_json::to_string(&forwarder.mode()).unwrap_or_default();
    reply(StatusCode::OK, mode)
}
