//! One forwarded connection.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::{Flow, Mode, Traffic};

/// Bytes read at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// Pieces that wait for their delay to pass, per direction.
const QUEUE: usize = 1_024;

/// Makes the close of the socket a reset.
pub fn reset(socket: &TcpStream) {
    // A zero linger time discards unsent bytes and sends RST; a failure leaves an ordinary close.
    let _ = socket.set_zero_linger();
}

/// The connection has to be reset.
struct Reset;

/// Forwards both directions until both are closed or one is reset.
pub(crate) async fn join(
    mut origin: TcpStream,
    mut target: TcpStream,
    modes: watch::Receiver<Mode>,
    traffic: &Traffic,
) {
    let _ = origin.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let mut refusals = modes.clone();
    let broken = {
        let (origin_read, origin_write) = origin.split();
        let (target_read, target_write) = target.split();
        let up = direction(
            origin_read,
            target_write,
            modes.clone(),
            |m| m.to_target,
            traffic,
        );
        let down = direction(target_read, origin_write, modes, |m| m.to_origin, traffic);
        tokio::select! {
            ended = async { tokio::try_join!(up, down) } => ended.is_err(),
            refused = refusals.wait_for(|m| m.refuse) => refused.is_ok(),
        }
    };
    if broken {
        reset(&origin);
        reset(&target);
    }
}

async fn direction(
    read: ReadHalf<'_>,
    write: WriteHalf<'_>,
    modes: watch::Receiver<Mode>,
    flow: fn(&Mode) -> Flow,
    traffic: &Traffic,
) -> Result<(), Reset> {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let (taking, giving) = (
        take(read, sender, modes, flow, traffic),
        give(write, receiver),
    );
    tokio::try_join!(taking, giving).map(drop)
}

async fn take(
    mut read: ReadHalf<'_>,
    sender: mpsc::Sender<(Instant, Bytes)>,
    mut modes: watch::Receiver<Mode>,
    flow: fn(&Mode) -> Flow,
    traffic: &Traffic,
) -> Result<(), Reset> {
    let mut buffer = vec![0; PIECE_BYTES];
    let mut counted: u64 = 0;
    loop {
        if modes.has_changed().unwrap_or(false) {
            modes.mark_unchanged();
            counted = 0;
        }
        if modes.wait_for(|m| !flow(m).stall).await.is_err() {
            return Ok(());
        }
        let size = tokio::select! {
            // A change of the mode must be seen before bytes that arrive after it are read.
            biased;
            _ = modes.changed() => {
                counted = 0;
                continue;
            }
            size = read.read(&mut buffer) => size,
        };
        let size = match size {
            Ok(0) => return Ok(()),
            Ok(size) => size,
            Err(_) => return Err(Reset),
        };
        let now = flow(&modes.borrow());
        if now.drop {
            continue;
        }
        traffic.add(size as u64);
        counted += size as u64;
        if now.reset_after > 0 && counted > now.reset_after {
            return Err(Reset);
        }
        let due = Instant::now() + Duration::from_millis(now.delay_ms);
        let piece = Bytes::copy_from_slice(&buffer[..size]);
        if sender.send((due, piece)).await.is_err() {
            return Ok(());
        }
        if now.bytes_per_s > 0 {
            #[allow(clippy::cast_precision_loss)]
            let pause = Duration::from_secs_f64(size as f64 / now.bytes_per_s as f64);
            sleep(pause).await;
        }
    }
}

async fn give(
    mut write: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
) -> Result<(), Reset> {
    while let Some((due, piece)) = receiver.recv().await {
        sleep_until(due).await;
        if write.write_all(&piece).await.is_err() {
            return Err(Reset);
        }
    }
    let _ = write.shutdown().await;
    Ok(())
}
