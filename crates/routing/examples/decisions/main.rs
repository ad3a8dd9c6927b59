//! Compares each decision of this crate with a simple baseline in small simulations with fixed seeds.
//!
//! Run with `cargo run --release -p chestnutvalve-routing --example decisions`.

mod fleet;
mod flood;
mod retries;

use std::time::Duration;

use chestnutvalve_model::rank::Rank;
use chestnutvalve_routing::retry::TokenBucket;
use chestnutvalve_routing::sample::{Sample, Verdict};
use fleet::{Event, Outcome, Policy, Setup, count, healthy};
use flood::{Stats, Stream, stream};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn main() {
    balancing();
    zones();
    ejection();
    routes();
    admission();
    retry();
}

/// Runs a simulation with all seeds.
fn runs<T>(run: impl Fn(u64) -> T) -> Vec<T> {
    SEEDS.map(run).collect()
}

/// Returns the mean of `value` over the runs of all seeds.
fn average<T>(runs: &[T], value: impl Fn(&T) -> f64) -> f64 {
    runs.iter().map(value).sum::<f64>() / count(runs.len())
}

/// Returns the latency in ms that a share of `quantile` of the requests after `since` seconds doesn't exceed.
fn latency(outcome: &Outcome, since: f64, quantile: f64) -> f64 {
    let events = outcome.events.iter().filter(|e| e.at >= since);
    let mut latencies: Vec<f64> = events.map(|e| e.latency * 1_000.0).collect();
    latencies.sort_by(f64::total_cmp);
    let above = count(latencies.len()) * (1.0 - quantile);
    let position = latencies
        .iter()
        .rev()
        .enumerate()
        .find(|(n, _)| count(*n) >= above);
    position.map_or(0.0, |(_, latency)| *latency)
}

/// Prints a row of a table.
fn row(name: &str, cells: &[String]) {
    print!("{name:<44}");
    for cell in cells {
        print!("{cell:>16}");
    }
    println!();
}

