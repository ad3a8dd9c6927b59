//! Bound on log lines.

use std::time::{Duration, Instant};

use chestnutvalve_telemetry::quota::{LINES_PER_SECOND, Quota, Verdict};

/// Guards against logs that grow with the load, against one kind that silences another, and against lines that are lost
/// without a count.
#[test]
fn each_kind_has_a_bound_and_tells_what_it_dropped() {
    let start = Instant::now();
    let mut quota = Quota::default();
    let lines = LINES_PER_SECOND + 50;
    let written = (0..lines)
        .filter(|n| quota.decide(start, &format!("answered {n}")) == Verdict::Write)
        .count();
    assert_eq!(u32::try_from(written).unwrap(), LINES_PER_SECOND);
    assert_eq!(quota.decide(start, "start"), Verdict::Write);
    let later = start + Duration::from_secs(1);
    assert_eq!(quota.decide(later, "answered 1"), Verdict::WriteAfter(50));
    assert_eq!(quota.decide(later, "answered 2"), Verdict::Write);
}

/// Guards against a table that grows with names that callers choose.
#[test]
fn the_number_of_kinds_is_bounded() {
    let now = Instant::now();
    let mut quota = Quota::default();
    let letters = |n: usize| {
        let letter = |n: usize| char::from(b'a' + u8::try_from(n % 26).unwrap());
        [letter(n), letter(n / 26), letter(n / 676)]
            .iter()
            .collect::<String>()
    };
    let decided = (0..2_000).map(|n| quota.decide(now, &letters(n)));
    let dropped = decided.filter(|v| *v == Verdict::Drop).count();
    assert!(dropped > 1_000, "{dropped}");
}
