//! Share of an entry's link that downloads may use.
//!
//! Load pattern: downloads of 90 to 540 kB pass entries whose links carry 3.2 Mbit/s, between responses of 400 bytes that
//! are wanted within 250 to 500 ms. A download that is passed on as fast as it comes fills the queue of the link, and
//! every other response and request waits behind it. Spread over time, the same downloads leave gaps.

use std::time::{Duration, Instant};

/// Part of the link that all downloads together may use. The rest carries short responses, which need a tenth of it, and
/// keeps their wait in the link's queue short.
const DOWNLOADS: f64 = 0.7;

/// Link of an entry, as far as downloads use it.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_second: f64,
    /// When the bytes reserved so far have been sent.
    free_at: Option<Instant>,
}

impl Link {
    /// Creates an unused link of `mbps` megabits a second.
    #[must_use]
    pub fn new(mbps: u32) -> Self {
        Self {
            bytes_per_second: f64::from(mbps.max(1)) * 1_000_000.0 / 8.0 * DOWNLOADS,
            free_at: None,
        }
    }

    /// Records that `bytes` of a download are sent; returns when its next bytes may follow. Downloads that are under way
    /// at the same time take turns.
    pub fn reserve(&mut self, now: Instant, bytes: usize) -> Instant {
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let taken = Duration::from_secs_f64(bytes / self.bytes_per_second);
        let free_at = self.free_at.map_or(now, |at| at.max(now)) + taken;
        self.free_at = Some(free_at);
        free_at
    }
}
