//! Course of an ejection at one detector: grants, duration, trial and forgiveness.

use std::time::{Duration, Instant};

use chestnutvalve_model::id::Worker;
use chestnutvalve_routing::eject::{Detector, Settings};
use chestnutvalve_routing::sample::{Sample, Verdict};
use rstest::rstest;

fn worker(index: u32) -> Worker {
    Worker::new(&format!("w{index}")).unwrap()
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn observe(detector: &mut Detector, now: Instant, index: u32, verdict: Verdict) {
    let latency = Duration::from_millis(20);
    detector.observe(now, &worker(index), "/cover", &Sample { latency, verdict });
}

/// Returns a detector that sees worker 0 of three fail until it wants it out.
fn out(now: Instant) -> Detector {
    let mut detector = Detector::new(Settings::default());
    fail(&mut detector, now);
    detector
}

fn fail(detector: &mut Detector, now: Instant) {
    for _ in 0..50 {
        for index in [1, 2] {
            observe(detector, now, index, Verdict::Success);
        }
        observe(detector, now, 0, Verdict::Failure);
        if detector.candidates(now) == [worker(0)] {
            return;
        }
    }
    panic!("not wanted after 50 failures");
}

/// Sends trial requests while they are allowed; returns how many were.
fn trial(detector: &mut Detector, now: Instant, verdict: Verdict) -> u32 {
    let mut sent = 0;
    while detector.suspicion(now, &worker(0), "/cover") < 1.0 && sent < 100 {
        detector.record_dispatch(now, &worker(0));
        sent += 1;
    }
    for _ in 0..sent {
        observe(detector, now, 0, verdict);
    }
    sent
}

/// Guards against ejecting without a grant, after its end, or after it was taken back.
#[test]
fn only_a_grant_ejects() {
    let now = Instant::now();
    let mut detector = out(now);
    assert!(!detector.is_ejected(now, &worker(0)) && detector.granted_workers(now).is_empty());
    detector.set_grants(now, &[worker(0)], now + seconds(3));
    assert!(detector.is_ejected(now, &worker(0)));
    assert_eq!(detector.granted_workers(now), [worker(0)]);
    assert!(!detector.is_ejected(now + seconds(3), &worker(0)));
    detector.set_grants(now, &[], now + seconds(3));
    assert!(!detector.is_ejected(now, &worker(0)));
}

/// Guards against a flapping worker coming back as often as a good one, or never.
#[test]
fn ejections_grow_up_to_a_limit() {
    let mut now = Instant::now();
    let mut detector = out(now);
    for expected in [5, 10, 20, 40, 60, 60] {
        let last = now + Duration::from_millis(expected * 1_000 - 1);
        detector.set_grants(now, &[worker(0)], now + seconds(100));
        assert!(detector.is_ejected(last, &worker(0)), "{expected} s");
        now += seconds(expected);
        assert!(!detector.is_ejected(now, &worker(0)), "{expected} s");
        assert!(detector.candidates(now).is_empty());
        trial(&mut detector, now, Verdict::Failure);
    }
}

/// Guards against a rush of requests on a worker that comes back, and against one that never becomes normal again.
#[rstest]
#[case::passed(Verdict::Success, 0.9, true)]
#[case::failed(Verdict::Failure, 1.0, false)]
#[case::cancelled(Verdict::Cancelled, 0.9, true)]
fn a_trial_has_few_requests(
    #[case] verdict: Verdict,
    #[case] suspicion: f64,
    #[case] in_use: bool,
) {
    let start = Instant::now();
    let mut detector = out(start);
    let now = start + seconds(5);
    assert_eq!(trial(&mut detector, now, verdict), 10);
    let after = detector.suspicion(now, &worker(0), "/cover");
    assert!(after <= suspicion, "suspicion {after}");
    assert_eq!(after < 1.0, in_use);
}

/// Guards against trial requests whose results never arrive keeping the worker out for ever.
#[test]
fn lost_trial_requests_are_replaced() {
    let start = Instant::now();
    let mut detector = out(start);
    let now = start + seconds(5);
    for _ in 0..10 {
        detector.record_dispatch(now, &worker(0));
    }
    assert!(detector.suspicion(now, &worker(0), "/cover") >= 1.0);
    let later = now + seconds(10);
    assert_eq!(trial(&mut detector, later, Verdict::Success), 10);
}

/// Guards against one old ejection lengthening every later one.
#[rstest]
#[case::soon(30, 10)]
#[case::after_a_quiet_minute(60, 5)]
fn ejections_are_forgiven(#[case] quiet: u64, #[case] expected: u64) {
    let start = Instant::now();
    let mut detector = out(start);
    let back = start + seconds(5);
    trial(&mut detector, back, Verdict::Success);
    let now = back + seconds(quiet);
    fail(&mut detector, now);
    assert_eq!(detector.candidates(now + seconds(expected)), []);
    let last = now + Duration::from_millis(expected * 1_000 - 1);
    assert_eq!(detector.candidates(last), [worker(0)]);
}
