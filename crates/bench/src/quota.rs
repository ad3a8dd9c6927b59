//! Model of customers' limits over many entries: messages, bytes, requests refused below a limit, and the excess over it.
//!
//! It runs the decisions of `routing::quota` on a clock of its own, without processes and without time on the way.

use std::time::{Duration, Instant};

use chestnutvalve_entry::gateway::quota::message::{Borrow, Grant, Lent, Take, Taken};
use chestnutvalve_model::account::Limit;
use chestnutvalve_model::id::Customer;
use chestnutvalve_routing::quota::{Book, Bounds, Need, first_ask, second_ask};
use chestnutvalve_wire::Frame;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::Error;

const STEP: Duration = Duration::from_millis(10);
/// Requests of an entry in a second.
const ENTRY_RATE: f64 = 11.0;
const LIMIT: Limit = Limit {
    per_second: 20.0,
    burst: 20.0,
};
const BOUNDS: Bounds = Bounds {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
};
const ACCOUNTANTS_PER_ZONE: usize = 4;
/// Number of entries from which there are nine availability zones.
const MANY_ENTRIES: usize = 1_000;
/// Relative demand in the availability zones, by turns.
const ZONE_WEIGHTS: [f64; 3] = [0.42, 0.30, 0.28];
/// Demand at which a customer is far over its limit.
const FLOOD: f64 = 12.0;

/// What a run has counted.
#[derive(Debug, Default)]
struct Counts {
    asked: u64,
    refused: u64,
    /// Requests that are refused if the whole fleet has one bucket.
    refused_by_single: u64,
    lender_messages: u64,
    /// Messages that the busiest accountant got and sent.
    busiest: u64,
    /// Most permits of a customer in a window, in parts of what the limit allows.
    worst_window: f64,
}

struct Fleet {
    now: Instant,
    books: Vec<Book>,
    single: Book,
    customers: Vec<Customer>,
    /// Permits of each step of the last window, by customer.
    windows: Vec<Vec<u32>>,
    messages: Vec<u64>,
    random: SmallRng,
    counts: Counts,
}

