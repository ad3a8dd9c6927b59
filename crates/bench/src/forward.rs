//! TCP forwarder on the loopback network that injects faults into the connections it forwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::error::{Error, loopback};

pub mod control;
pub mod pipe;

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Flow {
    /// Whether bytes are read and discarded. The connection stays open.
    pub drop: bool,
    /// Whether bytes are not read, so that the sender's buffers fill up.
    pub stall: bool,
    /// Delay of each chunk, in milliseconds. It does not limit the throughput.
    pub delay_ms: u64,
    /// Throughput limit, in bytes per second. Zero is unlimited.
    pub bytes_per_s: u64,
    /// Number of bytes, counted since the fault was set, after which the connection is reset. Zero never resets it.
    pub reset_after: u64,
}

/// Faults of a forwarder. The default forwards everything unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Bytes from the connecting side to the target.
    pub to_target: Flow,
    /// Bytes from the target to the connecting side.
    pub to_origin: Flow,
    /// Whether new connections are refused (reset when accepted) and open ones are reset.
    pub refuse: bool,
}

impl Mode {
    /// Returns the mode that drops the bytes of both directions and keeps connections open, as a network partition does.
    #[must_use]
    pub fn partition() -> Self {
        let drop_flow = Flow {
            drop: true,
            ..Flow::default()
        };
        Self {
            to_target: drop_flow,
            to_origin: drop_flow,
            refuse: false,
        }
    }

    /// Returns the mode that drops only the bytes sent by the target.
    #[must_use]
    pub fn drop_responses() -> Self {
        Self {
            to_target: Flow::default(),
            ..Self::partition()
        }
    }

    /// Returns the mode that drops only the bytes sent by the connecting side.
    #[must_use]
    pub fn drop_requests() -> Self {
        Self {
            to_origin: Flow::default(),
            ..Self::partition()
        }
    }

    /// Returns the mode that delays each direction by `delay`.
    #[must_use]
    pub fn delay(delay: Duration) -> Self {
        let flow = Flow {
            delay_ms: u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
            ..Flow::default()
        };
        Self {
            to_target: flow,
            to_origin: flow,
            refuse: false,
        }
    }
}

/// Totals of the bytes and chunks forwarded in both directions.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    bytes: AtomicU64,
    chunks: AtomicU64,
}

impl Traffic {
    fn record_chunk(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.chunks.fetch_add(1, Ordering::Relaxed);
    }
}

/// A running forwarder. Dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Forwarder {
    address: SocketAddr,
    target: SocketAddr,
    mode: watch::Sender<Mode>,
    traffic: Arc<Traffic>,
    task: tokio::task::JoinHandle<()>,
}

impl Forwarder {
    /// Starts forwarding from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is not on the loopback network or `listen` is in use.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self, Error> {
        let (listen, target) = (loopback(listen)?, loopback(target)?);
        let listener = TcpListener::bind(listen).await;
        let listener = listener.map_err(Error::io(format!("listening on {listen}")))?;
        let address = listener
            .local_addr()
            .map_err(Error::io("reading the address of the listener"))?;
        let (mode, modes) = watch::channel(Mode::default());
        let traffic = Arc::new(Traffic::default());
        let task = tokio::spawn(accept_connections(
            listener,
            target,
            modes,
            Arc::clone(&traffic),
        ));
        Ok(Self {
            address,
            target,
            mode,
            traffic,
            task,
        })
    }

    /// Returns the address that the forwarder listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that connections are forwarded to.
    #[must_use]
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn mode(&self) -> Mode {
        *self.mode.borrow()
    }

    /// Returns the numbers of bytes and chunks forwarded since the start, as a sum over both directions.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (read(&self.traffic.bytes), read(&self.traffic.chunks))
    }

    /// Replaces the faults, including those of open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    modes: watch::Receiver<Mode>,
    traffic: Arc<Traffic>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((origin, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if modes.borrow().refuse {
            pipe::reset(&origin);
            continue;
        }
        let (modes, traffic) = (modes.clone(), Arc::clone(&traffic));
        connections.spawn(async move {
            if let Ok(socket) = TcpStream::connect(target).await {
                pipe::forward(origin, socket, modes, &traffic).await;
            } else {
                pipe::reset(&origin);
            }
        });
    }
}

/// Forwarder shared between its owner and the control address.
pub type Shared = Arc<Forwarder>;
