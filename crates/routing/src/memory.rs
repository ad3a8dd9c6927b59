//! Memory that an entry holds for its callers and workers: how much may be held, and whose connection gives way.
//!
//! Load pattern: most responses are below 30 kB, some callers read at 1 kB/s or not at all, and an entry has 160 MB. A
//! worker cuts off a response that stays unread for some seconds, so that responses are read ahead while there is room.

use std::time::Duration;

/// Part of the memory that may be held for connections. The rest is for the state, the queues and the allocator.
const HELD_SHARE: f64 = 0.25;
/// Part of the budget above which slow transfers give way, and the time from which on a transfer counts as slow: that which
/// it is expected to need for the bytes that it holds. The parts lie below [`ADMISSION_SHARE`], so that slow callers don't
/// take the room of others.
const SLOW: [(f64, Duration); 2] = [
    (0.75, Duration::from_secs(1)),
    (0.85, Duration::from_millis(200)),
];
/// Part of the budget above which new downloads are refused. They take most of the memory.
const DOWNLOAD_SHARE: f64 = 0.85;
/// Part of the budget above which other new requests are refused. The rest takes what the requests in progress still need.
const ADMISSION_SHARE: f64 = 0.95;
/// Part of the budget that responses may fill which are read ahead beyond [`MIN_AHEAD_BYTES`].
const AHEAD_SHARE: f64 = 0.5;
/// Each response may be read ahead by this part of what is free, so that few slow callers get much and many get little.
const AHEAD_DIVISOR: u64 = 8;
/// Part of a response that is always read ahead, in bytes. Most responses are smaller, and then free their worker.
pub const MIN_AHEAD_BYTES: u64 = 32 * 1024;
/// Maximum part of a response that is read ahead, in bytes.
pub const MAX_AHEAD_BYTES: u64 = 256 * 1024;
/// Minimum time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time over which the refused callers of one moment are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(600);
/// Time without progress after which a complete response may give way too, as the last resort; also the time that its caller
/// may be expected to need for what is held.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(30);

/// What one connection holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Identifies the connection.
    pub id: u64,
    /// Bytes that are held.
    pub held: u64,
    /// Bytes that were passed on since the connection began to hold any.
    pub progress: u64,
    /// Time since the connection began to hold bytes.
    pub age: Duration,
    /// Time since the connection last passed bytes on.
    pub idle: Duration,
    /// Whether a part of a response is held. Without one, the connection waits for a worker and not for its caller.
    pub is_delivering: bool,
    /// Whether a response is held that was received whole from its worker.
    pub is_complete: bool,
    /// Time since the first of these responses was received whole.
    pub complete_age: Duration,
    /// Bytes of responses that were passed on in that time.
    pub complete_progress: u64,
}

/// Bytes that may be held for all connections together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// `None` for no limit.
    bytes: Option<u64>,
}

impl Budget {
    /// Derives the budget from the memory limit of the process, in bytes; `None` for no limit.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        Self {
            bytes: memory.map(|memory| part(memory, HELD_SHARE)),
        }
    }

    /// Returns the budget in bytes, if there is one.
    #[must_use]
    pub fn bytes(self) -> Option<u64> {
        self.bytes
    }

    /// Decides on a new request while `held` bytes are held. `spread` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Refuses the request with the time after which its caller may come back.
    pub fn admit(self, held: u64, is_download: bool, spread: f64) -> Result<(), Duration> {
        let share = if is_download {
            DOWNLOAD_SHARE
        } else {
            ADMISSION_SHARE
        };
        match self.bytes {
            Some(bytes) if held >= part(bytes, share) => {
                Err(MIN_RETRY_AFTER + RETRY_SPREAD.mul_f64(spread.clamp(0.0, 1.0)))
            }
            _ => Ok(()),
        }
    }

    /// Returns how far a response may be read ahead of its caller while `held` bytes are held, in bytes.
    #[must_use]
    pub fn read_ahead(self, held: u64) -> u64 {
        let Some(bytes) = self.bytes else {
            return MAX_AHEAD_BYTES;
        };
        let free = part(bytes, AHEAD_SHARE).saturating_sub(held);
        (free / AHEAD_DIVISOR).clamp(MIN_AHEAD_BYTES, MAX_AHEAD_BYTES)
    }

    /// Returns whether connections may have to give way while `held` bytes are held.
    #[must_use]
    pub fn is_scarce(self, held: u64) -> bool {
        let (share, _) = SLOW[0];
        self.bytes.is_some_and(|bytes| held > part(bytes, share))
    }

    /// Returns the connections that give way while `held` bytes are held: slow transfers until three quarters of the budget
    /// are used, and any connection until it is kept; those first that hold most and progress least. Complete responses are kept, unless
    /// their callers have taken nothing for 30 s or read so slowly that they are expected to need longer. Otherwise callers that
    /// read a byte now and then would use up the budget for good.
    #[must_use]
    pub fn choose(self, held: u64, holdings: &[Holding]) -> Vec<u64> {
        let Some(bytes) = self.bytes else {
            return Vec::new();
        };
        let is_unread = |h: &Holding| {
            h.idle >= MAX_UNREAD_TIME || h.complete_drain_millis() >= MAX_UNREAD_TIME.as_millis()
        };
        let may_close = |h: &&Holding| h.held > 0 && (!h.is_complete || is_unread(h));
        let mut candidates: Vec<&Holding> = holdings.iter().filter(may_close).collect();
        candidates.sort_by_key(|h| (h.is_complete, std::cmp::Reverse(h.cost()), h.id));
        let mut left = held;
        let mut chosen = Vec::new();
        for holding in candidates {
            let drain = holding.drain_millis();
            let is_slow = |(share, time): &(f64, Duration)| {
                holding.is_delivering && left > part(bytes, *share) && drain >= time.as_millis()
            };
            if left > bytes || SLOW.iter().any(is_slow) {
                chosen.push(holding.id);
                left = left.saturating_sub(holding.held);
            }
        }
        chosen
    }
}

impl Holding {
    /// Returns the time that the connection is expected to need for what it holds, in milliseconds. It follows from the
    /// progress so far; without any it is the time so far.
    fn drain_millis(&self) -> u128 {
        drain_millis(self.held, self.progress, self.age)
    }

    /// Returns the same for what is held since a response was received whole. The time before counts for the worker.
    fn complete_drain_millis(&self) -> u128 {
        drain_millis(self.held, self.complete_progress, self.complete_age)
    }

    /// Returns the memory that the connection takes times the time for which it is expected to take it, in byte
    /// milliseconds.
    fn cost(&self) -> u128 {
        u128::from(self.held) * self.drain_millis()
    }
}

fn drain_millis(held: u64, progress: u64, age: Duration) -> u128 {
    let held = u128::from(held);
    age.as_millis() * held / (held + u128::from(progress)).max(1)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "sizes of memory are far below 2^52 bytes, and shares lie between 0 and 1"
)]
fn part(bytes: u64, share: f64) -> u64 {
    (bytes as f64 * share) as u64
}
