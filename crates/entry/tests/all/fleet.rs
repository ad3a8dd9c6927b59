//! Entry instances under test, and an HTTP client that uses one connection per request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutvalve_entry::{Daemon, Settings};
use chestnutvalve_kernel::Shutdown;
use http::HeaderMap;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::control::Control;

/// Time within which a change must be in force at an entry under test, in milliseconds.
pub const APPLY_LIMIT_MS: u32 = 2_000;

pub struct Entry {
    pub callers: SocketAddr,
    pub platform: SocketAddr,
    pub peers: SocketAddr,
    pub gateway: SocketAddr,
    pub shutdown: Shutdown,
    pub running: JoinHandle<()>,
    pub quota: std::sync::Arc<chestnutvalve_entry::gateway::quota::Quota>,
    instance: std::sync::Arc<chestnutvalve_entry::instance::Instance>,
}

impl Entry {
    pub async fn start(name: &str, control: SocketAddr) -> Self {
        Self::start_with_hints(name, control, &[]).await
    }

    pub async fn start_with_hints(name: &str, control: SocketAddr, hint: &[SocketAddr]) -> Self {
        Self::start_with_link(name, control, hint, 1_000).await
    }

    /// Starts an entry with a link bandwidth of `mbps` megabits per second.
    pub async fn start_with_link(
        name: &str,
        control: SocketAddr,
        hint: &[SocketAddr],
        mbps: u32,
    ) -> Self {
        Self::start_with_controls(name, &[control], hint, mbps).await
    }

    /// Starts an entry that is configured with several control instances.
    pub async fn start_with_controls(
        name: &str,
        controls: &[SocketAddr],
        hint: &[SocketAddr],
        mbps: u32,
    ) -> Self {
        Self::start_with(name, "z1", controls, hint, mbps, None).await
    }

    /// Starts an entry in an availability zone.
    pub async fn start_in_zone(name: &str, zone: &str, control: SocketAddr, mbps: u32) -> Self {
        Self::start_with(name, zone, &[control], &[], mbps, None).await
    }

    /// Starts an entry whose process has a memory limit of `memory_mb` megabytes.
    pub async fn start_with_memory(name: &str, control: SocketAddr, memory_mb: u32) -> Self {
        Self::start_with(name, "z1", &[control], &[], 1_000, Some(memory_mb)).await
    }

    async fn start_with(
        name: &str,
        zone: &str,
        controls: &[SocketAddr],
        hint: &[SocketAddr],
        mbps: u32,
        memory_mb: Option<u32>,
    ) -> Self {
        let any = "127.0.0.1:0";
        let settings = serde_json::json!({
            "entry": name, "zone": zone, "callers": any, "platform": any, "peers": any, "gateway": any,
            "control": controls, "peers_hint": hint, "link_mbps": mbps,
            "memory_mb": memory_mb,
            "apply_limit_ms": APPLY_LIMIT_MS,
        });
        let settings: Settings = serde_json::from_value(settings).unwrap();
        let shutdown = Shutdown::default();
        let daemon = Daemon::start(settings, shutdown.clone()).await.unwrap();
        let instance = std::sync::Arc::clone(daemon.instance());
        let quota = std::sync::Arc::clone(&daemon.gateway().quota);
        let member = instance.member();
        Self {
            callers: member.callers,
            platform: member.platform,
            peers: member.peers,
            gateway: member.gateway.unwrap(),
            shutdown,
            quota,
            running: tokio::spawn(async move { daemon.run().await.unwrap() }),
            instance,
        }
    }

    pub fn state(&self) -> std::sync::Arc<chestnutvalve_model::control::State> {
        self.instance.control_state.current()
    }

    /// Returns the value of the first metric with that name and label, or 0.
    pub async fn metric(&self, name: &str, label: &str) -> f64 {
        let metrics = send(self.platform, "GET", "/metrics", &[], b"").await;
        let metrics = String::from_utf8(metrics.unwrap().body).unwrap();
        let mut lines = metrics.lines().filter(|l| l.starts_with(name));
        let value = lines
            .find(|l| l.contains(label))
            .and_then(|l| l.rsplit(' ').next());
        value.map_or(0.0, |v| v.parse().unwrap())
    }

    /// Waits until the directory in force at this entry has `entries` members.
    pub async fn wait_for_members(&self, entries: usize) {
        wait_until("directory", || {
            self.instance
                .control_state
                .current()
                .directory
                .members
                .len()
                == entries
        })
        .await;
    }

    /// Waits until this entry has exactly `workers` usable workers of the service.
    pub async fn wait_for_workers(&self, service: &str, workers: usize) {
        let service = chestnutvalve_model::id::Service::new(service).unwrap();
        wait_until("workers", || {
            let service_state = self.instance.services.get(&service);
            service_state.is_some_and(|s| {
                s.with_detector(|_, known| known.values().filter(|c| c.usable).count()) == workers
            })
        })
        .await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.running.abort();
    }
}

/// Starts a control instance and one entry that has joined the directory.
pub async fn start_single() -> (Control, Entry) {
    let control = Control::start().await;
    let entry = Entry::start("e1", control.address).await;
    entry.wait_for_members(1).await;
    (control, entry)
}

/// Waits for a condition, for at most 10 s.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let limit = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < limit, "{what}: condition not met in 10 s");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A response whose framing was complete.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }
}

/// Sends a request on a new connection; a truncated response is an error.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let socket = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    let driver = tokio::spawn(connection);
    let mut request = http::Request::builder().method(method).uri(path);
    if !headers.iter().any(|(name, _)| *name == "host") {
        request = request.header("host", address.to_string());
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body)))?;
    let _abort = AbortOnDrop(driver);
    let response = sender.send_request(request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes().to_vec();
    Ok(Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    })
}

/// Sends a GET request over HTTP/2 in cleartext.
pub async fn send_h2(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let socket = TokioIo::new(TcpStream::connect(address).await?);
    let executor = hyper_util::rt::TokioExecutor::new();
    let (mut sender, connection) = hyper::client::conn::http2::handshake(executor, socket).await?;
    let _abort = AbortOnDrop(tokio::spawn(connection));
    let mut request = http::Request::get(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::<Bytes>::default())?;
    let (parts, body) = sender.send_request(request).await?.into_parts();
    Ok(Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await?.to_bytes().to_vec(),
    })
}

struct AbortOnDrop<T>(JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
