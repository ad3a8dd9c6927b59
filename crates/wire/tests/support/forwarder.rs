//! Forwarder of TCP connections that delays bytes and makes open connections go silent.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

pub struct Forwarder {
    pub address: SocketAddr,
    /// Number of times that the open connections were silenced.
    silenced: watch::Sender<u32>,
}

impl Forwarder {
    /// Starts a forwarder to `target` that delays the bytes in each direction by `delay`.
    pub async fn start(target: SocketAddr, delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let silenced = watch::Sender::new(0);
        let events = silenced.subscribe();
        tokio::spawn(async move {
            while let Ok((accepted, _)) = listener.accept().await {
                let (from, to) = accepted.into_split();
                let opened = TcpStream::connect(target).await.unwrap();
                let (back, forth) = opened.into_split();
                let mut events = events.clone();
                events.mark_unchanged();
                tokio::spawn(forward(from, forth, delay, events.clone()));
                tokio::spawn(forward(back, to, delay, events));
            }
        });
        Self { address, silenced }
    }

    /// Makes the open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.silenced.send_modify(|times| *times += 1);
    }
}

/// Forwards bytes until the connection ends or is silenced. A silenced connection stays open.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    mut silenced: watch::Receiver<u32>,
) {
    let (queue, mut queued) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    let read = async move {
        let mut bytes = vec![0; 64 * 1024];
        while let Ok(size @ 1..) = from.read(&mut bytes).await {
            let _ = queue.send((Instant::now() + delay, bytes[..size].to_vec()));
        }
    };
    let write = async {
        while let Some((due, bytes)) = queued.recv().await {
            sleep_until(due).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = silenced.changed() => std::future::pending().await,
        _ = async { tokio::join!(read, write) } => {}
    }
}
