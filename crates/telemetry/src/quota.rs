//! Bound on the log lines of each kind.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Lines of one kind that are written in each second. An entry answers fewer requests a second than this at its usual load;
/// at 300 bytes a line one kind stays below 60 kB a second.
pub const LINES_PER_SECOND: u32 = 200;
/// Most kinds that are told apart; further ones share one quota.
const MAX_KINDS: usize = 256;
/// Start of a message that tells its kind; what follows names the case.
const KIND_BYTES: usize = 24;
/// Kind of the lines beyond [`MAX_KINDS`].
const OTHER: &str = "other";
/// Period of a quota.
const PERIOD: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Window {
    since: Instant,
    written: u32,
    dropped: u64,
}

/// What happens to a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is written.
    Write,
    /// It is written, after a line that says how many of its kind were not.
    WriteAfter(u64),
    /// It is not written.
    Drop,
}

/// Quotas by kind.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    windows: HashMap<String, Window>,
}

impl Quota {
    /// Decides on a line with a message at an instant.
    pub fn decide(&mut self, now: Instant, message: &str) -> Verdict {
        let kind = kind(message);
        let known = self.windows.contains_key(kind);
        let kind = if known || self.windows.len() < MAX_KINDS {
            kind
        } else {
            OTHER
        };
        let fresh = Window {
            since: now,
            written: 0,
            dropped: 0,
        };
        let window = self.windows.entry(kind.to_owned()).or_insert(fresh);
        let mut dropped = 0;
        if now.saturating_duration_since(window.since) >= PERIOD {
            dropped = window.dropped;
            *window = fresh;
        }
        if window.written >= LINES_PER_SECOND {
            window.dropped += 1;
            return Verdict::Drop;
        }
        window.written += 1;
        if dropped > 0 {
            Verdict::WriteAfter(dropped)
        } else {
            Verdict::Write
        }
    }
}

/// Returns the start of a message up to the first digit, which tells its kind.
fn kind(message: &str) -> &str {
    let end = message.find(|c: char| c.is_ascii_digit());
    let mut end = end.unwrap_or(message.len()).min(KIND_BYTES);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    &message[..end]
}
