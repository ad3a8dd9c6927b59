//! Phases with gray workers, which respond to health probes but serve requests badly.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutvalve_model::rank::Rank;
use tokio::time::{Instant, sleep};

use super::{Context, join_load};
use crate::Error;
use crate::fleet::node::ejected_workers;
use crate::load::{self, Class};
use crate::worker::Fault;

/// Rate for each worker, in requests per second; the detection target is stated for this rate.
const RATE_PER_WORKER: f64 = 20.0;
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum share of the requests that a gray worker may get after its detection.
const MAX_GRAY_SHARE: f64 = 0.02;
const DETECTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Duration of the load before the fault.
const WARM_UP_TIME: Duration = Duration::from_secs(5);

/// Returns the workers of the focus service that at least one running entry has ejected.
async fn ejected_by_any_entry(context: &Context<'_>) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for entry in context.fleet.entries.iter().filter(|e| e.is_running()) {
        let status = context.fleet.entry_status(entry).await.unwrap_or_default();
        all.extend(ejected_workers(&status, &context.deployment.scale.focus));
    }
    all
}

/// Returns the top-rank classes of the focus service, with deadlines of at least 2 s: shorter ones would count slow responses
/// as failures.
fn top_rank_classes(context: &Context<'_>) -> Vec<Class> {
    let mut classes = context.deployment.focused(Rank::Top);
    for class in &mut classes {
        class.deadline_ms = class.deadline_ms.max(2_000);
    }
    classes
}

/// Returns the indices of the focus service's workers in the fleet.
fn focus_workers(context: &Context<'_>) -> Vec<usize> {
    let workers = context.fleet.workers.iter().enumerate();
    let focus_workers = workers.filter(|(_, w)| w.service == context.deployment.scale.focus);
    focus_workers.map(|(index, _)| index).collect()
}

#[allow(clippy::cast_precision_loss)]
fn offered_rate(workers: &[usize]) -> f64 {
    RATE_PER_WORKER * workers.len() as f64
}

async fn set_fault(context: &Context<'_>, workers: &[usize], fault: &Fault) -> Result<(), Error> {
    for index in workers {
        let worker = &context.fleet.workers[*index];
        worker.set_fault(&context.fleet.http, fault).await?;
    }
    Ok(())
}

/// Counts ejections of healthy workers that have 1% random errors and a heavy latency tail. Every ejection is false.
pub(super) async fn measure_false_ejections(context: &mut Context<'_>) -> Result<(), Error> {
    let workers = focus_workers(context);
    let noise = Fault {
        fail_percent: 1.0,
        slow_percent: 2.0,
        slow_ms: 300,
        ..Fault::default()
    };
    set_fault(context, &workers, &noise).await?;
    let plan = context.plan("noise", top_rank_classes(context), offered_rate(&workers));
    let load_task = tokio::spawn(async move { load::run(&plan).await });
    let mut false_ejections = BTreeSet::new();
    while !load_task.is_finished() {
        false_ejections.extend(ejected_by_any_entry(context).await);
        sleep(POLL_INTERVAL).await;
    }
    let report = join_load(load_task.await)?;
    context.record_responses(&report);
    set_fault(context, &workers, &Fault::default()).await?;
    let value = format!(
        "{} in {} requests",
        false_ejections.len(),
        report.total().due
    );
    let name = "false ejections, 1% errors and a tail";
    context.figures.add(name, value, "0 in 100,000");
    Ok(())
}

/// Measures how fast a worker that fails half of its requests is detected, and how many requests it still gets.
pub(super) async fn measure_detection(context: &mut Context<'_>) -> Result<(), Error> {
    let workers = focus_workers(context);
    let gray = workers[0];
    let name = context.fleet.workers[gray].name.clone();
    let mut plan = context.plan("gray", top_rank_classes(context), offered_rate(&workers));
    plan.duration = context.phase_duration + WARM_UP_TIME;
    let load_task = tokio::spawn(async move { load::run(&plan).await });
    sleep(WARM_UP_TIME).await;
    let fault = Fault {
        fail_percent: 50.0,
        ..Fault::default()
    };
    set_fault(context, &[gray], &fault).await?;
    let start = Instant::now();
    let (mut samples, mut false_ejections) = (Vec::new(), BTreeSet::new());
    let mut first_ejection = None;
    while start.elapsed() < context.phase_duration && !load_task.is_finished() {
        samples.push((start.elapsed(), executed_counts(context, &workers).await?));
        let ejected = ejected_by_any_entry(context).await;
        if first_ejection.is_none() && ejected.contains(&name) {
            first_ejection = Some(start.elapsed());
        }
        false_ejections.extend(ejected);
        sleep(POLL_INTERVAL).await;
    }
    false_ejections.remove(&name);
    let report = join_load(load_task.await)?;
    context.record_responses(&report);
    set_fault(context, &[gray], &Fault::default()).await?;
    let seconds =
        |d: Option<Duration>| d.map_or("never".into(), |d| format!("{:.1} s", d.as_secs_f64()));
    let figures = &mut context.figures;
    let detected = seconds(detection_time(&samples));
    figures.add("gray worker: share below 2% after", detected, "3 s");
    let after = format!("{:.2}%", share_after_detection(&samples) * 100.0);
    figures.add("gray worker: share after 3 s", after, "below 2%");
    figures.add(
        "gray worker: first ejection after",
        seconds(first_ejection),
        "",
    );
    figures.add(
        "gray worker: other workers ejected",
        false_ejections.len(),
        "0",
    );
    figures.add_ranks("gray worker", &report, |_| "");
    Ok(())
}

/// Returns the executions so far of the first of the workers and of all of them.
async fn executed_counts(context: &Context<'_>, workers: &[usize]) -> Result<(u64, u64), Error> {
    let mut counts = Vec::new();
    for index in workers {
        let worker = &context.fleet.workers[*index];
        counts.push(worker.counts(&context.fleet.http).await?.executed);
    }
    Ok((counts[0], counts.iter().sum()))
}

type Sample = (Duration, (u64, u64));

#[allow(clippy::cast_precision_loss)]
fn share_between(from: &Sample, to: &Sample) -> f64 {
    let all = to.1.1 - from.1.1;
    if all == 0 {
        return 0.0;
    }
    (to.1.0 - from.1.0) as f64 / all as f64
}

/// Returns the share of the gray worker from [`DETECTION_TIMEOUT`] to the last sample, 1 if there is no sample after it.
fn share_after_detection(samples: &[Sample]) -> f64 {
    let from = samples
        .iter()
        .find(|(elapsed, _)| *elapsed >= DETECTION_TIMEOUT);
    match (from, samples.last()) {
        (Some(from), Some(to)) => share_between(from, to),
        _ => 1.0,
    }
}

/// Returns the earliest time from which the gray worker's share up to the last sample is below [`MAX_GRAY_SHARE`].
fn detection_time(samples: &[Sample]) -> Option<Duration> {
    let (last, earlier) = samples.split_last()?;
    let above = |s: &Sample| share_between(s, last) >= MAX_GRAY_SHARE;
    let found = earlier.iter().rposition(above).map_or(0, |index| index + 1);
    earlier.get(found).map(|(elapsed, _)| *elapsed)
}
