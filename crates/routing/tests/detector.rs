//! Lifecycle of an ejection at one detector: grants, duration, trial and cancelled ejections.

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

/// Returns a detector that proposes the ejection of worker 0 of three after failures.
fn proposing_detector(now: Instant) -> Detector {
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
    panic!("ejection not proposed after 50 failures");
}

/// Sends trial requests while they are allowed; returns their number.
fn run_trial(detector: &mut Detector, now: Instant, verdict: Verdict) -> u32 {
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

/// Guards against ejections without a grant, after its expiry or after its withdrawal.
#[test]
fn only_a_grant_ejects() {
    let now = Instant::now();
    let mut detector = proposing_detector(now);
    assert!(!detector.is_ejected(now, &worker(0)) && detector.granted_workers(now).is_empty());
    detector.set_grants(now, &[worker(0)], now + seconds(3));
    assert!(detector.is_ejected(now, &worker(0)));
    assert_eq!(detector.granted_workers(now), [worker(0)]);
    assert!(!detector.is_ejected(now + seconds(3), &worker(0)));
    detector.set_grants(now, &[], now + seconds(3));
    assert!(!detector.is_ejected(now, &worker(0)));
}

/// Guards against a flapping worker that returns as often as a healthy one, or never.
#[test]
fn ejections_grow_up_to_a_limit() {
    let mut now = Instant::now();
    let mut detector = proposing_detector(now);
    for expected in [5, 10, 20, 40, 60, 60] {
        let last = now + Duration::from_millis(expected * 1_000 - 1);
        detector.set_grants(now, &[worker(0)], now + seconds(100));
        assert!(detector.is_ejected(last, &worker(0)), "{expected} s");
        now += seconds(expected);
        assert!(!detector.is_ejected(now, &worker(0)), "{expected} s");
        assert!(detector.candidates(now).is_empty());
        run_trial(&mut detector, now, Verdict::Failure);
    }
}

/// Guards against a burst of requests to a worker that returns, and against one that never becomes normal again.
#[rstest]
#[case::passed(Verdict::Success, 0.9, true)]
#[case::failed(Verdict::Failure, 1.0, false)]
#[case::cancelled(Verdict::Cancelled, 0.9, true)]
fn a_trial_has_a_limited_number_of_requests(
    #[case] verdict: Verdict,
    #[case] suspicion: f64,
    #[case] gets_requests: bool,
) {
    let start = Instant::now();
    let mut detector = proposing_detector(start);
    let now = start + seconds(5);
    assert_eq!(run_trial(&mut detector, now, verdict), 10);
    let after = detector.suspicion(now, &worker(0), "/cover");
    assert!(after <= suspicion, "suspicion {after}");
    assert_eq!(after < 1.0, gets_requests);
}

/// Guards against trial requests without a result that keep the worker ejected forever.
#[test]
fn lost_trial_requests_are_replaced() {
    let start = Instant::now();
    let mut detector = proposing_detector(start);
    let now = start + seconds(5);
    for _ in 0..10 {
        detector.record_dispatch(now, &worker(0));
    }
    assert!(detector.suspicion(now, &worker(0), "/cover") >= 1.0);
    let later = now + seconds(10);
    assert_eq!(run_trial(&mut detector, later, Verdict::Success), 10);
}

/// Guards against one old ejection that lengthens every later one.
#[rstest]
#[case::soon(30, 10)]
#[case::after_a_quiet_minute(60, 5)]
fn old_ejections_are_cancelled(#[case] normal_s: u64, #[case] expected: u64) {
    let start = Instant::now();
    let mut detector = proposing_detector(start);
    let returned = start + seconds(5);
    run_trial(&mut detector, returned, Verdict::Success);
    let now = returned + seconds(normal_s);
    fail(&mut detector, now);
    assert_eq!(detector.candidates(now + seconds(expected)), []);
    let last = now + Duration::from_millis(expected * 1_000 - 1);
    assert_eq!(detector.candidates(last), [worker(0)]);
}
