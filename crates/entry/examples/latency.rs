//! Measures the latency that an entry adds, compared with direct calls to the same worker in the same run.
//!
//! Direct and proxied calls alternate on persistent connections, so that noise of the machine affects both equally.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutvalve_entry::{Daemon, Settings};
use chestnutvalve_kernel::Shutdown;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};

type Failure = Box<dyn Error + Send + Sync>;
type Sender = SendRequest<Full<Bytes>>;

/// Number of concurrent callers, each of which sends its requests one after the other.
const CALLERS: usize = 4;
/// Number of measured pairs of calls per caller.
const PAIRS: usize = 5_000;
/// Number of pairs per caller before the measurement starts.
const WARM_UP: usize = 500;
/// Time that the worker takes per request.
const WORK: Duration = Duration::from_millis(2);
/// Body of each response.
const BODY: Bytes = Bytes::from_static(&[b'x'; 1_024]);

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let worker = start_worker().await?;
    let any = "127.0.0.1:0";
    let settings: Settings = serde_json::from_value(json!({
        "entry": "e1", "zone": "z1", "callers": any, "platform": any, "peers": any,
        // No process listens there; an entry without a directory owns all services.
        "control": ["127.0.0.1:9"], "log": "error",
    }))?;
    let daemon = Daemon::start(settings, Shutdown::default()).await?;
    let entry = daemon.instance().member();
    tokio::spawn(renew(entry.platform, worker));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let callers = (0..CALLERS).map(|_| tokio::spawn(measure(worker, entry.callers)));
    let (mut direct, mut proxied) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for caller in callers.collect::<Vec<_>>() {
        let (d, p) = caller.await??;
        direct.add(d)?;
        proxied.add(p)?;
    }
    println!(
        "{} calls each, {CALLERS} callers, {WORK:?} of work",
        direct.len()
    );
    for quantile in [0.5, 0.99, 0.999] {
        let [d, p] = [&direct, &proxied].map(|h| h.value_at_quantile(quantile));
        let added = i64::try_from(p)? - i64::try_from(d)?;
        println!(
            "p{}: direct {d} us, through the entry {p} us, added {added} us",
            quantile * 100.0
        );
    }
    Ok(())
}

async fn start_worker() -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let _ = socket.set_nodelay(true);
            let service = service_fn(|_| async {
                tokio::time::sleep(WORK).await;
                Ok::<_, Infallible>(Response::new(Full::new(BODY)))
            });
            let server = hyper::server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(TokioIo::new(socket), service));
        }
    });
    Ok(address)
}

async fn renew(platform: SocketAddr, worker: SocketAddr) -> Result<(), Failure> {
    let mut sender = connect(platform).await?;
    let mut body = json!({
        "service": "s", "worker": "w1", "incarnation": 1, "address": worker.to_string(),
        "zone": "z1", "slots": 64,
    });
    loop {
        let request = Request::post("/v1/workers").header("host", "platform");
        let request = request.body(Full::new(body.to_string().into()))?;
        let answer = sender.send_request(request).await?;
        let answer = answer.into_body().collect().await?.to_bytes();
        let answer: serde_json::Value = serde_json::from_slice(&answer)?;
        body["token"] = answer["token"].clone();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, Failure> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn measure(
    worker: SocketAddr,
    entry: SocketAddr,
) -> Result<(Histogram<u64>, Histogram<u64>), Failure> {
    let (mut direct, mut proxied) = (Histogram::new(3)?, Histogram::new(3)?);
    let (mut to_worker, mut to_entry) = (connect(worker).await?, connect(entry).await?);
    for pair in 0..WARM_UP + PAIRS {
        let took = (call(&mut to_worker).await?, call(&mut to_entry).await?);
        if pair >= WARM_UP {
            direct.record(took.0)?;
            proxied.record(took.1)?;
        }
    }
    Ok((direct, proxied))
}

/// Sends one request and returns its duration in microseconds.
async fn call(sender: &mut Sender) -> Result<u64, Failure> {
    sender.ready().await?;
    let request = Request::get("/").header("host", "s");
    let request = request.body(Full::default())?;
    let start = Instant::now();
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()).into());
    }
    let body = response.into_body().collect().await?.to_bytes();
    if body.len() != BODY.len() {
        return Err("unexpected body size".into());
    }
    Ok(u64::try_from(start.elapsed().as_micros())?)
}
