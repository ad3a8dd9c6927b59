//! TCP forwarder that injects faults into connections on the loopback network.

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

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Flow {
    /// Bytes are read and thrown away; the connection stays open.
    pub drop: bool,
    /// Bytes are not read, so that the sender's buffers fill up.
    pub stall: bool,
    /// Delay of each piece, in milliseconds; it adds no limit to the throughput.
    pub delay_ms: u64,
    /// Bytes per second; zero is unlimited.
    pub bytes_per_s: u64,
    /// Resets the connection after so many bytes counted from the setting of the fault; zero never does.
    pub reset_after: u64,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Bytes from the connecting side to the target.
    pub to_target: Flow,
    /// Bytes from the target to the connecting side.
    pub to_origin: Flow,
    /// Connections are refused (closed when accepted) and open ones are reset.
    pub refuse: bool,
}

impl Mode {
    /// Returns the mode in which nothing passes either way.
    #[must_use]
    pub fn partition() -> Self {
        let dropped = Flow {
            drop: true,
            ..Flow::default()
        };
        Self {
            to_target: dropped,
            to_origin: dropped,
            refuse: false,
        }
    }

    /// Returns the mode in which only the target's bytes are lost.
    #[must_use]
    pub fn drop_responses() -> Self {
        Self {
            to_target: Flow::default(),
            ..Self::partition()
        }
    }

    /// Returns the mode in which only the connecting side's bytes are lost.
    #[must_use]
    pub fn drop_requests() -> Self {
        Self {
            to_origin: Flow::default(),
            ..Self::partition()
        }
    }

    /// Returns the mode that delays both ways by `delay`.
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

/// What has passed through a forwarder.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    bytes: AtomicU64,
    pieces: AtomicU64,
}

impl Traffic {
    fn add(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.pieces.fetch_add(1, Ordering::Relaxed);
    }
}

/// A running forwarder; it stops when dropped.
#[derive(Debug)]
pub struct Forwarder {
    address: SocketAddr,
    target: SocketAddr,
    mode: watch::Sender<Mode>,
    traffic: Arc<Traffic>,
    task: tokio::task::JoinHandle<()>,
}

impl Forwarder {
    /// Starts to forward from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error for an address that is not on the loopback network or not free.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self, Error> {
        let (listen, target) = (loopback(listen)?, loopback(target)?);
        let listener = TcpListener::bind(listen).await;
        let listener = listener.map_err(Error::io(format!("listening on {listen}")))?;
        let address = listener.local_addr().map_err(Error::io("own address"))?;
        let (mode, modes) = watch::channel(Mode::default());
        let traffic = Arc::new(Traffic::default());
        let task = tokio::spawn(accept(listener, target, modes, Arc::clone(&traffic)));
        Ok(Self {
            address,
            target,
            mode,
            traffic,
            task,
        })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that is forwarded to.
    #[must_use]
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn mode(&self) -> Mode {
        *self.mode.borrow()
    }

    /// Returns the bytes and pieces that have passed so far, both ways together.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (read(&self.traffic.bytes), read(&self.traffic.pieces))
    }

    /// Replaces the faults, also those of open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
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
                pipe::join(origin, socket, modes, &traffic).await;
            } else {
                pipe::reset(&origin);
            }
        });
    }
}

/// Shares a forwarder between the control address and its owner.
pub type Shared = Arc<Forwarder>;
