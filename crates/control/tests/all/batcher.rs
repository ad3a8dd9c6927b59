//! Tests of the batcher.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutvalve_control::daemon::batcher::{Batcher, Limits};
use chestnutvalve_model::error::{Fault, Kind};
use tokio::task::JoinSet;
use tokio::time::sleep;

const LIMITS: Limits = Limits {
    max_delay: Duration::ZERO,
    max_calls: 8,
    max_weight: usize::MAX,
    max_age: Duration::from_millis(300),
};

type RecordedBatches = Arc<Mutex<Vec<Vec<u32>>>>;

/// Answers each request with its double after `delay`, and records the batches.
fn run(batcher: &Arc<Batcher<u32, u32>>, delay: Duration) -> RecordedBatches {
    let handled_batches = RecordedBatches::default();
    let (batcher, recorded) = (Arc::clone(batcher), Arc::clone(&handled_batches));
    tokio::spawn(async move {
        let handle = |requests: Vec<u32>| {
            recorded.lock().unwrap().push(requests.clone());
            async move {
                sleep(delay).await;
                Ok(requests.into_iter().map(|q| 2 * q).collect())
            }
        };
        batcher.run(LIMITS, |_| 1, handle).await;
    });
    handled_batches
}

async fn ask_all(batcher: &Arc<Batcher<u32, u32>>, count: u32) -> Vec<(u32, Result<u32, Fault>)> {
    let mut asked = JoinSet::new();
    for request in 0..count {
        let batcher = Arc::clone(batcher);
        asked.spawn(async move { (request, batcher.call(request).await) });
    }
    asked.join_all().await
}

/// Guards against an answer that goes to the caller of another request, and against a batch for each single call.
#[tokio::test(start_paused = true)]
async fn each_caller_gets_its_own_answer() {
    let batcher = Arc::default();
    let handled_batches = run(&batcher, Duration::from_millis(10));
    for (request, answer) in ask_all(&batcher, 100).await {
        assert_eq!(answer, Ok(2 * request));
    }
    let handled_batches = handled_batches.lock().unwrap();
    assert!(
        handled_batches.len() < 30,
        "{} handled_batches",
        handled_batches.len()
    );
    assert!(handled_batches.iter().all(|b| b.len() <= LIMITS.max_calls));
}

/// Guards against a claim that is made after its entry has given up and reported the request as not executed.
#[tokio::test(start_paused = true)]
async fn call_that_waited_too_long_is_not_handled() {
    let batcher = Arc::default();
    let handled_batches = run(&batcher, Duration::from_millis(200));
    let answers = ask_all(&batcher, 200).await;
    let handled: usize = handled_batches.lock().unwrap().iter().map(Vec::len).sum();
    let answered = answers.iter().filter(|(_, a)| a.is_ok()).count();
    assert_eq!(
        answered, handled,
        "a call is either handled and answered, or neither"
    );
    assert!(handled < 200);
    let refused = answers.iter().filter_map(|(_, a)| a.as_ref().err());
    assert!(
        refused
            .into_iter()
            .all(|fault| fault.kind == Kind::NoQuorum)
    );
}
