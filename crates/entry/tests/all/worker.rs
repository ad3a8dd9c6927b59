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
    /// Header lines as they were sent, so that repeated headers are visible.
    pub lines: Vec<String>,
    pub body: Vec<u8>,
    /// Index of the connection in order of acceptance.
    pub connection: usize,
}

/// One step of a response.
#[derive(Clone, Debug)]
pub enum Step {
    Write(Vec<u8>),
    /// Waits, and ends when the peer sends more or closes the connection.
    Wait(Duration),
    /// Waits, whatever the peer does.
    Pause(Duration),
    /// Writes the same bytes until the peer closes the connection.
    Repeat(Vec<u8>),
    /// Closes the connection.
    Close,
}

type Script = dyn Fn(&Received) -> Vec<Step> + Send + Sync;

/// What a worker does with a request.
struct Behavior {
    /// Response to the head of a request, before its body is read; empty to respond to the whole request.
    early: Box<Script>,
    /// Response to a whole request that got no early one.
    respond: Box<Script>,
}

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Received>>>,
    /// Connections that the peer closed while a response was due or being written.
    pub cancelled: Arc<AtomicUsize>,
    /// Bytes of endless responses that were written.
    pub repeated: Arc<AtomicUsize>,
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

/// Counts that the connections of a worker share.
#[derive(Clone)]
struct Counts {
    closed: Arc<AtomicUsize>,
    repeated: Arc<AtomicUsize>,
}

impl Worker {
    pub async fn start(
        name: &str,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self::start_early(name, |_| Vec::new(), script).await
    }

    /// Starts a worker that answers some requests before it reads their bodies, and then reads on.
    pub async fn start_early(
        name: &str,
        early: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
        respond: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<Received>>> = Arc::default();
        let cancelled: Arc<AtomicUsize> = Arc::default();
        let repeated: Arc<AtomicUsize> = Arc::default();
        let behavior = Arc::new(Behavior {
            early: Box::new(early),
            respond: Box::new(respond),
        });
        let log = Arc::clone(&seen);
        let counts = Counts {
            closed: Arc::clone(&cancelled),
            repeated: Arc::clone(&repeated),
        };
        let task = tokio::spawn(async move {
            for connection in 0.. {
                let (socket, _) = listener.accept().await.unwrap();
                let (behavior, log) = (Arc::clone(&behavior), Arc::clone(&log));
                let counts = counts.clone();
                tokio::spawn(async move {
                    let _ = converse(socket, connection, &behavior, &log, &counts).await;
                });
            }
        });
        Self {
            name: name.to_owned(),
            address,
            seen,
            cancelled,
            repeated,
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
    behavior: &Behavior,
    log: &Mutex<Vec<Received>>,
    counts: &Counts,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(socket);
    while let Some(mut seen) = read_head(&mut stream, connection).await? {
        let early = (behavior.early)(&seen);
        let is_answered = !early.is_empty();
        if !play(&mut stream, early, counts).await? {
            return Ok(());
        }
        seen.body = read_body(&mut stream, &seen.headers).await?;
        log.lock().unwrap().push(seen.clone());
        if !is_answered && !play(&mut stream, (behavior.respond)(&seen), counts).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Carries out the steps; returns whether the connection is still in use.
async fn play(
    stream: &mut BufReader<TcpStream>,
    steps: Vec<Step>,
    counts: &Counts,
) -> std::io::Result<bool> {
    for step in steps {
        match step {
            Step::Write(bytes) => stream.get_mut().write_all(&bytes).await?,
            Step::Repeat(bytes) => {
                while stream.get_mut().write_all(&bytes).await.is_ok() {
                    counts.repeated.fetch_add(bytes.len(), Ordering::SeqCst);
                }
                counts.closed.fetch_add(1, Ordering::SeqCst);
                return Ok(false);
            }
            Step::Close => return Ok(false),
            Step::Pause(time) => sleep(time).await,
            Step::Wait(time) => {
                tokio::select! {
                    () = sleep(time) => {}
                    _ = stream.fill_buf() => {
                        counts.closed.fetch_add(1, Ordering::SeqCst);
                        return Ok(false);
                    }
                }
            }
        }
    }
    Ok(true)
}

async fn read_head(
    stream: &mut BufReader<TcpStream>,
    connection: usize,
) -> std::io::Result<Option<Received>> {
    let mut head = String::new();
    if stream.read_line(&mut head).await? == 0 {
        return Ok(None);
    }
    let (mut headers, mut lines) = (HashMap::new(), Vec::new());
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        headers.insert(name.to_lowercase(), value.to_owned());
        lines.push(line.trim_end().to_owned());
    }
    Ok(Some(Received {
        head: head.trim_end().to_owned(),
        headers,
        lines,
        body: Vec::new(),
        connection,
    }))
}

/// Reads a body; one that breaks off before its end is an error.
async fn read_body(
    stream: &mut BufReader<TcpStream>,
    headers: &HashMap<String, String>,
) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().unwrap(), 0);
        stream.read_exact(&mut body).await?;
    } else if headers.contains_key("transfer-encoding") {
        while let chunk @ [_, ..] = &*read_chunk(stream).await? {
            body.extend_from_slice(chunk);
        }
    }
    Ok(body)
}

/// Reads one chunk; the last one is empty.
async fn read_chunk(stream: &mut BufReader<TcpStream>) -> std::io::Result<Vec<u8>> {
    let mut size = String::new();
    stream.read_line(&mut size).await?;
    let size = usize::from_str_radix(size.trim_end(), 16).map_err(std::io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    stream.read_exact(&mut chunk).await?;
    chunk.truncate(size);
    Ok(chunk)
}
