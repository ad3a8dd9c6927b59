//! Requests of an entry to one accountant. Those that arrive together travel in one message.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutvalve_model::id::Customer;
use chestnutvalve_routing::quota::Wait;
use chestnutvalve_wire::{Client, Error};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::message::{Grant, TAKE_PATH, Take, Taken};
use crate::clock;

/// Time for the answer of an accountant.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Age at which an answer is dropped, on a clock that also counts while the machine sleeps.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);
/// Messages to one accountant that may wait for an answer. Requests that arrive meanwhile share the next message.
const MAX_IN_FLIGHT: usize = 2;
/// Customers in one message.
const MAX_CUSTOMERS: usize = 256;
/// Unused permits in one message.
const MAX_UNUSED: usize = 256;
/// Unused permits that wait for a message. Beyond that the oldest are lost, since accountants forget these first.
const MAX_WAITING_UNUSED: usize = 4 * MAX_UNUSED;

/// Answer to a request for one permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The request may be sent. A permit that is not used is given back with this stamp.
    Granted(u64),
    /// The customer is at its limit; a token comes after this time.
    Refused(Duration),
    /// The entry doesn't grant permits at present.
    Inactive,
}

/// Requests that wait for an answer.
type Senders = Vec<oneshot::Sender<Answer>>;

/// Requests to one accountant.
#[derive(Debug)]
pub struct Line {
    client: Client,
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeMap<Customer, Senders>,
    /// Permits to give back, in the order in which they came.
    unused: VecDeque<(Customer, u64)>,
    in_flight: usize,
}

impl Line {
    /// Creates the line to the accountant at the address of `client`.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self {
            client,
            queue: Mutex::default(),
        }
    }

    /// Returns the address of the accountant.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.client.peer()
    }

    /// Asks for a permit. Returns `None` without an answer in time.
    pub async fn ask(self: &Arc<Self>, customer: &Customer) -> Option<Answer> {
        let (sender, receiver) = oneshot::channel();
        let idle = {
            let mut queue = self.queue();
            let waiting = queue.waiting.entry(customer.clone()).or_default();
            waiting.push(sender);
            let idle = queue.in_flight < MAX_IN_FLIGHT;
            queue.in_flight += usize::from(idle);
            idle
        };
        if idle {
            let line = Arc::clone(self);
            tokio::spawn(async move { line.drain().await });
        }
        timeout(ANSWER_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Gives back a permit of a request that was not sent, with the next message.
    pub fn give_back(&self, customer: &Customer, stamp: u64) {
        let mut queue = self.queue();
        if queue.unused.len() == MAX_WAITING_UNUSED {
            queue.unused.pop_front();
        }
        queue.unused.push_back((customer.clone(), stamp));
    }

    /// Sends messages until no request waits.
    async fn drain(self: &Arc<Self>) {
        while let Some((message, senders)) = self.next_message() {
            self.send(message, senders).await;
        }
    }

    async fn send(self: &Arc<Self>, message: Take, senders: Vec<Senders>) {
        let sent_at = clock::now_with_suspension();
        let call = self.client.call(TAKE_PATH, &message, MAX_ANSWER_AGE);
        let answer: Result<Taken, Error> = call.await;
        let now = clock::now_with_suspension();
        if now.saturating_duration_since(sent_at) > MAX_ANSWER_AGE {
            return;
        }
        match answer {
            Ok(Taken::Permits(grants)) => {
                let customers = message.wanted.into_iter().map(|(customer, _)| customer);
                for ((customer, senders), grant) in customers.zip(senders).zip(grants) {
                    self.distribute(customer, senders, grant);
                }
            }
            Ok(Taken::Inactive) => {
                for sender in senders.into_iter().flatten() {
                    let _ = sender.send(Answer::Inactive);
                }
            }
            Err(error) => spdlog::debug!("asking accountant {}: {error}", self.peer()),
        }
    }

    /// Returns the next message, and whom its answer is for. Without one, this task counts as ended.
    fn next_message(&self) -> Option<(Take, Vec<Senders>)> {
        let mut queue = self.queue();
        let mut message = Take::default();
        let mut senders = Vec::new();
        while message.wanted.len() < MAX_CUSTOMERS
            && let Some((customer, mut waiting)) = queue.waiting.pop_first()
        {
            // A request that has given up or was cancelled needs no permit.
            waiting.retain(|sender| !sender.is_closed());
            if let Ok(count @ 1..) = u32::try_from(waiting.len()) {
                message.wanted.push((customer, count));
                senders.push(waiting);
            }
        }
        if senders.is_empty() {
            queue.in_flight -= 1;
            return None;
        }
        let sent = queue.unused.len().min(MAX_UNUSED);
        message.unused = queue.unused.drain(..sent).collect();
        Some((message, senders))
    }

    fn distribute(self: &Arc<Self>, customer: Customer, mut senders: Senders, grant: Grant) {
        let granted = usize::try_from(grant.granted).unwrap_or(usize::MAX);
        let rest = senders.split_off(granted.min(senders.len()));
        for sender in senders {
            if sender.send(Answer::Granted(grant.stamp)).is_err() {
                self.give_back(&customer, grant.stamp);
            }
        }
        if grant.more && !rest.is_empty() {
            let message = Take {
                wanted: vec![(customer, u32::try_from(rest.len()).unwrap_or(u32::MAX))],
                patient: true,
                ..Take::default()
            };
            let line = Arc::clone(self);
            tokio::spawn(async move { line.send(message, vec![rest]).await });
            return;
        }
        let wait = Wait {
            first: Duration::from_millis(grant.first_ms.into()),
            step: Duration::from_millis(grant.step_ms.into()),
        };
        for (index, sender) in (0..).zip(rest) {
            let _ = sender.send(Answer::Refused(wait.of(index)));
        }
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
