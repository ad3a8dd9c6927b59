//! The bound on requests to a leaving worker under loss, delay and reordering of messages and restarts of entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chestnutvalve_membership::digest::Digest;
use chestnutvalve_membership::worker::{Announcement, PROOF_LIFETIME, Registry};
use chestnutvalve_model::id::{Entry, Incarnation, Service, Worker, Zone};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 3;
const STEP_MS: usize = 10;

enum Message {
    Renewal(usize, Announcement),
    Token(u64, String),
    Pull {
        from: usize,
        to: usize,
        requested_at: Instant,
    },
    Digest {
        to: usize,
        requested_at: Instant,
        digest: Digest,
    },
    Withdrawal(usize, Incarnation),
    Response {
        to: usize,
        run: Incarnation,
        dispatched_at: Instant,
    },
}

struct Network {
    random: StdRng,
    loss: f64,
    delay_ms: u64,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
}

impl Network {
    fn send(&mut self, now_ms: u64, message: Message) {
        self.sent += 1;
        // Half of the messages arrive at once and overtake delayed ones.
        let range = self.delay_ms * self.random.random_range(0..2);
        let at = now_ms + self.random.random_range(0..=range);
        if !self.random.random_bool(self.loss) {
            self.messages.insert((at, self.sent), message);
        }
    }
}

fn service_and_worker() -> (Service, Worker) {
    (Service::new("kasa").unwrap(), Worker::new("w1").unwrap())
}

fn announcement(run: u64, token: Option<String>) -> Announcement {
    Announcement {
        service: service_and_worker().0,
        worker: service_and_worker().1,
        incarnation: Incarnation(run),
        address: "127.0.0.1:9001".parse().unwrap(),
        zone: Zone::new("sofia-1").unwrap(),
        slots: 2,
        load: 0,
        token,
    }
}

fn registry(entry: usize, run: u64) -> Registry {
    Registry::new(Entry::new(&format!("e{entry}")).unwrap(), Incarnation(run))
}

struct Simulation {
    net: Network,
    entries: Vec<Registry>,
    /// Current incarnation of the worker.
    current: u64,
    token: Option<String>,
    /// When earlier incarnations began to leave.
    leaving_since: BTreeMap<Incarnation, Instant>,
}

impl Simulation {
    fn deliver(&mut self, now_ms: u64, now: Instant) {
        let (service, worker) = service_and_worker();
        while let Some(first) = self.net.messages.first_entry() {
            if first.key().0 > now_ms {
                break;
            }
            match first.remove() {
                Message::Renewal(to, a) => {
                    let run = a.incarnation.0;
                    if let Ok(token) = self.entries[to].announce(now, &a) {
                        self.net.send(now_ms, Message::Token(run, token));
                    }
                }
                Message::Token(run, text) if run == self.current => self.token = Some(text),
                Message::Token(..) => {}
                Message::Pull {
                    from,
                    to,
                    requested_at,
                } => {
                    let digest = self.entries[to].digest(now, std::slice::from_ref(&service));
                    let to = from;
                    self.net.send(
                        now_ms,
                        Message::Digest {
                            to,
                            requested_at,
                            digest,
                        },
                    );
                }
                Message::Digest {
                    to,
                    requested_at,
                    digest,
                } => {
                    self.entries[to].merge(requested_at, now, &digest);
                }
                Message::Withdrawal(to, run) => {
                    self.entries[to].withdraw(now, &service, &worker, run);
                }
                Message::Response {
                    to,
                    run,
                    dispatched_at,
                } => {
                    self.entries[to].record_proof(&service, &worker, run, dispatched_at);
                }
            }
        }
    }

    fn leave(&mut self, now_ms: u64, now: Instant) {
        self.leaving_since.insert(Incarnation(self.current), now);
        for to in 0..ENTRIES {
            let withdrawal = Message::Withdrawal(to, Incarnation(self.current));
            self.net.send(now_ms, withdrawal);
        }
        // The next incarnation starts while messages of this one are in flight.
        self.current += 1;
        self.token = None;
    }

