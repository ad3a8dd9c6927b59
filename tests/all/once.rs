//! P4: a request with a key that is not idempotent runs at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_bench::client::Failure;
use chestnutvalve_bench::fleet::until;
use chestnutvalve_bench::forward::Mode;
use chestnutvalve_bench::load::{Call, Caller, Class, Outcome, Verdict};
use chestnutvalve_kernel::Shutdown;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::support::{self, Running, SOON, order};

const MOST: u32 = 1;

/// Compares executions with what callers were told.
async fn check(fleet: &Running, told: &[(Call, Vec<Outcome>)]) {
    let counts = fleet.counts().await.unwrap();
    let (mut good, mut unknown) = (0, 0);
    for (call, outcomes) in told {
        let key = format!(
            "{}/{}",
            call.customer,
            call.key.as_deref().unwrap_or_default()
        );
        let runs = counts.keys.get(&key).copied().unwrap_or(0);
        assert!(runs <= MOST, "{key} ran {runs} times: {outcomes:#?}");
        let answered = outcomes.iter().any(|o| o.verdict == Verdict::Good);
        assert!(
            !answered || runs == 1,
            "{key} answered without a run: {outcomes:#?}"
        );
        let all_no = outcomes.iter().all(|o| o.executed.as_deref() == Some("no"));
        assert!(
            !all_no || runs == 0,
            "{key} ran although every answer denies it: {outcomes:#?}"
        );
        good += usize::from(answered);
        unknown += usize::from(!answered && !all_no);
    }
    println!(
        "{} requests, {good} answered, {unknown} with unknown outcome",
        told.len()
    );
    assert!(
        good > 0,
        "nothing was served, so that the test shows nothing"
    );
}

/// Most requests of one caller.
const MOST_CALLS: usize = 300;

/// Callers that send keyed orders until they are told to stop, and resend each one to other entries until it is answered.
fn callers(fleet: &Running, stop: &Shutdown) -> JoinSet<Vec<(Call, Vec<Outcome>)>> {
    let mut callers = JoinSet::new();
    for number in 0..9 {
        let mut addresses = fleet.callers();
        let turn = number % addresses.len();
        addresses.rotate_left(turn);
        let (name, stop) = (format!("k{number}"), stop.clone());
        callers.spawn(async move {
            let class = Class {
                deadline_ms: 1_500,
                ..order()
            };
            let caller = Caller::new(addresses.clone(), true);
            let mut told = Vec::new();
            while !stop.is_requested() && told.len() < MOST_CALLS {
                let at = told.len();
                let call = Call::new(&class, format!("{name}-{at}")).customer(name.clone());
                let mut outcomes = Vec::new();
                for resend in 0..4 {
                    let address = addresses[(at + resend) % addresses.len()];
                    outcomes.push(call_once(&caller, &call, address).await);
                    if outcomes[resend].verdict == Verdict::Good {
                        break;
                    }
                }
                told.push((call, outcomes));
            }
            told
        });
    }
    callers
}

/// Time after which a caller resends although its first request may still be in progress.
const RESEND_AFTER: Duration = Duration::from_millis(400);

async fn call_once(caller: &Caller, call: &Call, address: SocketAddr) -> Outcome {
    let answer = tokio::time::timeout(RESEND_AFTER, caller.call_at(call, address)).await;
    answer.unwrap_or(Outcome {
        verdict: Verdict::Lost(Failure::Timeout),
        executed: None,
        status: None,
        latency: RESEND_AFTER,
        entry: Some(address),
    })
}

async fn collect(mut callers: JoinSet<Vec<(Call, Vec<Outcome>)>>) -> Vec<(Call, Vec<Outcome>)> {
    let mut told = Vec::new();
    while let Some(part) = callers.join_next().await {
        told.extend(part.unwrap());
    }
    told
}

/// Guards against a second run when entries or control instances are killed or frozen at any point of a request and the
/// caller resends to another entry.
#[rstest::rstest]
#[case::kill(11, false)]
#[case::freeze(12, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_runs_once_under_faults(#[case] seed: u64, #[case] freeze: bool) {
    let mut random = support::random(seed);
    let mut layout = support::layout();
    // Long enough that most faults hit requests in flight.
    layout.services[0].work_ms = 40;
    let mut fleet = support::start(layout).await;
    let stop = Shutdown::default();
    let sending = callers(&fleet, &stop);
    for _ in 0..6 {
        sleep(Duration::from_millis(random.random_range(50..400))).await;
        let entry = random.random_range(0..2) == 0;
        let at = random.random_range(0..3);
        let down = Duration::from_millis(random.random_range(300..3_500));
        if freeze {
            let frozen = if entry {
                fleet.entries[at].process()
            } else {
                fleet.controls[at].process()
            };
            let frozen = frozen.unwrap();
            frozen.freeze().unwrap();
            sleep(down).await;
            frozen.resume().unwrap();
        } else if entry {
            fleet.entries[at].kill();
            sleep(down / 4).await;
            fleet.entries[at].start().unwrap();
        } else {
            fleet.controls[at].kill();
            sleep(down / 4).await;
            fleet.controls[at].start().unwrap();
        }
    }
    stop.request();
    let told = collect(sending).await;
    let resent = told.iter().filter(|(_, o)| o.len() > 1).count();
    println!("{resent} requests resent");
    assert!(resent > 0, "no fault hit a request");
    check(&fleet, &told).await;
}

