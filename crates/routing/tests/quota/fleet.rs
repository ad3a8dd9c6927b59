//! Accountants of a fleet on one given clock, with a directory and state that some of them may not see.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_model::account::Limit;
use chestnutvalve_model::id::Customer;
use chestnutvalve_model::version::Version;
use chestnutvalve_routing::quota::membership::{Change, Origin, Start, View};
use chestnutvalve_routing::quota::{Book, Bounds, Membership, Need, first_ask, second_ask};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Time between two rounds of requests.
pub const STEP: Duration = Duration::from_millis(10);
/// Availability zones, with six entries each, of which four are accountants.
pub const ZONES: usize = 3;
pub const NODES: usize = 18;
const PER_ZONE: usize = 4;
/// Silence after which the directory drops an entry.
const EXPIRY: Duration = Duration::from_secs(5);
/// Time after which an answer of a lender is dropped.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);
/// Time between the starts of two entries.
const START_INTERVAL: Duration = Duration::from_mins(1);
/// How often requests wait for tokens.
const MAX_ATTEMPTS: u32 = 2;

/// What the platform tolerates in the tests.
pub const BOUNDS: Bounds = Bounds {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
};

/// Returns the most permits that a limit allows in any window.
pub fn most_in_window(limit: &Limit) -> f64 {
    let allowed = limit.per_second * BOUNDS.window.as_secs_f64() + limit.burst;
    allowed * (1.0 + BOUNDS.over) + BOUNDS.slack
}

pub struct Node {
    pub book: Book,
    pub membership: Membership,
    known: (Vec<usize>, Option<Limit>),
    known_starts: Vec<Instant>,
    confirmed: Option<(Instant, Version)>,
    restarted: bool,
    started_at: Instant,
    /// Whether it reaches no control instance.
    pub cut: bool,
    pub dead: bool,
    pub frozen_until: Option<Instant>,
    silent_since: Option<Instant>,
}

impl Node {
    fn new(restarted: bool, first_start: Instant, started_at: Instant) -> Self {
        let mut book = Book::new(BOUNDS);
        let since_first = started_at.saturating_duration_since(first_start);
        book.number_from(u64::try_from(since_first.as_nanos()).unwrap());
        Self {
            book,
            membership: Membership::default(),
            known: (Vec::new(), None),
            known_starts: Vec::new(),
            confirmed: None,
            restarted,
            started_at,
            cut: false,
            dead: false,
            frozen_until: None,
            silent_since: None,
        }
    }

    fn runs(&self, now: Instant) -> bool {
        !self.dead && self.frozen_until.is_none_or(|until| now >= until)
    }
}

/// Requests that wait for tokens, and the tokens that are on the way to them.
struct Transit {
    sent_at: Instant,
    due: Instant,
    to: usize,
    /// `None` for requests that wait for the tokens of others.
    tokens: Option<f64>,
    unmet: u32,
    attempt: u32,
}

pub struct Fleet {
    first_start: Instant,
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub limit: Option<Limit>,
    version: Version,
    /// Entries of the directory, and when their processes started.
    listed: BTreeMap<usize, Instant>,
    transits: Vec<Transit>,
    customer: Customer,
    pub random: SmallRng,
    /// Chooses lenders; apart from `random`, so that the requests don't depend on it.
    lenders: SmallRng,
    /// Round trip between accountants.
    pub round_trip: Duration,
    /// Permits of each step, and the most that the limits in force then allow in a window.
    pub steps: Vec<(u32, f64)>,
    pub asked: u32,
    pub granted: u32,
    pub refused: u32,
    /// Messages to lenders.
    pub asks: u32,
    /// Part of the permits that are given back unused.
    pub unused: f64,
    /// Age at which they are given back.
    pub return_time: Duration,
    returns: Vec<(Instant, usize, u32, u64)>,
}

impl Fleet {
    /// Starts a fleet without limits, publishes one after 2 s, and returns it at that time.
    pub fn start(limit: Limit, seed: u64) -> Self {
        let now = Instant::now();
        // The entries were started one after the other.
        let started_at = |n| now + START_INTERVAL * n;
        let mut fleet = Self {
            first_start: now,
            now,
            nodes: (0..)
                .take(NODES)
                .map(|n| Node::new(false, now, started_at(n)))
                .collect(),
            limit: None,
            version: Version {
                term: 1,
                revision: 1,
            },
            listed: (0..NODES).zip((0..).map(started_at)).collect(),
            transits: Vec::new(),
            customer: Customer::new("acme").unwrap(),
            random: SmallRng::seed_from_u64(seed),
            lenders: SmallRng::seed_from_u64(!seed),
            round_trip: STEP,
            steps: Vec::new(),
            asked: 0,
            granted: 0,
            refused: 0,
            asks: 0,
            unused: 0.0,
            return_time: Duration::from_millis(250),
            returns: Vec::new(),
        };
        fleet.run(Duration::from_secs(2), |_| [0; NODES]);
        fleet.publish(limit);
        fleet.steps.clear();
        fleet
    }

