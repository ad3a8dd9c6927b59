//! Rate limit on log lines.

use std::time::{Duration, Instant};

use chestnutvalve_telemetry::rate_limit::{Decision, MAX_LINES_PER_SECOND, RateLimiter};

/// Guards against log volume that grows with the load, against one kind that uses up the limit of another, and against
/// dropped lines that are not counted.
#[test]
fn each_kind_is_limited_and_reports_dropped_lines() {
    let start = Instant::now();
    let mut limiter = RateLimiter::default();
    let lines = MAX_LINES_PER_SECOND + 50;
    let written = (0..lines)
        .filter(|n| limiter.check(start, &format!("answered {n}")) == Decision::Write)
        .count();
    assert_eq!(u32::try_from(written).unwrap(), MAX_LINES_PER_SECOND);
    assert_eq!(limiter.check(start, "start"), Decision::Write);
    let later = start + Duration::from_secs(1);
    assert_eq!(
        limiter.check(later, "answered 1"),
        Decision::WriteAfterDrops(50)
    );
    assert_eq!(limiter.check(later, "answered 2"), Decision::Write);
}

/// Guards against a table that grows without bound when messages contain names chosen by callers.
#[test]
fn number_of_kinds_is_bounded() {
    let now = Instant::now();
    let mut limiter = RateLimiter::default();
    let letters = |n: usize| {
        let letter = |n: usize| char::from(b'a' + u8::try_from(n % 26).unwrap());
        [letter(n), letter(n / 26), letter(n / 676)]
            .iter()
            .collect::<String>()
    };
    let decided = (0..2_000).map(|n| limiter.check(now, &letters(n)));
    let dropped = decided.filter(|v| *v == Decision::Drop).count();
    assert!(dropped > 1_000, "{dropped}");
}
