//! Queue of one rank: round-robin over customers, first in first out within a customer.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use chestnutvalve_model::id::Customer;

use super::Request;

/// Requests of one rank that wait. Only customers with a waiting request take memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: HashMap<Option<Customer>, VecDeque<Request>>,
    /// Customers with a waiting request, next one first.
    turns: VecDeque<Option<Customer>>,
    len: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of requests that `ticket` would wait for.
    pub(super) fn ahead(&self, ticket: &Request) -> usize {
        let own = self.count(ticket);
        let shares = self
            .waiting
            .values()
            .map(|tickets| tickets.len().min(own + 1));
        // The sum contains the waiting requests of the same customer.
        shares.sum()
    }

    pub(super) fn push(&mut self, ticket: Request) {
        let customer = ticket.customer.clone();
        let tickets = self.waiting.entry(customer.clone()).or_default();
        if tickets.is_empty() {
            self.turns.push_back(customer);
        }
        tickets.push_back(ticket);
        self.len += 1;
    }

    /// Takes the next request.
    pub(super) fn pop(&mut self) -> Option<Request> {
        let customer = self.turns.pop_front()?;
        let tickets = self.waiting.get_mut(&customer)?;
        let ticket = tickets.pop_front()?;
        if tickets.is_empty() {
            self.waiting.remove(&customer);
        } else {
            self.turns.push_back(customer);
        }
        self.len -= 1;
        Some(ticket)
    }

    /// Takes the newest request of the customer with the most, so that a flood displaces its own requests.
    pub(super) fn displace(&mut self) -> Option<Request> {
        // Customers are compared too, so that the choice does not depend on the order of the map.
        let longest = self
            .waiting
            .iter()
            .max_by_key(|(c, tickets)| (tickets.len(), *c));
        let id = longest.and_then(|(_, tickets)| tickets.back())?.id;
        self.extract(|ticket| ticket.id == id).pop()
    }

    /// Returns the number of requests of the customer with the most.
    pub(super) fn longest(&self) -> usize {
        self.waiting.values().map(VecDeque::len).max().unwrap_or(0)
    }

    /// Returns the number of waiting requests of the ticket's customer.
    pub(super) fn count(&self, ticket: &Request) -> usize {
        let own = self.waiting.get(&ticket.customer);
        own.map_or(0, VecDeque::len)
    }

    /// Takes the requests with a deadline before `limit`.
    pub(super) fn take_due(&mut self, limit: Instant) -> Vec<Request> {
        self.extract(|ticket| ticket.deadline < limit)
    }

    /// Takes a request out; returns whether it was there.
    pub(super) fn cancel(&mut self, id: u64) -> bool {
        !self.extract(|ticket| ticket.id == id).is_empty()
    }

    fn extract(&mut self, matches: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut taken = Vec::new();
        self.waiting.retain(|_, tickets| {
            if tickets.iter().any(&matches) {
                let (out, keep): (Vec<_>, Vec<_>) = tickets.drain(..).partition(&matches);
                taken.extend(out);
                tickets.extend(keep);
            }
            !tickets.is_empty()
        });
        if !taken.is_empty() {
            self.len -= taken.len();
            self.turns
                .retain(|customer| self.waiting.contains_key(customer));
        }
        taken.sort_unstable_by_key(|ticket| ticket.id);
        taken
    }
}