    pub fn publish(&mut self, limit: Limit) {
        self.limit = Some(limit);
        self.version.revision += 1;
    }

    /// Ends a process and starts it again.
    pub fn restart(&mut self, node: usize) {
        let cut = self.nodes[node].cut;
        self.nodes[node] = Node::new(self.listed.contains_key(&node), self.first_start, self.now);
        self.nodes[node].cut = cut;
        self.version.revision += 1;
    }

    /// Ends all processes, starts them again after a time in which the directory stands still, and returns when they have
    /// the state, `start` after that.
    pub fn lose_power(&mut self, down: Duration, start: Duration) {
        let most = self.limit.as_ref().map_or(0.0, most_in_window);
        for (time, starts) in [(down, true), (start, false)] {
            let until = self.now + time;
            while self.now < until {
                self.now += STEP;
                self.steps.push((0, most));
            }
            if starts {
                (0..NODES).for_each(|node| self.restart(node));
            }
        }
    }

    /// Returns the accountants of the directory: the first four entries of each zone.
    pub fn accountants(&self) -> Vec<usize> {
        let of = |zone| {
            let of_zone = self.listed.keys().filter(move |n| *n % ZONES == zone);
            of_zone.take(PER_ZONE).copied()
        };
        (0..ZONES).flat_map(of).collect()
    }

