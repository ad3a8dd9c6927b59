//! Admission under floods: ranks, shares, customers, deadlines and the adaptive limit.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use chestnutvalve_model::id::Customer;
use chestnutvalve_model::rank::{PerRank, Rank};
use chestnutvalve_routing::admission::{Action, Admission, Decision, Limits, Ticket};
use chestnutvalve_routing::sample::{Sample, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const SHARES: PerRank<u8> = PerRank {
    top: 50,
    middle: 20,
    bottom: 5,
};
/// Requests that the workers run at the same time, average service time and the resulting capacity per second.
const SLOTS: u32 = 20;
const SERVICE_MS: f64 = 25.0;
const CAPACITY: f64 = 800.0;

fn limits(queue_limit: u32, entries: u32) -> Limits {
    Limits {
        queue_limit,
        min_share_percent: SHARES,
        slots: SLOTS,
        entries,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One stream of requests.
#[derive(Clone, Copy)]
struct Load {
    rank: Rank,
    customer: &'static str,
    /// Requests per second.
    rate: f64,
    deadline: Duration,
    service_ms: f64,
}

fn load(rank: Rank, customer: &'static str, capacity_share: f64) -> Load {
    let deadline = ms([300, 1_000, 3_000][rank.index()]);
    let rate = capacity_share * CAPACITY;
    Load {
        rank,
        customer,
        rate,
        deadline,
        service_ms: SERVICE_MS,
    }
}

/// Results of one stream, from the tenth second to the third before the end.
#[derive(Clone, Copy, Debug, Default)]
struct Stats {
    offered: f64,
    in_time: f64,
    /// Service time, completed in time and in all, as a share of the capacity.
    share: f64,
    used: f64,
}

/// Offers the loads to one entry for `seconds`.
fn run(seed: u64, loads: &[Load], seconds: f64) -> Vec<Stats> {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut admission = Admission::new(limits(256, 1));
    let mut stats = vec![Stats::default(); loads.len()];
    let mut tickets: HashMap<u64, (usize, Instant, bool)> = HashMap::new();
    let mut running: BinaryHeap<Reverse<(Instant, u64, Duration)>> = BinaryHeap::new();
    let mut next = vec![0.0_f64; loads.len()];
    let (mut id, mut tick) = (0, 0.0);
    loop {
        let (index, time) = next
            .iter()
            .copied()
            .enumerate()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap();
        if time > seconds {
            return stats;
        }
        next[index] = time - random.random::<f64>().max(1e-9).ln() / loads[index].rate;
        let now = start + Duration::from_secs_f64(time);
        let measured = (10.0..seconds - 3.0).contains(&time);
        let mut actions = Vec::new();
        while let Some(&Reverse((at, done, service))) = running.peek()
            && at <= now
        {
            running.pop();
            let (index, deadline, measured) = tickets.remove(&done).unwrap();
            let share = service.as_secs_f64() / f64::from(SLOTS) / (seconds - 13.0);
            if measured {
                stats[index].used += share;
            }
            if measured && at <= deadline {
                stats[index].in_time += 1.0;
                stats[index].share += share;
            }
            let sample = Sample {
                latency: service,
                verdict: Verdict::Success,
            };
            for action in admission.finish(at, loads[index].rank, &sample) {
                begin(&mut random, at, &action, loads, &mut tickets, &mut running);
            }
        }
        if time >= tick {
            tick = time + 0.01;
            actions.extend(admission.tick(now));
        }
        id += 1;
        let load = loads[index];
        let customer = Some(Customer::new(load.customer).unwrap());
        let deadline = now + load.deadline;
        let decision = admission.offer(
            now,
            Ticket {
                id,
                rank: load.rank,
                customer,
                deadline,
            },
        );
        stats[index].offered += f64::from(u8::from(measured));
        if !matches!(decision, Decision::Refuse { .. }) {
            tickets.insert(id, (index, deadline, measured));
        }
        if decision == Decision::Run {
            actions.push(Action::Start(id));
        }
        actions.extend(admission.displaced());
        for action in actions {
            begin(&mut random, now, &action, loads, &mut tickets, &mut running);
        }
    }
}

/// Starts or drops a request. The service time is exponential around its average, but at least a fifth of it.
fn begin(
    random: &mut StdRng,
    now: Instant,
    action: &Action,
    loads: &[Load],
    tickets: &mut HashMap<u64, (usize, Instant, bool)>,
    running: &mut BinaryHeap<Reverse<(Instant, u64, Duration)>>,
) {
    match *action {
        Action::Start(id) => {
            let factor = 0.2 - 0.8 * random.random::<f64>().max(1e-9).ln();
            let slots =
                f64::from(SLOTS).max(f64::from(u32::try_from(running.len()).unwrap()) + 1.0);
            let seconds =
                loads[tickets[&id].0].service_ms / 1_000.0 * factor * slots / f64::from(SLOTS);
            let service = Duration::from_secs_f64(seconds);
            running.push(Reverse((now + service, id, service)));
        }
        Action::Refuse { id, .. } => {
            tickets.remove(&id);
        }
    }
}

/// Guards against a flood of the bottom rank, at ten times the capacity, harming the top rank.
#[rstest]
fn a_bottom_flood_leaves_the_top_rank(#[values(1, 2, 3)] seed: u64, #[values(0.1, 0.4)] top: f64) {
    let loads = [load(Rank::Top, "a", top), load(Rank::Bottom, "b", 10.0)];
    let stats = run(seed, &loads, 40.0);
    println!("{stats:?}");
    assert!(stats[0].in_time >= 0.999 * stats[0].offered, "{stats:?}");
}

/// Guards against a flood of the top rank taking the minimum shares of the others.
#[rstest]
fn a_top_flood_leaves_the_minimum_shares(#[values(1, 2, 3)] seed: u64) {
    let lower = [load(Rank::Middle, "b", 1.0), load(Rank::Bottom, "c", 1.0)];
    let loads = [load(Rank::Top, "a", 10.0), lower[0], lower[1]];
    let stats = run(seed, &loads, 40.0);
    println!("{stats:?}");
    assert!(
        stats[1].share >= 0.20 && stats[2].share >= 0.05,
        "{stats:?}"
    );
    assert!(
        stats.iter().map(|s| s.used).sum::<f64>() > 0.95,
        "{stats:?}"
    );
}

/// Guards against keeping capacity for ranks that don't use it.
#[rstest]
#[case::bottom_alone(&[load(Rank::Bottom, "c", 3.0)])]
#[case::no_top(&[load(Rank::Middle, "b", 0.1), load(Rank::Bottom, "c", 3.0)])]
fn unused_shares_are_used(#[case] loads: &[Load], #[values(1, 2, 3)] seed: u64) {
    let stats = run(seed, loads, 40.0);
    assert!(
        stats.iter().map(|s| s.used).sum::<f64>() > 0.95,
        "{stats:?}"
    );
}

/// Guards against one customer's flood starving the others of its rank.
#[rstest]
fn a_customer_does_not_starve_its_peers(#[values(1, 2, 3)] seed: u64) {
    let peers = [load(Rank::Middle, "a", 0.2), load(Rank::Middle, "b", 0.2)];
    let loads = [peers[0], peers[1], load(Rank::Middle, "c", 10.0)];
    let stats = run(seed, &loads, 40.0);
    println!("{stats:?}");
    for peer in &stats[..2] {
        assert!(peer.in_time >= 0.999 * peer.offered, "{stats:?}");
    }
}
