//! Calls that are collected into batches.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutvalve_control::daemon::batcher::{Batcher, Limits};
use chestnutvalve_model::error::{Fault, Kind};
use tokio::task::JoinSet;
use tokio::time::sleep;

const LIMITS: Limits = Limits {
    delay: Duration::ZERO,
    size: 8,
    weight: usize::MAX,
    age: Duration::from_millis(300),
};

type Noted = Arc<Mutex<Vec<Vec<u32>>>>;

/// Answers each question with its double after `pause`, and notes the batches.
fn run(batcher: &Arc<Batcher<u32, u32>>, pause: Duration) -> Noted {
    let groups = Noted::default();
    let (batcher, noted) = (Arc::clone(batcher), Arc::clone(&groups));
    tokio::spawn(async move {
        let handle = |questions: Vec<u32>| {
            noted.lock().unwrap().push(questions.clone());
            async move {
                sleep(pause).await;
                Ok(questions.into_iter().map(|q| 2 * q).collect())
            }
        };
        batcher.run(LIMITS, |_| 1, handle).await;
    });
    groups
}

async fn ask_all(batcher: &Arc<Batcher<u32, u32>>, count: u32) -> Vec<(u32, Result<u32, Fault>)> {
    let mut asked = JoinSet::new();
    for question in 0..count {
        let batcher = Arc::clone(batcher);
        asked.spawn(async move { (question, batcher.call(question).await) });
    }
    asked.join_all().await
}

/// Guards against an answer that goes to the caller of another question, and against one batch for each call.
#[tokio::test(start_paused = true)]
async fn each_caller_gets_its_own_answer() {
    let batcher = Arc::default();
    let groups = run(&batcher, Duration::from_millis(10));
    for (question, answer) in ask_all(&batcher, 100).await {
        assert_eq!(answer, Ok(2 * question));
    }
    let groups = groups.lock().unwrap();
    assert!(groups.len() < 30, "{} batches", groups.len());
    assert!(groups.iter().all(|b| b.len() <= LIMITS.size));
}

/// Guards against a claim that is made after its entry has given up and told the caller that nothing ran.
#[tokio::test(start_paused = true)]
async fn call_that_waited_too_long_is_not_handled() {
    let batcher = Arc::default();
    let groups = run(&batcher, Duration::from_millis(200));
    let answers = ask_all(&batcher, 200).await;
    let handled: usize = groups.lock().unwrap().iter().map(Vec::len).sum();
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
