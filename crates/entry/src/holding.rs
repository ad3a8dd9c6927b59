//! Count of the bytes that are held for the connections of callers.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutvalve_routing::memory::{Budget, Holding};
use tokio::sync::Notify;

use crate::clock;

/// Bytes that each held part takes besides its data, for queues and the allocator.
const OVERHEAD_BYTES: u64 = 256;

/// Bytes that are held for all connections.
#[derive(Debug)]
pub struct Total {
    /// Budget for them.
    pub budget: Budget,
    held: AtomicU64,
    /// Notified when bytes become scarce.
    pub scarce: Notify,
}

impl Total {
    /// Creates a count that starts at zero.
    #[must_use]
    pub fn new(budget: Budget) -> Self {
        Self {
            budget,
            held: AtomicU64::new(0),
            scarce: Notify::new(),
        }
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: u64) {
        let held = self.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.budget.is_scarce(held) {
            self.scarce.notify_one();
        }
    }
}

/// Message to which held bytes belong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Message {
    /// Body of a request, held until its worker has read it and no further attempt needs it.
    Request,
    /// Body of a response, held until it is delivered to the operating system.
    Response,
}

/// Bytes that are held for one connection of a caller.
#[derive(Clone, Debug)]
pub struct Holder(Arc<State>);

#[derive(Debug)]
struct State {
    total: Arc<Total>,
    id: u64,
    held: AtomicU64,
    held_of_responses: AtomicU64,
    passed: AtomicU64,
    passed_of_responses: AtomicU64,
    /// Value of `passed_of_responses` at which all responses that were received whole are delivered.
    complete_until: AtomicU64,
    times: Mutex<Times>,
    /// Waits for room to read a response ahead.
    writer: Mutex<Option<Waker>>,
    closed: Notify,
    given_up: Notify,
    /// Whether the connection was chosen to free what it holds. It is not chosen again.
    gives_way: AtomicBool,
    /// Whether the head of the response to the current request has not been returned yet.
    is_unanswered: AtomicBool,
    /// Whether a worker may have executed the current request.
    is_sent: AtomicBool,
    /// Number of requests that were received.
    requests: AtomicU64,
    /// Number of the latest request with a body, until all of the body was received; 0 for none.
    awaited: AtomicU64,
    /// Number of request bodies that are being received.
    receiving: AtomicU32,
}

/// How much of the latest request body was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Receipt {
    /// All of it, or the request has none.
    Whole,
    /// More may arrive.
    Partial,
    /// Nobody receives the rest.
    Abandoned,
}

/// A request body that is being received. Dropping it abandons the rest.
#[derive(Debug)]
pub struct Receiving {
    holder: Holder,
    request: u64,
}

impl Receiving {
    /// Records that all of the body was received.
    pub fn complete(self) {
        let awaited = &self.holder.0.awaited;
        // A later request may have begun since the last part of the body arrived.
        let _ = awaited.compare_exchange(self.request, 0, Ordering::SeqCst, Ordering::SeqCst);
    }
}

