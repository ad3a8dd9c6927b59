//! Queue of one rank: round-robin over customers, FIFO within a customer.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use chestnutvalve_model::id::Customer;

use super::Request;

/// Queued requests of one rank. Only customers with a queued request use memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: HashMap<Option<Customer>, VecDeque<Request>>,
    /// Customers with a queued request, in the order in which they are served.
    rotation: VecDeque<Option<Customer>>,
    len: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of requests that are served before `request` if it is queued.
    pub(super) fn count_ahead(&self, request: &Request) -> usize {
        let own = self.customer_len(request);
        let counts = self
            .waiting
            .values()
            .map(|requests| requests.len().min(own + 1));
        // The sum includes the queued requests of the same customer.
        counts.sum()
    }

    pub(super) fn push(&mut self, request: Request) {
        let customer = request.customer.clone();
        let requests = self.waiting.entry(customer.clone()).or_default();
        if requests.is_empty() {
            self.rotation.push_back(customer);
        }
        requests.push_back(request);
        self.len += 1;
    }

    /// Removes the next request.
    pub(super) fn pop(&mut self) -> Option<Request> {
        let customer = self.rotation.pop_front()?;
        let requests = self.waiting.get_mut(&customer)?;
        let request = requests.pop_front()?;
        if requests.is_empty() {
            self.waiting.remove(&customer);
        } else {
            self.rotation.push_back(customer);
        }
        self.len -= 1;
        Some(request)
    }

    /// Removes the newest request of the customer with the most requests, so that a flood displaces its own requests.
    pub(super) fn displace(&mut self) -> Option<Request> {
        // Ties are broken by the customer, so that the choice doesn't depend on the order of the map.
        let longest = self
            .waiting
            .iter()
            .max_by_key(|(c, requests)| (requests.len(), *c));
        let id = longest.and_then(|(_, requests)| requests.back())?.id;
        self.extract(|request| request.id == id).pop()
    }

    /// Returns the number of requests of the customer with the most requests.
    pub(super) fn longest_customer_len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Returns the number of queued requests of the request's customer.
    pub(super) fn customer_len(&self, request: &Request) -> usize {
        let own = self.waiting.get(&request.customer);
        own.map_or(0, VecDeque::len)
    }

    /// Removes the requests with a deadline before `limit`.
    pub(super) fn take_expired(&mut self, limit: Instant) -> Vec<Request> {
        self.extract(|request| request.deadline < limit)
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn cancel(&mut self, id: u64) -> bool {
        !self.extract(|request| request.id == id).is_empty()
    }

    fn extract(&mut self, matches: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut taken = Vec::new();
        self.waiting.retain(|_, requests| {
            if requests.iter().any(&matches) {
                let (out, keep): (Vec<_>, Vec<_>) = requests.drain(..).partition(&matches);
                taken.extend(out);
                requests.extend(keep);
            }
            !requests.is_empty()
        });
        if !taken.is_empty() {
            self.len -= taken.len();
            self.rotation
                .retain(|customer| self.waiting.contains_key(customer));
        }
        taken.sort_unstable_by_key(|request| request.id);
        taken
    }
}
