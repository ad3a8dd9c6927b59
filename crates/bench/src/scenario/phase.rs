//! Phases of calm, floods and planned stops, and the comparison of executions.

use std::time::Duration;

use chestnutvalve_model::rank::Rank;
use tokio::time::sleep;

use super::{Stage, joined};
use crate::Error;
use crate::load::{self, Class, Plan};

/// Flood relative to the capacity of the service.
const FLOOD: f64 = 10.0;
/// Load of the ranks that don't flood, as a share of the capacity.
const BESIDE: f64 = 0.3;
/// Rate for the added latency, in requests per second; low enough for no queue.
const ADDED_RATE: f64 = 50.0;
/// Time for a stopped process to end.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Time for queues and limits to settle after a flood.
const SETTLE: Duration = Duration::from_secs(3);

/// Calm load of all classes.
pub(super) async fn calm(stage: &mut Stage<'_>) -> Result<(), Error> {
    let (classes, rate) = stage.calm();
    stage.figures.add("calm: rate", format!("{rate:.0}/s"), "");
    let report = stage.load("calm", classes, rate).await?;
    let target = |rank| if rank == Rank::Top { "99.9%" } else { "" };
    stage.figures.ranks("calm", &report, target);
    Ok(())
}

/// Latency through an entry against that of a direct call.
pub(super) async fn added(stage: &mut Stage<'_>) -> Result<(), Error> {
    let classes = stage.deployment.focused(Rank::Top);
    let through = stage.plan("through", classes.clone(), ADDED_RATE);
    let workers = stage.fleet.workers.iter();
    let own = workers.filter(|w| w.service == stage.deployment.scale.focus);
    let own = own.map(|w| w.address).collect();
    let mut direct = Plan::new(own, classes, ADDED_RATE, stage.phase);
    direct.direct = true;
    direct.name = "direct".into();
    // Both run at the same time, so that they see the same machine.
    let (through, direct) = tokio::join!(load::run(&through), load::run(&direct));
    let (through, direct) = (through?, direct?);
    stage.keep(&through);
    let (through, direct) = (through.total(), direct.total());
    for (name, quantile, target) in [("p50", 0.5, ""), ("p99", 0.99, "3 ms")] {
        let (with, without) = (through.quantile_ms(quantile), direct.quantile_ms(quantile));
        let value = format!("{:.2} ms ({with:.2} against {without:.2})", with - without);
        stage
            .figures
            .add(format!("added latency {name}"), value, target);
    }
    Ok(())
}

/// Weighs classes so that their weights are rates with the sum `rate`.
fn at_rate(classes: &[Class], rate: f64) -> Vec<Class> {
    let weights: f64 = classes.iter().map(|c| c.weight).sum();
    let scaled = |c: &Class| Class {
        weight: rate * c.weight / weights.max(f64::MIN_POSITIVE),
        ..c.clone()
    };
    classes.iter().map(scaled).collect()
}

/// Ten times the capacity of the focused service from one rank, with ordinary load of the others.
pub(super) async fn flood(stage: &mut Stage<'_>, flooding: Rank) -> Result<(), Error> {
    let capacity = stage.deployment.capacity(&stage.deployment.scale.focus);
    let mut classes = Vec::new();
    let mut total = 0.0;
    for rank in Rank::ALL {
        let rate = capacity * if rank == flooding { FLOOD } else { BESIDE };
        let own = stage.deployment.focused(rank);
        if !own.is_empty() {
            total += rate;
            classes.extend(at_rate(&own, rate));
        }
    }
    let name = format!("{} flood", flooding.name());
    let rate = format!("{total:.0}/s against {capacity:.0}/s");
    stage.figures.add(format!("{name}: load"), rate, "");
    let report = stage.load(&name.replace(' ', "-"), classes, total).await?;
    let target = move |rank| match (flooding, rank) {
        (Rank::Bottom, Rank::Top) => "99.9%",
        _ => "",
    };
    stage.figures.ranks(&name, &report, target);
    for rank in Rank::ALL {
        #[allow(clippy::cast_precision_loss)]
        let share = report.row(rank).good as f64 / stage.phase.as_secs_f64() / capacity;
        let target = match (flooding, rank) {
            (Rank::Top, Rank::Middle) => "20%, its minimum share",
            (Rank::Top, Rank::Bottom) => "5%, its minimum share",
            _ => "",
        };
        let figure = format!("{name}: share of capacity, {}", rank.name());
        let value = format!("{:.1}%", share * 100.0);
        stage.figures.add(figure, value, target);
    }
    sleep(SETTLE).await;
    Ok(())
}

/// Planned stops of one entry, one control instance and one worker under calm load.
pub(super) async fn stops(stage: &mut Stage<'_>) -> Result<(), Error> {
    let (classes, rate) = stage.calm();
    let mut plan = stage.plan("stops", classes, rate);
    plan.duration = stage.phase.max(Duration::from_secs(8));
    let loading = tokio::spawn(async move { load::run(&plan).await });
    sleep(Duration::from_secs(2)).await;
    let worker = stage.fleet.workers.len() - 1;
    let processes = [
        stage.fleet.entries[0].process()?,
        stage.fleet.controls[0].process()?,
        stage.fleet.workers[worker].process()?,
    ];
    for process in processes {
        process.terminate()?;
    }
    let mut clean = 0;
    for process in processes {
        clean += usize::from(process.wait_for_exit(STOP_LIMIT).await?.success());
    }
    let report = joined(loading.await)?;
    stage.keep(&report);
    let ended = format!("{clean} of 3");
    let figures = &mut stage.figures;
    figures.add("planned stops: clean ends", ended, "3 of 3");
    figures.add(
        "planned stops: cut requests",
        report.broken_responses(),
        "0",
    );
    figures.ranks("planned stops", &report, |_| "");
    Ok(())
}

/// Compares what callers were told with what the workers executed in all phases.
pub(super) async fn executions(stage: &mut Stage<'_>) -> Result<(), Error> {
    // Requests whose callers gave up may still run.
    sleep(Duration::from_secs(2)).await;
    let counts = stage.fleet.counts().await?;
    let twice = counts.keys.values().filter(|n| **n > 1).count();
    let ran = |id: &&String| counts.requests.contains_key(*id);
    let wrong = stage.denied.iter().filter(ran).count();
    let keys = format!("{twice} of {} keys", counts.keys.len());
    stage.figures.add("duplicates executed", keys, "0");
    let value = format!("{wrong} of {}", stage.denied.len());
    stage.figures.add("wrong \"not executed\"", value, "0");
    Ok(())
}
