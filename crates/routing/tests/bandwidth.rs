//! Pacing of downloads that share the narrow link of an entry.

use std::time::{Duration, Instant};

use chestnutvalve_routing::bandwidth::Link;

/// Size of one chunk of a download, in bytes.
const CHUNK: usize = 8 * 1024;
/// Link of an entry on the narrow deployments, in megabits per second.
const MBPS: u32 = 3;

/// Simulates downloads that send their next chunk as soon as allowed; returns the duration of each.
fn simulate(downloads: &[usize]) -> Vec<Duration> {
    let start = Instant::now();
    let mut link = Link::new(MBPS);
    let mut remaining: Vec<(Instant, usize)> =
        downloads.iter().map(|bytes| (start, *bytes)).collect();
    let mut durations = vec![Duration::ZERO; downloads.len()];
    while let Some(next) = (0..remaining.len())
        .filter(|d| remaining[*d].1 > 0)
        .min_by_key(|d| remaining[*d].0)
    {
        let (now, bytes) = remaining[next];
        let sent = bytes.min(CHUNK);
        remaining[next] = (link.reserve(now, sent), bytes - sent);
        durations[next] = remaining[next].0 - start;
    }
    durations
}

/// Guards against downloads that fill the link and delay short responses.
#[test]
fn downloads_leave_a_part_of_the_link() {
    let durations = simulate(&[90_000; 4]);
    let link = Duration::from_secs_f64(360_000.0 * 8.0 / 3_000_000.0);
    assert!(
        durations.iter().max().unwrap() > &(link * 4 / 3),
        "{durations:?} on a link that takes {link:?}"
    );
}

/// Guards against a short download that waits for the end of a long one.
#[test]
fn downloads_take_turns() {
    let durations = simulate(&[540_000, 20_000]);
    assert!(durations[1] * 10 < durations[0], "{durations:?}");
}

/// Guards against an idle link that allows a burst later.
#[test]
fn an_idle_link_does_not_accumulate_capacity() {
    let start = Instant::now();
    let mut link = Link::new(MBPS);
    link.reserve(start, CHUNK);
    let later = start + Duration::from_mins(1);
    let next = link.reserve(later, CHUNK);
    assert!(next > later + Duration::from_millis(20));
}
