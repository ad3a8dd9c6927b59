//! Rate limit of downloads on an entry's link.
//!
//! Load pattern: downloads of 90 to 540 kB pass through entries whose links carry 3.2 Mbit/s, between responses of 400
//! bytes that are due within 250 to 500 ms. A download that is forwarded as fast as it arrives fills the queue of the
//! link and delays every other response and request. Pacing the same downloads leaves gaps.

use std::time::{Duration, Instant};

/// Share of the link that all downloads together may use. The rest carries short responses, which need a tenth of the
/// link, and keeps their queueing delay short.
const DOWNLOAD_SHARE: f64 = 0.7;

/// Pacing state of downloads on an entry's link.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_second: f64,
    /// Time at which all reserved bytes have been sent.
    free_at: Option<Instant>,
}

impl Link {
    /// Creates an idle link of `mbps` megabits per second.
    #[must_use]
    pub fn new(mbps: u32) -> Self {
        Self {
            bytes_per_second: f64::from(mbps.max(1)) * 1_000_000.0 / 8.0 * DOWNLOAD_SHARE,
            free_at: None,
        }
    }

    /// Reserves link time for `bytes` of a download that are sent now; returns when the download may send its next
    /// bytes. Concurrent downloads take turns.
    pub fn reserve(&mut self, now: Instant, bytes: usize) -> Instant {
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let send_time = Duration::from_secs_f64(bytes / self.bytes_per_second);
        let free_at = self.free_at.map_or(now, |at| at.max(now)) + send_time;
        self.free_at = Some(free_at);
        free_at
    }
}