fn header(title: &str, columns: &[&str]) {
    println!();
    let columns: Vec<String> = columns.iter().map(|&c| c.to_owned()).collect();
    row(title, &columns);
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

fn balancing() {
    let columns = [
        "55%: p50 ms",
        "p99 ms",
        "over 100 ms",
        "80%: p50 ms",
        "p99 ms",
        "over 100 ms",
    ];
    header("Balancing: 12 workers of 2 slots, 4 entries", &columns);
    let balanced = |candidates, reports| Policy::Balanced {
        candidates,
        reports,
    };
    let policies = [
        ("round-robin", Policy::RoundRobin),
        ("1 candidate (random)", balanced(1, true)),
        ("2 candidates, own requests only", balanced(2, false)),
        ("2 candidates", balanced(2, true)),
        ("3 candidates, own requests only", balanced(3, false)),
        ("3 candidates", balanced(3, true)),
        ("5 candidates", balanced(5, true)),
        ("all workers", balanced(12, true)),
    ];
    for (name, policy) in policies {
        let mut cells = Vec::new();
        for rate in [40.0, 58.0] {
            let outcomes = runs(|seed| {
                let setup = Setup {
                    rate,
                    policy,
                    detect: false,
                    ..Setup::new(seed, 12, 4, 60.0)
                };
                fleet::run(setup, |random, _, _, _| healthy(random, 18.0))
            });
            for quantile in [0.5, 0.99] {
                let latency = average(&outcomes, |o| latency(o, 5.0, quantile));
                cells.push(format!("{latency:.1}"));
            }
            let slow = average(&outcomes, |o| o.share(5.0, |_| true, |e| e.latency > 0.1));
            cells.push(percent(slow));
        }
        row(name, &cells);
    }
}

fn zones() {
    header(
        "Availability zones: 12 workers, 3 entries, 20/s",
        &["remote", "p50 ms", "p99 ms"],
    );
    let usual = Setup {
        zones: 3,
        detect: false,
        ..Setup::new(1, 12, 3, 60.0)
    };
    for (name, policy) in [
        ("round-robin", Policy::RoundRobin),
        ("own zone preferred", usual.policy),
    ] {
        let outcomes = runs(|seed| {
            let setup = Setup {
                seed,
                policy,
                ..usual
            };
            fleet::run(setup, |random, _, _, _| healthy(random, 15.0))
        });
        let remote = average(&outcomes, |o| o.share(5.0, |_| true, |e| e.remote));
        let quantile = |q| format!("{:.1}", average(&outcomes, |o| latency(o, 5.0, q)));
        row(name, &[percent(remote), quantile(0.5), quantile(0.99)]);
    }
}

fn routes() {
    let columns = ["on that route", "on the others", "ejected"];
    header("One of four routes of a worker faulty", &columns);
    for (name, detect) in [
        ("balancer only", false),
        ("cost per worker and route", true),
    ] {
        let outcomes = runs(|seed| {
            let setup = Setup {
                detect,
                ..Setup::new(seed, 10, 4, 60.0)
            };
            fleet::run(setup, |random, worker, route, time| {
                let usual = healthy(random, 15.0);
                let faulty = worker == 0 && route == 1 && time >= 20.0;
                let verdict = if faulty {
                    Verdict::Failure
                } else {
                    usual.verdict
                };
                Sample { verdict, ..usual }
            })
        });
        let traffic = |on: bool| {
            let of = |e: &Event| (e.route == 1) == on;
            percent(average(&outcomes, |o| o.share(25.0, of, |e| e.worker == 0)))
        };
        let ejected = average(&outcomes, |o| count(o.proposed.len()));
        row(
            name,
            &[traffic(true), traffic(false), format!("{ejected:.1}")],
        );
    }
}

fn ejection() {
    let columns = ["traffic", "failed", "p99 ms"];
    header("Ejection: 1 of 10 workers faulty, 4 entries", &columns);
    let round_robin = Policy::RoundRobin;
    let usual = Setup::new(1, 10, 4, 33.0);
    let variants = [
        (
            "round-robin, no ejection",
            Setup {
                policy: round_robin,
                detect: false,
                ..usual
            },
        ),
        (
            "balancer, no ejection",
            Setup {
                detect: false,
                ..usual
            },
        ),
        ("balancer, cost and ejection", usual),
    ];
    for fault in ["half fail", "half fail fast", "ten times slower"] {
        for (name, setup) in variants {
            let outcomes = runs(|seed| {
                fleet::run(Setup { seed, ..setup }, |random, worker, _, time| {
                    let usual = healthy(random, 15.0);
                    let half = rand::RngExt::random_bool(random, 0.5);
                    match fault {
                        _ if worker != 0 || time < 20.0 => usual,
                        "ten times slower" => Sample {
                            latency: usual.latency * 10,
                            ..usual
                        },
                        _ if !half => usual,
                        "half fail" => Sample {
                            verdict: Verdict::Failure,
                            ..usual
                        },
                        _ => Sample {
                            latency: Duration::from_millis(1),
                            verdict: Verdict::Failure,
                        },
                    }
                })
            });
            let share = |matches: fn(&Event) -> bool| {
                percent(average(&outcomes, |o| o.share(23.0, |_| true, matches)))
            };
            let tail = average(&outcomes, |o| latency(o, 23.0, 0.99));
            let cells = [
                share(|e| e.worker == 0),
                share(|e| !e.success),
                format!("{tail:.1}"),
            ];
            row(&format!("{fault}: {name}"), &cells);
        }
    }
}

fn admission() {
    let columns = ["top in time", "middle", "bottom", "capacity used"];
    header("Admission: share of the rank's requests in time", &columns);
    let long = Stream {
        service_ms: 500.0,
        ..stream(Rank::Bottom, "c", 10.0)
    };
    let floods: [(&str, u32, Vec<Stream>); 3] = [
        (
            "bottom flood x10",
            20,
            vec![stream(Rank::Top, "a", 0.4), stream(Rank::Bottom, "c", 10.0)],
        ),
        (
            "bottom flood x10, 500 ms, 5 slots",
            5,
            vec![stream(Rank::Top, "a", 0.4), long],
        ),
        (
            "top flood x10",
            20,
            vec![
                stream(Rank::Top, "a", 10.0),
                stream(Rank::Middle, "b", 0.15),
                stream(Rank::Bottom, "c", 0.04),
            ],
        ),
    ];
    for (flood, slots, loads) in &floods {
        for (name, policy) in [
            ("one queue", flood::Policy::Fifo),
            ("ranked", flood::Policy::Ranked),
        ] {
            let all = runs(|seed| flood::run(policy, seed, *slots, loads));
            let average =
                |value: fn(&Stats) -> f64, index: usize| average(&all, |s| value(&s[index]));
            let in_time = Rank::ALL.map(|rank| {
                let index = loads.iter().position(|l| l.rank == rank);
                index.map_or("-".to_owned(), |index| {
                    percent(average(|s| s.in_time / s.offered, index))
                })
            });
            let used: f64 = (0..loads.len())
                .map(|index| average(|s| s.used, index))
                .sum();
            row(
                &format!("{flood}: {name}"),
                &[&in_time[..], &[percent(used)]].concat(),
            );
        }
    }
}

fn retry() {
    let columns = [
        "before",
        "attempts",
        "slow for 4 s",
        "attempts",
        "16 to 36 s after",
        "attempts",
    ];
    header("Retries: share of the requests that succeed", &columns);
    let variants = [
        ("no retries", Some(TokenBucket::new(0))),
        ("up to 3 retries, no budget", None),
        ("up to 3 retries, budget of 10%", Some(TokenBucket::new(10))),
    ];
    for (name, budget) in variants {
        let mut cells = Vec::new();
        let all = runs(|seed| retries::run(seed, budget.clone()));
        for phase in 0..retries::PHASES.len() {
            cells.push(percent(average(&all, |r| r[phase].0)));
            cells.push(format!("{:.2}", average(&all, |r| r[phase].1)));
        }
        row(name, &cells);
    }
}
