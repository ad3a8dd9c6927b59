//! Phases with workers that answer probes but serve badly.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutvalve_model::rank::Rank;
use tokio::time::{Instant, sleep};

use super::{Stage, joined};
use crate::Error;
use crate::fleet::node::ejected_workers;
use crate::load::{self, Class};
use crate::worker::Fault;

/// Rate to each worker in the detection target, in requests per second.
const RATE_PER_WORKER: f64 = 20.0;
/// Pause between two looks at the workers.
const LOOK: Duration = Duration::from_millis(250);
/// Largest share of a gray worker after its detection.
const GRAY_SHARE: f64 = 0.02;
/// Time within which a gray worker has to be detected.
const DETECTION: Duration = Duration::from_secs(3);
/// Calm load before the fault.
const BEFORE: Duration = Duration::from_secs(5);

/// Returns the workers of the focused service that any entry has ejected.
async fn ejected(stage: &Stage<'_>) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for entry in stage.fleet.entries.iter().filter(|e| e.is_running()) {
        let status = stage.fleet.entry_status(entry).await.unwrap_or_default();
        all.extend(ejected_workers(&status, &stage.deployment.scale.focus));
    }
    all
}

/// Top-rank classes of the focused service; a short deadline would count slowness as failure.
fn lookups(stage: &Stage<'_>) -> Vec<Class> {
    let mut classes = stage.deployment.focused(Rank::Top);
    for class in &mut classes {
        class.deadline_ms = class.deadline_ms.max(2_000);
    }
    classes
}

/// Positions of the focused service's workers.
fn focused(stage: &Stage<'_>) -> Vec<usize> {
    let workers = stage.fleet.workers.iter().enumerate();
    let own = workers.filter(|(_, w)| w.service == stage.deployment.scale.focus);
    own.map(|(at, _)| at).collect()
}

#[allow(clippy::cast_precision_loss)]
fn rate(workers: &[usize]) -> f64 {
    RATE_PER_WORKER * workers.len() as f64
}

async fn set(stage: &Stage<'_>, workers: &[usize], fault: &Fault) -> Result<(), Error> {
    for at in workers {
        let worker = &stage.fleet.workers[*at];
        worker.set_fault(&stage.fleet.http, fault).await?;
    }
    Ok(())
}

/// Healthy workers with 1% random errors and a heavy latency tail: every ejection is false.
pub(super) async fn noise(stage: &mut Stage<'_>) -> Result<(), Error> {
    let workers = focused(stage);
    let errors = Fault {
        fail_percent: 1.0,
        slow_percent: 2.0,
        slow_ms: 300,
        ..Fault::default()
    };
    set(stage, &workers, &errors).await?;
    let plan = stage.plan("noise", lookups(stage), rate(&workers));
    let loading = tokio::spawn(async move { load::run(&plan).await });
    let mut wrong = BTreeSet::new();
    while !loading.is_finished() {
        wrong.extend(ejected(stage).await);
        sleep(LOOK).await;
    }
    let report = joined(loading.await)?;
    stage.keep(&report);
    set(stage, &workers, &Fault::default()).await?;
    let value = format!("{} in {} requests", wrong.len(), report.total().due);
    let name = "false ejections, 1% errors and a tail";
    stage.figures.add(name, value, "0 in 100,000");
    Ok(())
}

/// One worker that fails half its requests.
pub(super) async fn failing(stage: &mut Stage<'_>) -> Result<(), Error> {
    let workers = focused(stage);
    let gray = workers[0];
    let name = stage.fleet.workers[gray].name.clone();
    let mut plan = stage.plan("gray", lookups(stage), rate(&workers));
    plan.duration = stage.phase + BEFORE;
    let loading = tokio::spawn(async move { load::run(&plan).await });
    sleep(BEFORE).await;
    let fault = Fault {
        fail_percent: 50.0,
        ..Fault::default()
    };
    set(stage, &[gray], &fault).await?;
    let start = Instant::now();
    let (mut samples, mut wrong) = (Vec::new(), BTreeSet::new());
    let mut first = None;
    while start.elapsed() < stage.phase && !loading.is_finished() {
        samples.push((start.elapsed(), executed(stage, &workers).await?));
        let now = ejected(stage).await;
        if first.is_none() && now.contains(&name) {
            first = Some(start.elapsed());
        }
        wrong.extend(now);
        sleep(LOOK).await;
    }
    wrong.remove(&name);
    let report = joined(loading.await)?;
    stage.keep(&report);
    set(stage, &[gray], &Fault::default()).await?;
    let seconds =
        |d: Option<Duration>| d.map_or("never".into(), |d| format!("{:.1} s", d.as_secs_f64()));
    let figures = &mut stage.figures;
    let detected = seconds(detection(&samples));
    figures.add("gray worker: share below 2% after", detected, "3 s");
    let after = format!("{:.2}%", share(&samples) * 100.0);
    figures.add("gray worker: share after 3 s", after, "below 2%");
    figures.add("gray worker: first ejection after", seconds(first), "");
    figures.add("gray worker: other workers ejected", wrong.len(), "0");
    figures.ranks("gray worker", &report, |_| "");
    Ok(())
}

/// Executions of the first worker and of all workers so far.
async fn executed(stage: &Stage<'_>, workers: &[usize]) -> Result<(u64, u64), Error> {
    let mut counts = Vec::new();
    for at in workers {
        let worker = &stage.fleet.workers[*at];
        counts.push(worker.counts(&stage.fleet.http).await?.executed);
    }
    Ok((counts[0], counts.iter().sum()))
}

type Sample = (Duration, (u64, u64));

#[allow(clippy::cast_precision_loss)]
fn between(from: &Sample, to: &Sample) -> f64 {
    let all = to.1.1 - from.1.1;
    if all == 0 {
        return 0.0;
    }
    (to.1.0 - from.1.0) as f64 / all as f64
}

/// Share of the gray worker from the detection limit to the end.
fn share(samples: &[Sample]) -> f64 {
    let from = samples.iter().find(|(at, _)| *at >= DETECTION);
    match (from, samples.last()) {
        (Some(from), Some(to)) => between(from, to),
        _ => 1.0,
    }
}

/// First instant from which the gray worker's share up to the end is below the bound.
fn detection(samples: &[Sample]) -> Option<Duration> {
    let (last, earlier) = samples.split_last()?;
    let above = |s: &Sample| between(s, last) >= GRAY_SHARE;
    let found = earlier.iter().rposition(above).map_or(0, |at| at + 1);
    earlier.get(found).map(|(at, _)| *at)
}
