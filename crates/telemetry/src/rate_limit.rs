//! Rate limit on log lines, per kind of message.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Lines of one kind that are written per second. An entry serves fewer requests per second at its usual load. At 300 bytes
/// per line, one kind stays below 60 kB/s.
pub const MAX_LINES_PER_SECOND: u32 = 200;
/// Kinds with a limit of their own. Further kinds share the limit of [`OTHER`].
const MAX_KINDS: usize = 256;
/// Length of the message prefix that identifies the kind. The rest of the message describes the occurrence.
const KIND_PREFIX_BYTES: usize = 24;
/// Kind that the lines beyond [`MAX_KINDS`] are counted under.
const OTHER: &str = "other";
/// Length of a counting window.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Fixed window in which the lines of one kind are counted.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Instant,
    written: u32,
    dropped: u64,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The line is written.
    Write,
    /// The line is written and reports how many lines of its kind were dropped before it.
    WriteAfterDrops(u64),
    /// The line is dropped.
    Drop,
}

/// Counting windows by kind of message.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    windows: HashMap<String, Window>,
}

impl RateLimiter {
    /// Counts a line with `message` and decides whether it is written.
    pub fn check(&mut self, now: Instant, message: &str) -> Decision {
        let kind = kind(message);
        let known = self.windows.contains_key(kind);
        let kind = if known || self.windows.len() < MAX_KINDS {
            kind
        } else {
            OTHER
        };
        let fresh = Window {
            start: now,
            written: 0,
            dropped: 0,
        };
        let window = self.windows.entry(kind.to_owned()).or_insert(fresh);
        let mut dropped = 0;
        if now.saturating_duration_since(window.start) >= WINDOW_LENGTH {
            dropped = window.dropped;
            *window = fresh;
        }
        if window.written >= MAX_LINES_PER_SECOND {
            window.dropped += 1;
            return Decision::Drop;
        }
        window.written += 1;
        if dropped > 0 {
            Decision::WriteAfterDrops(dropped)
        } else {
            Decision::Write
        }
    }
}

/// Returns the prefix that identifies the kind of a message: it ends before the first digit.
fn kind(message: &str) -> &str {
    let end = message.find(|c: char| c.is_ascii_digit());
    let mut end = end.unwrap_or(message.len()).min(KIND_PREFIX_BYTES);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    &message[..end]
}
