//! Downloads that share the narrow link of an entry.

use std::time::{Duration, Instant};

use chestnutvalve_routing::bandwidth::Link;

/// Bytes of one piece of a download.
const PIECE: usize = 8 * 1024;
/// Link of an entry on the narrow deployments, in megabits a second.
const MBPS: u32 = 3;

/// Plays downloads that send their next piece as soon as they may; returns how long each took.
fn play(downloads: &[usize]) -> Vec<Duration> {
    let start = Instant::now();
    let mut link = Link::new(MBPS);
    let mut left: Vec<(Instant, usize)> = downloads.iter().map(|bytes| (start, *bytes)).collect();
    let mut took = vec![Duration::ZERO; downloads.len()];
    while let Some(next) = (0..left.len())
        .filter(|d| left[*d].1 > 0)
        .min_by_key(|d| left[*d].0)
    {
        let (now, bytes) = left[next];
        let sent = bytes.min(PIECE);
        left[next] = (link.reserve(now, sent), bytes - sent);
        took[next] = left[next].0 - start;
    }
    took
}

/// Guards against downloads that fill the link, so that short responses wait behind them.
#[test]
fn downloads_leave_a_part_of_the_link() {
    let took = play(&[90_000; 4]);
    let link = Duration::from_secs_f64(360_000.0 * 8.0 / 3_000_000.0);
    assert!(
        took.iter().max().unwrap() > &(link * 4 / 3),
        "{took:?} on a link that takes {link:?}"
    );
}

/// Guards against a short download that waits for the end of a long one.
#[test]
fn downloads_take_turns() {
    let took = play(&[540_000, 20_000]);
    assert!(took[1] * 10 < took[0], "{took:?}");
}

/// Guards against a pause that an unused link makes up for later with a burst.
#[test]
fn an_unused_link_saves_nothing_up() {
    let start = Instant::now();
    let mut link = Link::new(MBPS);
    link.reserve(start, PIECE);
    let later = start + Duration::from_mins(1);
    let next = link.reserve(later, PIECE);
    assert!(next > later + Duration::from_millis(20));
}