impl Drop for Receiving {
    fn drop(&mut self) {
        self.holder.0.receiving.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Why a request gets no response of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GivenUp {
    /// Whether a worker may have executed the request.
    pub is_sent: bool,
}

#[derive(Debug)]
struct Times {
    /// When the connection began to hold bytes.
    since: Instant,
    /// Bytes that it had passed on by then.
    passed_before: u64,
    last_passed: Instant,
    /// When the first of the whole responses that are held was received, and the bytes of responses that it had passed on
    /// by then.
    complete_since: Instant,
    passed_before_complete: u64,
}

/// Bytes that count as held until they are dropped.
struct Held {
    data: Bytes,
    message: Message,
    holder: Holder,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.holder.release(self.message, size(&self.data));
    }
}

impl Default for Holder {
    /// Creates a count without a limit on the total.
    fn default() -> Self {
        Self::new(&Arc::new(Total::new(Budget::new(None))), 0)
    }
}

fn size(data: &Bytes) -> u64 {
    data.len() as u64 + OVERHEAD_BYTES
}

impl Holder {
    /// Creates the count of the connection `id`.
    #[must_use]
    pub fn new(total: &Arc<Total>, id: u64) -> Self {
        let now = clock::now();
        Self(Arc::new(State {
            total: Arc::clone(total),
            id,
            held: AtomicU64::new(0),
            held_of_responses: AtomicU64::new(0),
            passed: AtomicU64::new(0),
            passed_of_responses: AtomicU64::new(0),
            complete_until: AtomicU64::new(0),
            times: Mutex::new(Times {
                since: now,
                passed_before: 0,
                last_passed: now,
                complete_since: now,
                passed_before_complete: 0,
            }),
            writer: Mutex::default(),
            closed: Notify::new(),
            given_up: Notify::new(),
            gives_way: AtomicBool::new(false),
            is_unanswered: AtomicBool::new(false),
            is_sent: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            awaited: AtomicU64::new(0),
            receiving: AtomicU32::new(0),
        }))
    }

    /// Counts `data` as held until the returned bytes are dropped.
    #[must_use]
    pub fn hold(&self, message: Message, data: Bytes) -> Bytes {
        let (state, bytes) = (&self.0, size(&data));
        if state.held.fetch_add(bytes, Ordering::Relaxed) == 0 {
            let now = clock::now();
            let mut times = state.times.lock().unwrap_or_else(PoisonError::into_inner);
            times.since = now;
            times.passed_before = state.passed.load(Ordering::Relaxed);
            times.last_passed = now;
        }
        if message == Message::Response {
            state.held_of_responses.fetch_add(bytes, Ordering::Relaxed);
        }
        state.total.add(bytes);
        let holder = self.clone();
        Bytes::from_owner(Held {
            data,
            message,
            holder,
        })
    }

    fn release(&self, message: Message, bytes: u64) {
        let state = &self.0;
        state.held.fetch_sub(bytes, Ordering::Relaxed);
        state.passed.fetch_add(bytes, Ordering::Relaxed);
        state.total.held.fetch_sub(bytes, Ordering::Relaxed);
        state
            .times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .last_passed = clock::now();
        if message == Message::Response {
            let mut writer = self.writer();
            state.held_of_responses.fetch_sub(bytes, Ordering::Relaxed);
            state
                .passed_of_responses
                .fetch_add(bytes, Ordering::Relaxed);
            if self.has_room() {
                writer.take().iter().for_each(Waker::wake_by_ref);
            }
        }
    }

    /// Locks the waiting writer, and with it the counts of responses against a release.
    fn writer(&self) -> MutexGuard<'_, Option<Waker>> {
        let writer = &self.0.writer;
        writer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_room(&self) -> bool {
        let held = self.0.held_of_responses.load(Ordering::Relaxed);
        held < self.0.total.budget.read_ahead(self.0.total.held())
    }

    /// Waits until more of a response may be read ahead.
    pub fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut writer = self.writer();
        if self.has_room() {
            return Poll::Ready(());
        }
        *writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records that the latest response was received whole from its worker.
    pub fn record_complete(&self) {
        let (state, _guard) = (&self.0, self.writer());
        let held = state.held_of_responses.load(Ordering::Relaxed);
        let passed = state.passed_of_responses.load(Ordering::Relaxed);
        if !self.holds_complete() {
            let mut times = state.times.lock().unwrap_or_else(PoisonError::into_inner);
            times.complete_since = clock::now();
            times.passed_before_complete = passed;
        }
        state.complete_until.store(passed + held, Ordering::Relaxed);
    }

    /// Returns whether a response that was received whole is still held.
    fn holds_complete(&self) -> bool {
        let state = &self.0;
        let until = state.complete_until.load(Ordering::Relaxed);
        state.passed_of_responses.load(Ordering::Relaxed) < until
    }