    /// Runs for a time; `requests` returns the requests that each entry gets in a step.
    pub fn run(&mut self, time: Duration, mut requests: impl FnMut(&mut Self) -> [u32; NODES]) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.expire();
            self.observe();
            let before = self.granted;
            self.deliver();
            let requests = requests(self);
            for (node, count) in requests.into_iter().enumerate() {
                self.request(node, count);
            }
            let granted = self.granted - before;
            let limits = self.nodes.iter().filter(|n| !n.dead);
            let limits = limits.filter_map(|n| n.known.1.as_ref()).chain(&self.limit);
            let most = limits.map(most_in_window).fold(0.0, f64::max);
            self.steps.push((granted, most));
        }
    }

    /// Drops entries from the directory that have been silent for long, and adds those that are back.
    fn expire(&mut self) {
        let now = self.now;
        for (at, node) in self.nodes.iter_mut().enumerate() {
            let heard = node.runs(now) && !node.cut;
            let since = *node.silent_since.get_or_insert(now);
            if heard {
                node.silent_since = None;
            }
            let changed = if heard {
                self.listed.insert(at, node.started_at) != Some(node.started_at)
            } else {
                now.duration_since(since) >= EXPIRY && self.listed.remove(&at).is_some()
            };
            if changed {
                self.version.revision += 1;
            }
        }
    }

    fn observe(&mut self) {
        let accountants = self.accountants();
        for at in 0..NODES {
            let node = &mut self.nodes[at];
            if !node.runs(self.now) {
                continue;
            }
            if !node.cut {
                node.known = (accountants.clone(), self.limit);
                node.known_starts = self.listed.values().copied().collect();
                node.confirmed = Some((self.now, self.version));
            }
            let is_near = |start: &Instant| is_near(*start, node.started_at);
            let origin = if node.restarted {
                Origin::Restarted
            } else if node.known_starts.iter().all(is_near) {
                Origin::NewFleet
            } else {
                Origin::Unknown
            };
            let view = View {
                version: node.confirmed.map_or(Version::ZERO, |(_, v)| v),
                accountants: node.known.0.len(),
                listed: node.known.0.contains(&at),
                origin,
                limits: node.known.1.is_some(),
                confirmed: node.confirmed,
            };
            let change = node.membership.observe(self.now, &view);
            match change {
                Some(Change::Started(Start::Empty)) => node.book.empty(self.now),
                Some(Change::Started(Start::Restarted)) => node.book.empty(node.started_at),
                _ => {}
            }
            node.book.set_shares(node.membership.shares(self.now));
            node.book.forget_idle(self.now);
        }
    }

    /// Delivers borrowed tokens and permits that were not used.
    fn deliver(&mut self) {
        let now = self.now;
        for (_, at, count, stamp) in self.returns.extract_if(.., |(due, ..)| *due <= now) {
            let node = &mut self.nodes[at];
            if let Some(limit) = node.known.1.filter(|_| node.runs(now)) {
                let customer = &self.customer;
                node.book.give_back(now, customer, &limit, count, stamp);
            }
        }
        let (due, kept) = std::mem::take(&mut self.transits)
            .into_iter()
            .partition(|t| t.due <= now && self.nodes[t.to].runs(now));
        self.transits = kept;
        let due: Vec<Transit> = due;
        for transit in due {
            let node = &mut self.nodes[transit.to];
            let late = now.duration_since(transit.sent_at) > MAX_ANSWER_AGE;
            let Some(limit) = node.known.1.filter(|_| !late) else {
                self.refused += transit.unmet;
                continue;
            };
            let (customer, unmet) = (&self.customer, transit.unmet);
            let taken = match transit.tokens {
                Some(tokens) => node.book.accept(now, customer, &limit, tokens, unmet),
                None => node.book.take_again(now, customer, &limit, unmet),
            };
            self.granted += taken;
            // A request that is still waiting when the accountant stops is refused.
            self.wait(transit.to, &limit, unmet - taken, transit.attempt + 1);
        }
    }

    fn request(&mut self, at: usize, count: u32) {
        self.asked += count;
        let now = self.now;
        let node = &mut self.nodes[at];
        let limit = node.known.1;
        let Some(limit) = limit.filter(|_| node.runs(now) && node.membership.is_active()) else {
            self.refused += count;
            return;
        };
        let taken = node.book.take(now, &self.customer, &limit, count);
        if taken > 0 && self.random.random_bool(self.unused) {
            let due = now + self.return_time;
            self.returns.push((due, at, taken, node.book.stamp()));
        } else {
            self.granted += taken;
        }
        self.wait(at, &limit, count - taken, 0);
    }

    fn wait(&mut self, at: usize, limit: &Limit, unmet: u32, attempt: u32) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let others: Vec<usize> = node.known.0.iter().copied().filter(|o| *o != at).collect();
        let need = match attempt {
            MAX_ATTEMPTS => Need::None,
            _ => node.book.need(now, &self.customer, limit, unmet),
        };
        let tokens = match need {
            Need::Ask { tokens, lenders } => {
                let others = others.sample(&mut self.lenders, lenders).copied();
                Some(self.borrow(&others.collect::<Vec<usize>>(), tokens, unmet))
            }
            Need::Asked if unmet > 0 => None,
            _ => {
                self.refused += unmet;
                return;
            }
        };
        self.transits.push(Transit {
            sent_at: now,
            due: now + self.round_trip,
            to: at,
            tokens,
            unmet,
            attempt,
        });
    }

    fn borrow(&mut self, others: &[usize], need: f64, unmet: u32) -> f64 {
        let ask = first_ask(need, others.len());
        let (mut tokens, mut spare) = (0.0, Vec::new());
        for other in others {
            let (lent, more) = self.lend(*other, ask, false);
            tokens += lent;
            spare.push(more);
        }
        let more = second_ask(f64::from(unmet) - tokens, &spare);
        for (other, ask) in others.iter().zip(more).filter(|(_, ask)| *ask > 0.0) {
            tokens += self.lend(*other, ask, true).0;
        }
        tokens
    }

    fn lend(&mut self, from: usize, ask: f64, urgent: bool) -> (f64, f64) {
        let now = self.now;
        self.asks += 1;
        let node = &mut self.nodes[from];
        let active = node.runs(now) && node.membership.is_active();
        match node.known.1.filter(|_| active) {
            Some(limit) => node.book.lend(now, &self.customer, &limit, ask, urgent),
            None => (0.0, 0.0),
        }
    }

    /// Returns the permits of the window with the greatest excess over what is allowed, and the number allowed.
    pub fn worst_window(&self) -> (f64, f64) {
        let steps = usize::try_from(BOUNDS.window.as_millis() / STEP.as_millis()).unwrap();
        let windows = self.steps.windows(steps.min(self.steps.len()).max(1));
        let sums = windows.map(|window| {
            let permits: u32 = window.iter().map(|(permits, _)| permits).sum();
            let most = window.iter().map(|(_, most)| *most).fold(0.0, f64::max);
            (f64::from(permits), most)
        });
        sums.max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1)))
            .unwrap()
    }

    pub fn assert_within_limit(&self) {
        let (permits, most) = self.worst_window();
        assert!(permits <= most, "{permits} permits in a window of {most}");
    }

    /// Returns the permits of the last `time`.
    pub fn permits_in_last(&self, time: Duration) -> u32 {
        let steps = usize::try_from(time.as_millis() / STEP.as_millis()).unwrap();
        self.steps.iter().rev().take(steps).map(|(p, _)| p).sum()
    }

    /// Returns requests at `rate` a second that arrive at random, distributed over the accountants by `weights`.
    pub fn poisson(&mut self, rate: f64, weights: &[(usize, f64)]) -> [u32; NODES] {
        let mut requests = [0; NODES];
        for (node, weight) in weights {
            let mean = rate * weight * STEP.as_secs_f64();
            let mut left = self.random.random::<f64>();
            let mut chance = (-mean).exp();
            let mut count = 0;
            while left > chance && count < 1_000 {
                left -= chance;
                count += 1;
                chance *= mean / f64::from(count);
            }
            requests[*node] += count;
        }
        requests
    }
}

/// Returns whether two processes started at about the same time.
fn is_near(a: Instant, b: Instant) -> bool {
    let apart = a.max(b).duration_since(a.min(b));
    apart <= Duration::from_secs(10)
}
