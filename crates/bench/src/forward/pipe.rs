//! Forwarding of one connection.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Flow, Mode, Traffic};

/// Maximum size of one read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks per direction that wait for their delay to pass.
const MAX_QUEUED_CHUNKS: usize = 1_024;

/// Makes the socket send a reset when it is closed.
pub fn reset(socket: &TcpStream) {
    // A zero linger time discards unsent bytes and sends RST. If setting it fails, the socket closes normally.
    let _ = socket.set_zero_linger();
}

/// Error of a direction after which the whole connection must be reset.
struct Reset;

/// Forwards both directions until both are closed, one fails or the mode refuses connections.
pub(crate) async fn forward(
    mut origin: TcpStream,
    mut target: TcpStream,
    mode: watch::Receiver<Mode>,
    traffic: &Traffic,
) {
    let _ = origin.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let mut refusal = mode.clone();
    let needs_reset = {
        let (origin_read, origin_write) = origin.split();
        let (target_read, target_write) = target.split();
        let to_target = forward_direction(
            origin_read,
            target_write,
            mode.clone(),
            |m| m.to_target,
            traffic,
        );
        let to_origin =
            forward_direction(target_read, origin_write, mode, |m| m.to_origin, traffic);
        tokio::select! {
            ended = async { tokio::try_join!(to_target, to_origin) } => ended.is_err(),
            refused = refusal.wait_for(|m| m.refuse) => refused.is_ok(),
        }
    };
    if needs_reset {
        reset(&origin);
        reset(&target);
    }
}

async fn forward_direction(
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    mode: watch::Receiver<Mode>,
    select_flow: fn(&Mode) -> Flow,
    traffic: &Traffic,
) -> Result<(), Reset> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let (reading, writing) = (
        read_chunks(read, sender, mode, select_flow, traffic),
        write_chunks(write, receiver),
    );
    tokio::try_join!(reading, writing).map(drop)
}

async fn read_chunks(
    mut read: ReadHalf<'_>,
    sender: mpsc::Sender<(Instant, Bytes)>,
    mut mode: watch::Receiver<Mode>,
    select_flow: fn(&Mode) -> Flow,
    traffic: &Traffic,
) -> Result<(), Reset> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut bytes_since_change: u64 = 0;
    loop {
        if mode.has_changed().unwrap_or(false) {
            mode.mark_unchanged();
            bytes_since_change = 0;
        }
        if mode.wait_for(|m| !select_flow(m).stall).await.is_err() {
            return Ok(());
        }
        let size = tokio::select! {
            // A mode change must take effect before bytes that arrive after it are read.
            biased;
            _ = mode.changed() => {
                bytes_since_change = 0;
                continue;
            }
            size = read.read(&mut buffer) => size,
        };
        let size = match size {
            Ok(0) => return Ok(()),
            Ok(size) => size,
            Err(_) => return Err(Reset),
        };
        let faults = select_flow(&mode.borrow());
        if faults.drop {
            continue;
        }
        traffic.record_chunk(size as u64);
        bytes_since_change += size as u64;
        if faults.reset_after > 0 && bytes_since_change > faults.reset_after {
            return Err(Reset);
        }
        let due = Instant::now() + Duration::from_millis(faults.delay_ms);
        let chunk = Bytes::copy_from_slice(&buffer[..size]);
        if sender.send((due, chunk)).await.is_err() {
            return Ok(());
        }
        if faults.bytes_per_s > 0 {
            #[allow(clippy::cast_precision_loss)]
            let pause = Duration::from_secs_f64(size as f64 / faults.bytes_per_s as f64);
            sleep(pause).await;
        }
    }
}

async fn write_chunks(
    mut write: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
) -> Result<(), Reset> {
    while let Some((due, chunk)) = receiver.recv().await {
        sleep_until(due).await;
        if write.write_all(&chunk).await.is_err() {
            return Err(Reset);
        }
    }
    let _ = write.shutdown().await;
    Ok(())
}
