//! P4: a keyed request that is not idempotent is executed at most once.

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

use crate::support::{self, Running, STATE_TIMEOUT, order};

const MAX_EXECUTIONS: u32 = 1;

/// Compares the executions at the workers with the outcomes reported to callers.
async fn check(fleet: &Running, results: &[(Call, Vec<Outcome>)]) {
    let counts = fleet.counts().await.unwrap();
    let (mut good, mut unknown) = (0, 0);
    for (call, outcomes) in results {
        let key = format!(
            "{}/{}",
            call.customer,
            call.key.as_deref().unwrap_or_default()
        );
        let executions = counts.keys.get(&key).copied().unwrap_or(0);
        assert!(
            executions <= MAX_EXECUTIONS,
            "{key} was executed {executions} times: {outcomes:#?}"
        );
        let succeeded = outcomes.iter().any(|o| o.verdict == Verdict::Good);
        assert!(
            !succeeded || executions == 1,
            "{key} succeeded without an execution: {outcomes:#?}"
        );
        let all_no = outcomes.iter().all(|o| o.executed.as_deref() == Some("no"));
        assert!(
            !all_no || executions == 0,
            "{key} was executed although every response denies it: {outcomes:#?}"
        );
        good += usize::from(succeeded);
        unknown += usize::from(!succeeded && !all_no);
    }
    println!(
        "{} requests, {good} succeeded, {unknown} with unknown outcome",
        results.len()
    );
    assert!(
        good > 0,
        "no request succeeded, so the test is not meaningful"
    );
}

/// Maximum number of requests per caller.
const MAX_CALLS: usize = 300;

/// Spawns callers that send keyed requests until `stop`, and resend each one to other entries until it succeeds.
fn spawn_callers(fleet: &Running, stop: &Shutdown) -> JoinSet<Vec<(Call, Vec<Outcome>)>> {
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
            let mut results = Vec::new();
            while !stop.is_requested() && results.len() < MAX_CALLS {
                let at = results.len();
                let call = Call::new(&class, format!("{name}-{at}")).customer(name.clone());
                let mut outcomes = Vec::new();
                for resend in 0..4 {
                    let address = addresses[(at + resend) % addresses.len()];
                    outcomes.push(call_once(&caller, &call, address).await);
                    if outcomes[resend].verdict == Verdict::Good {
                        break;
                    }
                }
                results.push((call, outcomes));
            }
            results
        });
    }
    callers
}

/// Timeout after which a caller resends although the first request may still be in progress.
const RESEND_TIMEOUT: Duration = Duration::from_millis(400);

async fn call_once(caller: &Caller, call: &Call, address: SocketAddr) -> Outcome {
    let result = tokio::time::timeout(RESEND_TIMEOUT, caller.call_at(call, address)).await;
    result.unwrap_or(Outcome {
        verdict: Verdict::Lost(Failure::Timeout),
        executed: None,
        status: None,
        latency: RESEND_TIMEOUT,
        entry: Some(address),
    })
}

async fn collect(mut callers: JoinSet<Vec<(Call, Vec<Outcome>)>>) -> Vec<(Call, Vec<Outcome>)> {
    let mut results = Vec::new();
    while let Some(part) = callers.join_next().await {
        results.extend(part.unwrap());
    }
    results
}

/// Guards against a second execution when entries or control instances are killed or frozen at any point of a request and
/// the caller resends to another entry.
#[rstest::rstest]
#[case::kill(11, false)]
#[case::freeze(12, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_runs_once_under_faults(#[case] seed: u64, #[case] freeze: bool) {
    let mut random = support::random(seed);
    let mut layout = support::layout();
    // The service time is long enough that most faults hit requests in flight.
    layout.services[0].work_ms = 40;
    let mut fleet = support::start(layout).await;
    let stop = Shutdown::default();
    let sending = spawn_callers(&fleet, &stop);
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
    let results = collect(sending).await;
    let resent = results.iter().filter(|(_, o)| o.len() > 1).count();
    println!("{resent} requests resent");
    assert!(resent > 0, "no fault affected a request");
    check(&fleet, &results).await;
}

/// Guards against a second execution, or a false denial, when either the claims or the responses between an entry and the
/// ledger are lost.
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
    let sending = spawn_callers(&fleet, &stop);
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
    let results = collect(sending).await;
    let denied = |o: &Outcome| o.executed.as_deref() == Some("no");
    let denied = results
        .iter()
        .flat_map(|(_, outcomes)| outcomes)
        .filter(|o| denied(o));
    let denied = denied.count();
    println!("{denied} responses deny the execution");
    check(&fleet, &results).await;
}

/// Guards against an entry that is frozen between claim and dispatch and dispatches the request after a resend succeeded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_frozen_around_claim_and_dispatch_does_not_run_a_request_twice() {
    let mut random = support::random(13);
    let fleet = support::start(support::layout()).await;
    let class = Class {
        deadline_ms: 4_000,
        ..order()
    };
    let mut results = Vec::new();
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
        results.push((call, vec![sent, resent]));
    }
    check(&fleet, &results).await;
}

/// Guards against a claim that is lost with the control leader: the next leader must find it for a resend.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_survive_the_loss_of_every_leader_in_turn() {
    let mut fleet = support::start(support::layout()).await;
    let caller = Caller::new(fleet.callers(), false);
    let class = order();
    let mut results = Vec::new();
    for round in 0..3 {
        let mut calls = Vec::new();
        for number in 0..20 {
            let call = Call::new(&class, format!("l{round}-{number}"));
            let outcomes =
                support::resend_until_good(&caller, &call, 20, Duration::from_millis(200)).await;
            calls.push((call, outcomes));
        }
        let leader = until("a leader", STATE_TIMEOUT, async || leader(&fleet).await)
            .await
            .unwrap();
        fleet.controls[leader].kill();
        for (call, outcomes) in &mut calls {
            // A resend of a completed request returns the recorded outcome without a second execution.
            outcomes.push(caller.call(call).await);
        }
        results.extend(calls);
        fleet.controls[leader].start().unwrap();
    }
    check(&fleet, &results).await;
}

/// Returns the index of the control instance that leads the config group.
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