/// Guards against a second run, or a false denial, when a claim reaches the ledger and its answer is lost, or the reverse.
#[rstest::rstest]
#[case::claims_lost(15, Mode::drop_requests())]
#[case::answers_lost(16, Mode::drop_responses())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_runs_once_when_entry_and_ledger_hear_one_way(#[case] seed: u64, #[case] mode: Mode) {
    let mut random = support::random(seed);
    let mut layout = support::layout();
    layout.links = true;
    let fleet = support::start(layout).await;
    let stop = Shutdown::default();
    let sending = callers(&fleet, &stop);
    let links = |entry: &str, mode: Mode| {
        for control in &fleet.controls {
            let link = fleet.forwarder(&format!("{entry}-{}", control.name));
            link.unwrap().set_mode(mode);
        }
    };
    for _ in 0..6 {
        sleep(Duration::from_millis(random.random_range(50..400))).await;
        let entry = &fleet.entries[random.random_range(0..3)].name;
        links(entry, mode);
        sleep(Duration::from_millis(random.random_range(300..2_500))).await;
        links(entry, Mode::default());
    }
    stop.request();
    let told = collect(sending).await;
    let denied = |o: &Outcome| o.executed.as_deref() == Some("no");
    let denied = told
        .iter()
        .flat_map(|(_, outcomes)| outcomes)
        .filter(|o| denied(o));
    let denied = denied.count();
    println!("{denied} answers deny the execution");
    check(&fleet, &told).await;
}

/// Guards against an entry that is frozen between claim and dispatch and runs the request after a resend was answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_frozen_around_claim_and_dispatch_does_not_run_a_request_twice() {
    let mut random = support::random(13);
    let fleet = support::start(support::layout()).await;
    let class = Class {
        deadline_ms: 4_000,
        ..order()
    };
    let mut told = Vec::new();
    for number in 0..24 {
        let call = Call::new(&class, format!("f-{number}"));
        let (first, second) = (fleet.entries[0].callers, fleet.entries[1].callers);
        let caller = Arc::new(Caller::new(vec![first], true));
        let sending = {
            let (caller, call) = (Arc::clone(&caller), call.clone());
            tokio::spawn(async move { caller.call_at(&call, first).await })
        };
        sleep(Duration::from_micros(random.random_range(0..9_000))).await;
        fleet.entries[0].process().unwrap().freeze().unwrap();
        let resent = caller.call_at(&call, second).await;
        fleet.entries[0].process().unwrap().resume().unwrap();
        let sent = sending.await.unwrap();
        told.push((call, vec![sent, resent]));
    }
    check(&fleet, &told).await;
}

/// Guards against a claim that is lost with the control leader: a resend must find it at the next leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_survive_the_loss_of_every_leader_in_turn() {
    let mut fleet = support::start(support::layout()).await;
    let caller = Caller::new(fleet.callers(), false);
    let class = order();
    let mut told = Vec::new();
    for round in 0..3 {
        let mut calls = Vec::new();
        for number in 0..20 {
            let call = Call::new(&class, format!("l{round}-{number}"));
            let outcomes = support::insist(&caller, &call, 20, Duration::from_millis(200)).await;
            calls.push((call, outcomes));
        }
        let leader = until("a leader", SOON, async || leader(&fleet).await)
            .await
            .unwrap();
        fleet.controls[leader].kill();
        for (call, outcomes) in &mut calls {
            // A resend of an answered request gets the recorded outcome, never a second run.
            outcomes.push(caller.call(call).await);
        }
        told.extend(calls);
        fleet.controls[leader].start().unwrap();
    }
    check(&fleet, &told).await;
}

/// Returns the position of the control instance that leads the config group.
pub async fn leader(fleet: &Running) -> Option<usize> {
    for control in fleet.controls.iter().filter(|c| c.is_running()) {
        let Some(status) = fleet.control_status(control).await else {
            continue;
        };
        for other in status["controls"].as_array()? {
            let leads = other["replicas"][0]["status"]["role"] == "leader";
            if leads && other["replicas"][0]["status"]["quorum"] == true {
                let name = other["control"].as_str()?;
                return fleet.controls.iter().position(|c| c.name == name);
            }
        }
    }
    None
}