    /// Asks for the connection to be closed, unless a complete response is still held for it.
    pub fn close_incomplete(&self) {
        if !self.holds_complete() {
            self.close();
        }
    }

    /// Frees what is held: a request without a response is given up, so that its caller is told, and otherwise the
    /// connection is closed. A caller that does not read its earlier response could not be told.
    pub fn give_way(&self) {
        let state = &self.0;
        let is_delivering = state.held_of_responses.load(Ordering::Relaxed) > 0;
        // Either this sees that the request was answered, or `until_given_up` sees that the connection gives way.
        state.gives_way.store(true, Ordering::SeqCst);
        if state.is_unanswered.load(Ordering::SeqCst) && !is_delivering {
            state.given_up.notify_one();
        } else {
            self.close();
        }
    }

    /// Waits for the response to a request of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error once the request is given up; `response` is then dropped.
    pub async fn until_given_up<T>(&self, response: impl Future<Output = T>) -> Result<T, GivenUp> {
        let state = &self.0;
        state.is_sent.store(false, Ordering::Relaxed);
        state.is_unanswered.store(true, Ordering::SeqCst);
        let outcome = tokio::select! {
            biased;
            () = state.given_up.notified() => Err(GivenUp {
                is_sent: state.is_sent.load(Ordering::Relaxed),
            }),
            response = response => Ok(response),
        };
        state.is_unanswered.store(false, Ordering::SeqCst);
        if outcome.is_ok() && state.gives_way.load(Ordering::SeqCst) {
            self.close();
        }
        outcome
    }

    /// Records that the current request is sent to a worker.
    pub fn record_sent(&self) {
        self.0.is_sent.store(true, Ordering::Relaxed);
    }

    /// Records the head of a request.
    pub fn begin_request(&self, has_body: bool) {
        let request = self.0.requests.fetch_add(1, Ordering::SeqCst) + 1;
        let awaited = if has_body { request } else { 0 };
        self.0.awaited.store(awaited, Ordering::SeqCst);
    }

    /// Returns the number of requests that were received.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.0.requests.load(Ordering::SeqCst)
    }

    /// Records that the body of the latest request is being received.
    #[must_use]
    pub fn receive(&self) -> Receiving {
        self.0.receiving.fetch_add(1, Ordering::SeqCst);
        Receiving {
            holder: self.clone(),
            request: self.requests(),
        }
    }

    /// Returns how much of the latest request body was received. A body may arrive after the response.
    #[must_use]
    pub fn receipt(&self) -> Receipt {
        if self.0.awaited.load(Ordering::SeqCst) == 0 {
            Receipt::Whole
        } else if self.0.receiving.load(Ordering::SeqCst) > 0 {
            Receipt::Partial
        } else {
            Receipt::Abandoned
        }
    }

    /// Asks for the connection to be closed.
    pub fn close(&self) {
        self.0.closed.notify_one();
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        self.0.closed.notified().await;
    }

    /// Returns what the connection holds.
    #[must_use]
    pub fn holding(&self, now: Instant) -> Holding {
        let state = &self.0;
        let times = state.times.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = state.passed.load(Ordering::Relaxed);
        let passed_of_responses = state.passed_of_responses.load(Ordering::Relaxed);
        let is_complete = self.holds_complete();
        let complete_age = now.saturating_duration_since(times.complete_since);
        Holding {
            id: state.id,
            held: state.held.load(Ordering::Relaxed),
            progress: passed.saturating_sub(times.passed_before),
            age: now.saturating_duration_since(times.since),
            idle: now.saturating_duration_since(times.last_passed),
            is_delivering: state.held_of_responses.load(Ordering::Relaxed) > 0,
            is_complete,
            complete_age: if is_complete {
                complete_age
            } else {
                Duration::ZERO
            },
            complete_progress: passed_of_responses.saturating_sub(times.passed_before_complete),
        }
    }
}
