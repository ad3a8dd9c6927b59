//! Phases of baseline load, floods and planned stops, and the check of executions.

use std::time::Duration;

use chestnutvalve_model::rank::Rank;
use tokio::time::sleep;

use super::{Context, join_load};
use crate::Error;
use crate::load::{self, Class, Plan};

/// Rate of the flooding rank as a multiple of the capacity of the service.
const FLOOD_FACTOR: f64 = 10.0;
/// Rate of each other rank as a share of the capacity of the service.
const BACKGROUND_SHARE: f64 = 0.3;
/// Rate at which the added latency is measured, low enough that no queue builds up.
const ADDED_LATENCY_REQUESTS_PER_S: f64 = 50.0;
/// Timeout for the exit of a stopped process.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Time for queues and limits to return to normal after a flood.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Measures the baseline load of all classes.
pub(super) async fn measure_baseline(context: &mut Context<'_>) -> Result<(), Error> {
    let (classes, rate) = context.baseline_load();
    context
        .figures
        .add("calm: rate", format!("{rate:.0}/s"), "");
    let report = context.run_load("calm", classes, rate).await?;
    let target = |rank| if rank == Rank::Top { "99.9%" } else { "" };
    context.figures.add_ranks("calm", &report, target);
    Ok(())
}

/// Measures the latency that an entry adds to that of direct calls to the workers.
pub(super) async fn measure_added_latency(context: &mut Context<'_>) -> Result<(), Error> {
    let classes = context.deployment.focused(Rank::Top);
    let via_entry = context.plan("through", classes.clone(), ADDED_LATENCY_REQUESTS_PER_S);
    let workers = context.fleet.workers.iter();
    let focus_workers = workers.filter(|w| w.service == context.deployment.scale.focus);
    let focus_workers = focus_workers.map(|w| w.address).collect();
    let mut direct = Plan::new(
        focus_workers,
        classes,
        ADDED_LATENCY_REQUESTS_PER_S,
        context.phase_duration,
    );
    direct.direct = true;
    direct.name = "direct".into();
    // Both loads run at the same time, so that they are measured under the same conditions.
    let (via_entry, direct) = tokio::join!(load::run(&via_entry), load::run(&direct));
    let (via_entry, direct) = (via_entry?, direct?);
    context.record_responses(&via_entry);
    let (via_entry, direct) = (via_entry.total(), direct.total());
    for (name, quantile, target) in [("p50", 0.5, ""), ("p99", 0.99, "3 ms")] {
        let (with, without) = (
            via_entry.quantile_ms(quantile),
            direct.quantile_ms(quantile),
        );
        let value = format!("{:.2} ms ({with:.2} against {without:.2})", with - without);
        context
            .figures
            .add(format!("added latency {name}"), value, target);
    }
    Ok(())
}

/// Returns the classes with weights scaled to the sum `rate`, so that each weight is a rate in requests per second.
fn with_total_rate(classes: &[Class], rate: f64) -> Vec<Class> {
    let weights: f64 = classes.iter().map(|c| c.weight).sum();
    let scaled = |c: &Class| Class {
        weight: rate * c.weight / weights.max(f64::MIN_POSITIVE),
        ..c.clone()
    };
    classes.iter().map(scaled).collect()
}

/// Measures a flood of one rank at ten times the capacity of the focus service, beside moderate load of the other ranks.
pub(super) async fn measure_flood(context: &mut Context<'_>, flooding: Rank) -> Result<(), Error> {
    let capacity = context.deployment.capacity(&context.deployment.scale.focus);
    let mut classes = Vec::new();
    let mut total = 0.0;
    for rank in Rank::ALL {
        let rate = capacity
            * if rank == flooding {
                FLOOD_FACTOR
            } else {
                BACKGROUND_SHARE
            };
        let focus_classes = context.deployment.focused(rank);
        if !focus_classes.is_empty() {
            total += rate;
            classes.extend(with_total_rate(&focus_classes, rate));
        }
    }
    let name = format!("{} flood", flooding.name());
    let rate = format!("{total:.0}/s against {capacity:.0}/s");
    context.figures.add(format!("{name}: load"), rate, "");
    let report = context
        .run_load(&name.replace(' ', "-"), classes, total)
        .await?;
    let target = move |rank| match (flooding, rank) {
        (Rank::Bottom, Rank::Top) => "99.9%",
        _ => "",
    };
    context.figures.add_ranks(&name, &report, target);
    for rank in Rank::ALL {
        #[allow(clippy::cast_precision_loss)]
        let share = report.row(rank).good as f64 / context.phase_duration.as_secs_f64() / capacity;
        let target = match (flooding, rank) {
            (Rank::Top, Rank::Middle) => "20%, its minimum share",
            (Rank::Top, Rank::Bottom) => "5%, its minimum share",
            _ => "",
        };
        let figure = format!("{name}: share of capacity, {}", rank.name());
        let value = format!("{:.1}%", share * 100.0);
        context.figures.add(figure, value, target);
    }
    sleep(SETTLE_TIME).await;
    Ok(())
}

/// Measures planned stops of one entry, one control instance and one worker under baseline load.
pub(super) async fn measure_planned_stops(context: &mut Context<'_>) -> Result<(), Error> {
    let (classes, rate) = context.baseline_load();
    let mut plan = context.plan("stops", classes, rate);
    plan.duration = context.phase_duration.max(Duration::from_secs(8));
    let load_task = tokio::spawn(async move { load::run(&plan).await });
    sleep(Duration::from_secs(2)).await;
    let worker = context.fleet.workers.len() - 1;
    let processes = [
        context.fleet.entries[0].process()?,
        context.fleet.controls[0].process()?,
        context.fleet.workers[worker].process()?,
    ];
    for process in processes {
        process.terminate()?;
    }
    let mut clean_exits = 0;
    for process in processes {
        clean_exits += usize::from(process.wait_for_exit(STOP_TIMEOUT).await?.success());
    }
    let report = join_load(load_task.await)?;
    context.record_responses(&report);
    let exited = format!("{clean_exits} of 3");
    let figures = &mut context.figures;
    figures.add("planned stops: clean ends", exited, "3 of 3");
    figures.add(
        "planned stops: cut requests",
        report.broken_responses(),
        "0",
    );
    figures.add_ranks("planned stops", &report, |_| "");
    Ok(())
}

/// Checks the responses of all phases against the executions that the workers counted.
pub(super) async fn check_executions(context: &mut Context<'_>) -> Result<(), Error> {
    // Requests whose callers have timed out may still be running.
    sleep(Duration::from_secs(2)).await;
    let counts = context.fleet.counts().await?;
    let duplicates = counts.keys.values().filter(|n| **n > 1).count();
    let was_executed = |id: &&String| counts.requests.contains_key(*id);
    let false_denials = context.not_executed.iter().filter(was_executed).count();
    let keys = format!("{duplicates} of {} keys", counts.keys.len());
    context.figures.add("duplicates executed", keys, "0");
    let value = format!("{false_denials} of {}", context.not_executed.len());
    context.figures.add("wrong \"not executed\"", value, "0");
    Ok(())
}