    fn renew_and_respond(&mut self, now_ms: u64, now: Instant) {
        let run = Incarnation(self.current);
        let to = self.net.random.random_range(0..ENTRIES);
        let renewal = Message::Renewal(to, announcement(run.0, self.token.clone()));
        self.net.send(now_ms, renewal);
        let to = self.net.random.random_range(0..ENTRIES);
        let dispatched_at = now;
        self.net.send(
            now_ms,
            Message::Response {
                to,
                run,
                dispatched_at,
            },
        );
    }
}

/// Simulates 30 s in which each incarnation of the worker lasts 2 to 8 s. Returns the max time for which an entry had a
/// proof after the worker began to leave, and the number of checks at which an entry had a proof.
fn simulate(seed: u64, loss: f64, delay_ms: u64) -> (Duration, u64) {
    let net = Network {
        random: StdRng::seed_from_u64(seed),
        loss,
        delay_ms,
        messages: BTreeMap::new(),
        sent: 0,
    };
    let entries = (0..ENTRIES).map(|e| registry(e, 1)).collect();
    let mut simulation = Simulation {
        net,
        entries,
        current: 1,
        token: None,
        leaving_since: BTreeMap::new(),
    };
    let start = Instant::now();
    let (service, worker) = service_and_worker();
    let (mut leave_at_ms, mut next_renewal_ms, mut entry_run) = (4_000, 0, 1);
    let (mut longest, mut proofs) = (Duration::ZERO, 0);
    for now_ms in (0..30_000).step_by(STEP_MS) {
        let now = start + Duration::from_millis(now_ms);
        if now_ms == leave_at_ms {
            simulation.leave(now_ms, now);
            next_renewal_ms = now_ms + 1_000;
            leave_at_ms += 10 * simulation.net.random.random_range(200..800);
        }
        if now_ms >= next_renewal_ms {
            simulation.renew_and_respond(now_ms, now);
            next_renewal_ms = now_ms + 800;
        }
        if now_ms % 600 == 0 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                simulation.net.send(
                    now_ms,
                    Message::Pull {
                        from,
                        to,
                        requested_at: now,
                    },
                );
            }
        }
        if simulation.net.random.random_bool(0.002) {
            entry_run += 1;
            let entry = simulation.net.random.random_range(0..ENTRIES);
            simulation.entries[entry] = registry(entry, entry_run);
        }
        simulation.deliver(now_ms, now);
        for entry in &simulation.entries {
            if entry.has_proof(now, &service, &worker) {
                proofs += 1;
                let run = entry.workers(&service)[0].incarnation;
                let since = simulation
                    .leaving_since
                    .get(&run)
                    .map_or(Duration::ZERO, |&l| now - l);
                longest = longest.max(since);
            }
        }
    }
    (longest, proofs)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against a message sequence by which a worker still receives requests 2.8 s after it began to leave.
    #[test]
    fn no_proof_outlives_its_lifetime(seed: u64, loss in 0.0..0.9, delay_ms in 0..6_000_u64) {
        let (longest, _) = simulate(seed, loss, delay_ms);
        prop_assert!(longest < PROOF_LIFETIME, "proof held {longest:?} after leaving began");
    }
}

/// Guards against the bound holding only because no worker ever has a proof, or because no withdrawal is ever lost.
#[test]
fn proofs_are_common_and_withdrawals_get_lost() {
    let (_, proofs) = simulate(7, 0.0, 20);
    assert!(
        proofs > 3 * 3_000 / 2,
        "{proofs} of 9000 checks found a proof"
    );
    let (longest, _) = simulate(7, 0.5, 1_000);
    assert!(
        longest > Duration::from_secs(1),
        "longest proof after leaving began: {longest:?}"
    );
}
