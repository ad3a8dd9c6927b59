//! Worker with responses that are scripted byte by byte.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::fleet::{Reply, send};

/// A request that the worker received.
#[derive(Clone, Debug)]
pub struct Received {
    pub head: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Index of the connection in order of acceptance.
    pub connection: usize,
}

/// One step of a response.
#[derive(Clone, Debug)]
pub enum Step {
    Write(Vec<u8>),
    Wait(Duration),
    /// Writes the same bytes until the peer closes the connection.
    Repeat(Vec<u8>),
    /// Closes the connection.
    Close,
}

type Script = dyn Fn(&Received) -> Vec<Step> + Send + Sync;

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Received>>>,
    /// Connections that the peer closed while a response was due or being written.
    pub cancelled: Arc<AtomicUsize>,
    announcing: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Returns a complete response.
pub fn response(status: u16, body: &str) -> Vec<Step> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nchestnutvalve-worker: accepting\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    vec![Step::Write(text.into_bytes())]
}

impl Worker {
    pub async fn start(
        name: &str,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<Received>>> = Arc::default();
        let cancelled: Arc<AtomicUsize> = Arc::default();
        let script: Arc<Script> = Arc::new(script);
        let (log, closed) = (Arc::clone(&seen), Arc::clone(&cancelled));
        let task = tokio::spawn(async move {
            for connection in 0.. {
                let (socket, _) = listener.accept().await.unwrap();
                let (script, log) = (Arc::clone(&script), Arc::clone(&log));
                let closed = Arc::clone(&closed);
                tokio::spawn(async move {
                    let _ = converse(socket, connection, &*script, &log, &closed).await;
                });
            }
        });
        Self {
            name: name.to_owned(),
            address,
            seen,
            cancelled,
            announcing: Arc::default(),
            tasks: vec![task],
        }
    }

    /// Announces the worker at `platform` and renews until stopped.
    pub async fn announce(&mut self, mut platform: SocketAddr, service: &str) {
        self.announcing.store(true, Ordering::SeqCst);
        let announcing = Arc::clone(&self.announcing);
        let mut body = json!({
            "service": service, "worker": self.name, "incarnation": 1,
            "address": self.address.to_string(), "zone": "z1", "slots": 8, "load": 0,
        });
        // The second announcement may be the first one at the home entry, and only a renewal there counts as a proof.
        for _ in 0..3 {
            renew(&mut platform, &mut body).await;
        }
        self.tasks.push(tokio::spawn(async move {
            while announcing.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(200)).await;
                renew(&mut platform, &mut body).await;
            }
        }));
    }

    pub fn stop_announcing(&self) {
        self.announcing.store(false, Ordering::SeqCst);
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Announces the worker, and continues at the home entry that the answer names.
async fn renew(platform: &mut SocketAddr, body: &mut serde_json::Value) {
    let text = body.to_string();
    if let Ok(Reply {
        status: 200,
        body: answer,
        ..
    }) = send(*platform, "POST", "/v1/workers", &[], text.as_bytes()).await
    {
        let answer: serde_json::Value = serde_json::from_slice(&answer).unwrap();
        *platform = answer["home"].as_str().unwrap().parse().unwrap();
        body["token"] = answer["token"].clone();
    }
}

async fn converse(
    socket: TcpStream,
    connection: usize,
    script: &Script,
    log: &Mutex<Vec<Received>>,
    closed: &AtomicUsize,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(socket);
    loop {
        let Some(seen) = read(&mut stream, connection).await? else {
            return Ok(());
        };
        log.lock().unwrap().push(seen.clone());
        for step in script(&seen) {
            match step {
                Step::Write(bytes) => stream.get_mut().write_all(&bytes).await?,
                Step::Repeat(bytes) => {
                    while stream.get_mut().write_all(&bytes).await.is_ok() {}
                    closed.fetch_add(1, Ordering::SeqCst);
                    return Ok(());
                }
                Step::Close => return Ok(()),
                Step::Wait(time) => {
                    tokio::select! {
                        () = sleep(time) => {}
                        _ = stream.fill_buf() => {
                            closed.fetch_add(1, Ordering::SeqCst);
                            return Ok(());
                        }
                    }
                }
            }
        }
    }
}

async fn read(
    stream: &mut BufReader<TcpStream>,
    connection: usize,
) -> std::io::Result<Option<Received>> {
    let mut head = String::new();
    if stream.read_line(&mut head).await? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        headers.insert(name.to_lowercase(), value.to_owned());
    }
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().unwrap(), 0);
        stream.read_exact(&mut body).await?;
    }
    Ok(Some(Received {
        head: head.trim_end().to_owned(),
        headers,
        body,
        connection,
    }))
}
