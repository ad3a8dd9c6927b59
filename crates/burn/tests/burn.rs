//! Sliding-window counters and burn rates.

use std::time::{Duration, Instant};

use chestnutvalve_burn::counters::MAX_SERIES;
use chestnutvalve_burn::report::{burn_rate, report};
use chestnutvalve_burn::{Alert, Count, Counters, Window};
use chestnutvalve_model::config::Document;
use chestnutvalve_model::id::Service;
use chestnutvalve_model::rank::Rank;
use rstest::rstest;

fn service(name: &str) -> Service {
    Service::new(name).expect("valid name")
}

/// Guards against a window that expires requests too early or too late.
#[rstest]
#[case::minute(Window::Minute, 59, 66)]
#[case::five_minutes(Window::FiveMinutes, 299, 306)]
#[case::half_hour(Window::HalfHour, 30 * 60 - 1, 31 * 60 + 1)]
#[case::hour(Window::Hour, 3_600 - 1, 61 * 60 + 1)]
#[case::six_hours(Window::SixHours, 6 * 3_600 - 1, 361 * 60 + 1)]
fn window_covers_its_length(#[case] window: Window, #[case] inside_s: u64, #[case] outside_s: u64) {
    for offset_s in [0, 3, 7, 59] {
        let start = Instant::now();
        let mut counters = Counters::new(start);
        let at = start + Duration::from_secs(offset_s);
        counters.record(at, &service("fieldbook"), Rank::Middle, false);
        let count = |after_s| {
            let export = counters.export(at + Duration::from_secs(after_s));
            let series = export.series.first();
            series.map_or(0, |s| s.windows[window.index()].total)
        };
        assert_eq!(count(inside_s), 1, "request at {offset_s} s");
        assert_eq!(count(outside_s), 0, "request at {offset_s} s");
    }
}

/// Guards against counts from an earlier pass over the ring that reappear after a long period without requests.
#[rstest]
#[case(7 * 3_600)]
#[case(6 * 3_600 + 90)]
#[case(400)]
fn idle_period_clears_old_counts(#[case] idle_s: u64) {
    let start = Instant::now();
    let mut counters = Counters::new(start);
    for second in 0..600 {
        let at = start + Duration::from_secs(second);
        counters.record(at, &service("arhiv"), Rank::Bottom, false);
    }
    let late = start + Duration::from_secs(600 + idle_s);
    counters.record(late, &service("arhiv"), Rank::Bottom, true);
    let windows = counters.export(late).series[0].windows;
    let only = Count { good: 1, total: 1 };
    assert_eq!(windows[Window::Minute.index()], only);
    assert_eq!(windows[Window::FiveMinutes.index()], only);
    if idle_s > 6 * 3_600 + 60 {
        assert_eq!(windows[Window::SixHours.index()], only);
    }
}

/// Guards against unbounded memory when callers send arbitrary service names.
#[test]
fn number_of_series_is_bounded() {
    let start = Instant::now();
    let mut counters = Counters::new(start);
    for n in 0..MAX_SERIES + 10 {
        let at = start + Duration::from_millis(n as u64);
        counters.record(at, &service(&format!("s{n}")), Rank::Top, true);
    }
    let export = counters.export(start + Duration::from_secs(5));
    assert_eq!(export.series.len(), MAX_SERIES);
    assert!(export.series.iter().all(|s| s.service != service("s0")));
}

/// Guards against a rate that is not the share of bad requests divided by the allowed share.
#[rstest]
#[case(0, 0, 99.9, 0.0)]
#[case(999, 1_000, 99.9, 1.0)]
#[case(0, 1_000, 99.0, 100.0)]
#[case(950, 1_000, 95.0, 1.0)]
fn rate(#[case] good: u64, #[case] total: u64, #[case] objective: f64, #[case] expected: f64) {
    assert!((burn_rate(Count { good, total }, objective) - expected).abs() < 1e-6);
}

/// Guards against an outage without an alert, and against an alert for a single failure.
#[rstest]
#[case::healthy(0, Alert::None)]
#[case::single_failure(1, Alert::None)]
#[case::outage(500, Alert::Fast)]
fn alert(#[case] bad: u32, #[case] expected: Alert) {
    let start = Instant::now();
    let exports = [0, 1].map(|_| {
        let mut counters = Counters::new(start);
        for n in 0..1_000 {
            counters.record(start, &service("pokritie"), Rank::Top, n >= bad);
        }
        counters.export(start)
    });
    let lines = report(&Document::default(), &exports);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0].rates[0].count.total, 2_000);
    assert_eq!(lines[0].alert, expected);
}
