//! Batching of calls: collects concurrent calls and handles them together.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chestnutvalve_model::error::{Fault, Kind};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// Calls that may wait for a batch; further ones are refused.
const QUEUE_CAPACITY: usize = 16_384;
/// Maximum number of batches that are handled concurrently.
const MAX_CONCURRENT_BATCHES: usize = 4;

type Reply<A> = oneshot::Sender<Result<A, Fault>>;
type PendingCall<Q, A> = (Q, Reply<A>, Instant);

/// Queue of calls with requests `Q` and answers `A`.
#[derive(Debug)]
pub struct Batcher<Q, A> {
    queue: mpsc::Sender<PendingCall<Q, A>>,
    received: Mutex<Option<mpsc::Receiver<PendingCall<Q, A>>>>,
}

/// Limits of a batch and of the wait for it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum time to wait for further calls after the first one.
    pub max_delay: Duration,
    /// Maximum number of calls in one batch.
    pub max_calls: usize,
    /// Total weight at which a batch is complete.
    pub max_weight: usize,
    /// Maximum time that a call waits for its batch. Later its caller has given up and may have acted on the failure.
    pub max_age: Duration,
}

impl<Q, A> Default for Batcher<Q, A> {
    fn default() -> Self {
        let (queue, received) = mpsc::channel(QUEUE_CAPACITY);
        Self {
            queue,
            received: Mutex::new(Some(received)),
        }
    }
}

impl<Q: Send + 'static, A: Send + 'static> Batcher<Q, A> {
    /// Submits a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoQuorum`] when the request was not handled, and the fault of its batch.
    pub async fn call(&self, request: Q) -> Result<A, Fault> {
        let (reply, answer) = oneshot::channel();
        let full = |_| Fault::new(Kind::NoQuorum, "too many calls are waiting for the leader");
        let waiting = (request, reply, Instant::now());
        self.queue.try_send(waiting).map_err(full)?;
        let stopped = |_| Fault::new(Kind::ChangeUnconfirmed, "the instance is stopping");
        answer.await.map_err(stopped)?
    }

    /// Handles calls in batches until dropped; `handle` must return one answer for each request, in order.
    pub async fn run<F, Fut>(&self, limits: Limits, weigh: fn(&Q) -> usize, handle: F)
    where
        F: Fn(Vec<Q>) -> Fut,
        Fut: Future<Output = Result<Vec<A>, Fault>> + Send + 'static,
    {
        let received = self.received.lock();
        let received = received.unwrap_or_else(PoisonError::into_inner).take();
        let Some(mut received) = received else { return };
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_BATCHES));
        loop {
            // Calls accumulate while all permits are in use, so batches grow with the load.
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let batch = collect(&mut received, limits, weigh).await;
            let batch = batch
                .into_iter()
                .map(|(request, reply, _)| (request, reply));
            let (requests, replies): (Vec<Q>, Vec<Reply<A>>) = batch.unzip();
            let answers = handle(requests);
            tokio::spawn(async move {
                reply(replies, answers.await);
                drop(permit);
            });
        }
    }
}

async fn collect<Q, A>(
    received: &mut mpsc::Receiver<PendingCall<Q, A>>,
    limits: Limits,
    weigh: fn(&Q) -> usize,
) -> Vec<PendingCall<Q, A>> {
    let mut batch = Vec::new();
    let mut weight = 0;
    let mut deadline = None;
    while batch.len() < limits.max_calls && weight < limits.max_weight {
        let next = match deadline {
            None => received.recv().await,
            Some(_) if limits.max_delay.is_zero() => received.try_recv().ok(),
            Some(deadline) => timeout_at(deadline, received.recv()).await.ok().flatten(),
        };
        let Some(next) = next else { break };
        if next.2.elapsed() > limits.max_age {
            let late = Fault::new(Kind::NoQuorum, "the call waited too long for its batch");
            let _ = next.1.send(Err(late));
            continue;
        }
        weight += weigh(&next.0);
        batch.push(next);
        deadline.get_or_insert_with(|| Instant::now() + limits.max_delay);
    }
    batch
}

/// Sends the answers, ignoring callers that no longer wait.
fn reply<A>(replies: Vec<Reply<A>>, answers: Result<Vec<A>, Fault>) {
    match answers {
        Ok(answers) if answers.len() == replies.len() => {
            for (reply, answer) in replies.into_iter().zip(answers) {
                let _ = reply.send(Ok(answer));
            }
        }
        outcome => {
            let fault = outcome.err();
            let fault = fault.unwrap_or_else(|| {
                Fault::new(
                    Kind::Internal,
                    "the number of answers differs from the number of requests",
                )
            });
            for reply in replies {
                let _ = reply.send(Err(fault.clone()));
            }
        }
    }
}