/// Runs the model for all fleet sizes and prints a Markdown row for each.
///
/// # Errors
///
/// Returns an error if a message can't be encoded.
pub fn run(entries: &[usize], duration: Duration) -> Result<(), Error> {
    println!(
        "| entries | zones | customers | messages/s, bytes/s an entry | busiest accountant: messages/s \
         | at 80%: refused | at 95%: refused, by a single bucket, messages/s to lenders | at 12 times: most in a window |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let bytes = bytes_per_request()?;
    for entries in entries {
        let zones = if *entries < MANY_ENTRIES { 3 } else { 9 };
        let accountants = zones * ACCOUNTANTS_PER_ZONE;
        let demand = count(*entries) * ENTRY_RATE;
        let customers = whole(demand / (LIMIT.per_second * 0.8)).max(1);
        let [calm, busy, flood] = [0.8, 0.95, FLOOD].map(|load| {
            let mut fleet = Fleet::new(accountants, customers);
            fleet.run(load * LIMIT.per_second, duration);
            fleet.counts
        });
        let seconds = duration.as_secs_f64();
        let asked = float(calm.asked) / seconds;
        let taken = (count(*entries) - count(accountants)) / count(*entries);
        println!(
            "| {entries} | {zones} | {customers} | {:.1}, {:.0} | {:.0} | {:.3}% | {:.3}%, {:.3}%, {:.0} | {:.2} |",
            asked * taken / count(*entries),
            asked * taken / count(*entries) * bytes,
            float(calm.busiest) / seconds,
            percent(calm.refused, calm.asked),
            percent(busy.refused, busy.asked),
            percent(busy.refused_by_single, busy.asked),
            float(busy.lender_messages) / seconds,
            flood.worst_window,
        );
    }
    let lent = frame_bytes(&borrow())? + frame_bytes(&Lent::default())?;
    println!(
        "\n{bytes:.0} bytes for a permit, {lent:.0} for tokens of a lender, both directions, without HTTP/2 and TCP"
    );
    Ok(())
}

fn customer() -> Customer {
    Customer::new("customer-000").expect("a valid name")
}

fn borrow() -> Borrow {
    Borrow {
        customer: customer(),
        tokens: 1.0,
        urgent: true,
    }
}

/// Returns the bytes of a message for one permit and its answer.
fn bytes_per_request() -> Result<f64, Error> {
    let message = Take {
        wanted: vec![(customer(), 1)],
        ..Take::default()
    };
    let grant = Grant {
        granted: 1,
        // As large as that of a process that started in 2026.
        stamp: 1_780_000_000_000 << 20,
        ..Grant::default()
    };
    let answer = Taken::Permits(vec![grant]);
    Ok(frame_bytes(&message)? + frame_bytes(&answer)?)
}

fn frame_bytes<T: Serialize>(message: &T) -> Result<f64, Error> {
    let frame = Frame::encode(message).map_err(|error| Error::Invalid(error.to_string()))?;
    Ok(count(frame.to_bytes().len()))
}

impl Fleet {
    fn new(accountants: usize, customers: usize) -> Self {
        let books = (0..accountants).map(|_| {
            let mut book = Book::new(BOUNDS);
            book.set_shares(accountants);
            book
        });
        let names = (0..customers).map(|n| Customer::new(&format!("customer-{n}")));
        let steps = whole(BOUNDS.window.as_secs_f64() / STEP.as_secs_f64());
        Self {
            now: Instant::now(),
            books: books.collect(),
            single: Book::new(BOUNDS),
            customers: names.map(|name| name.expect("a valid name")).collect(),
            windows: vec![vec![0; steps]; customers],
            messages: vec![0; accountants],
            random: SmallRng::seed_from_u64(1),
            counts: Counts::default(),
        }
    }

    /// Lets each customer ask at `rate` a second.
    fn run(&mut self, rate: f64, duration: Duration) {
        let steps = whole(duration.as_secs_f64() / STEP.as_secs_f64());
        let window = LIMIT.per_second * BOUNDS.window.as_secs_f64() + LIMIT.burst;
        let most = window * (1.0 + BOUNDS.over) + BOUNDS.slack;
        let mean = rate * STEP.as_secs_f64();
        for step in 0..steps {
            self.now += STEP;
            for number in 0..self.customers.len() {
                let mut permits = 0;
                for _ in 0..poisson(&mut self.random, mean) {
                    permits += u32::from(self.request(number));
                }
                let slot = step % self.windows[number].len();
                self.windows[number][slot] = permits;
                let sum: u32 = self.windows[number].iter().sum();
                self.counts.worst_window = self.counts.worst_window.max(f64::from(sum) / most);
            }
        }
        self.counts.busiest = self.messages.iter().copied().max().unwrap_or(0);
    }

    /// Returns whether a request gets a permit from an accountant of a random zone.
    fn request(&mut self, number: usize) -> bool {
        let customer = self.customers[number].clone();
        let at = self.accountant();
        let now = self.now;
        self.counts.asked += 1;
        self.messages[at] += 1;
        let single = self.single.take(now, &customer, &LIMIT, 1);
        self.counts.refused_by_single += u64::from(1 - single);
        let mut granted = self.books[at].take(now, &customer, &LIMIT, 1);
        let need = self.books[at].need(now, &customer, &LIMIT, 1 - granted);
        if let Need::Ask { tokens, lenders } = need {
            let lenders = self.choose_lenders(at, lenders);
            let tokens = self.borrow(at, &lenders, &customer, tokens, granted == 0);
            granted += self.books[at].accept(now, &customer, &LIMIT, tokens, 1 - granted);
        }
        self.counts.refused += u64::from(1 - granted);
        granted > 0
    }

    fn accountant(&mut self) -> usize {
        let zones = self.books.len() / ACCOUNTANTS_PER_ZONE;
        let group = self.random.random_range(0..zones / ZONE_WEIGHTS.len());
        let mut left = self.random.random::<f64>();
        let mut zone = 0;
        while zone + 1 < ZONE_WEIGHTS.len() && left > ZONE_WEIGHTS[zone] {
            left -= ZONE_WEIGHTS[zone];
            zone += 1;
        }
        let zone = group * ZONE_WEIGHTS.len() + zone;
        zone * ACCOUNTANTS_PER_ZONE + self.random.random_range(0..ACCOUNTANTS_PER_ZONE)
    }

    fn choose_lenders(&mut self, at: usize, count: usize) -> Vec<usize> {
        let others: Vec<usize> = (0..self.books.len()).filter(|o| *o != at).collect();
        others.sample(&mut self.random, count).copied().collect()
    }

    fn borrow(
        &mut self,
        at: usize,
        others: &[usize],
        customer: &Customer,
        need: f64,
        urgent: bool,
    ) -> f64 {
        let ask = first_ask(need, others.len());
        let (mut tokens, mut spare) = (0.0, Vec::new());
        for other in others {
            let (lent, more) = self.lend(at, *other, customer, ask, false);
            tokens += lent;
            spare.push(more);
        }
        if urgent {
            for (other, ask) in others.iter().zip(second_ask(1.0 - tokens, &spare)) {
                if ask > 0.0 {
                    tokens += self.lend(at, *other, customer, ask, true).0;
                }
            }
        }
        tokens
    }

    fn lend(
        &mut self,
        at: usize,
        from: usize,
        customer: &Customer,
        ask: f64,
        urgent: bool,
    ) -> (f64, f64) {
        self.counts.lender_messages += 1;
        self.messages[at] += 1;
        self.messages[from] += 1;
        self.books[from].lend(self.now, customer, &LIMIT, ask, urgent)
    }
}

fn poisson(random: &mut SmallRng, mean: f64) -> u32 {
    let (mut left, mut chance, mut number) = (random.random::<f64>(), (-mean).exp(), 0);
    while left > chance && number < 1_000 {
        left -= chance;
        number += 1;
        chance *= mean / f64::from(number);
    }
    number
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn count(number: usize) -> f64 {
    number as f64
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn float(number: u64) -> f64 {
    number as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number"
)]
fn whole(number: f64) -> usize {
    number.round() as usize
}

fn percent(part: u64, all: u64) -> f64 {
    float(part) / float(all.max(1)) * 100.0
}
