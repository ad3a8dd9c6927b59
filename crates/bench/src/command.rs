//! Command line of `chestnutvalve-bench`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_kernel::Shutdown;
use chestnutvalve_kernel::shutdown::signal_received;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::Error;
use crate::capacity;
use crate::fleet::Programs;
use crate::forward::{Forwarder, Mode, control};
use crate::load;
use crate::quota;
use crate::scenario;
use crate::soak;
use crate::worker;
use crate::zones;

/// Exit code for invalid arguments or a failed run.
const EXIT_FAILED: u8 = 2;
/// Maximum duration of a phase of a scenario or measurement, in seconds.
const MAX_PHASE_S: u64 = 300;

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let matches = arguments().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("starting the async runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let interruptible = matches.subcommand_name();
    let interruptible =
        interruptible.is_some_and(|name| matches!(name, "scenario" | "capacity" | "load"));
    let outcome = runtime.block_on(async {
        if interruptible {
            return run_until_signal(run_subcommand(&matches)).await;
        }
        run_subcommand(&matches).await
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs a measurement until it ends or SIGTERM or SIGINT arrives. Dropping it kills the processes that it has started.
async fn run_until_signal(run: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    tokio::select! {
        ended = run => ended,
        signal = signal_received() => {
            signal.map_err(Error::io("waiting for a signal"))?;
            Err(Error::Invalid("interrupted".into()))
        }
    }
}

fn option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let option = Arg::new(name).long(name).help(help).value_name("VALUE");
    if default.is_empty() {
        option
    } else {
        option.default_value(default)
    }
}

fn address(name: &'static str, help: &'static str) -> Arg {
    option(name, "", help).value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, default, help).value_parser(value_parser!(u64))
}

fn decimal(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, default, help).value_parser(value_parser!(f64))
}

/// Returns the definition of the command line.
#[must_use]
pub fn arguments() -> Command {
    let worker = Command::new("worker")
        .about("Runs a stand-in worker")
        .arg(option("service", "service", "Name of the service"))
        .arg(option("worker", "w1", "Name of the worker"))
        .arg(option("zone", "zone", "Availability zone"))
        .arg(address("listen", "Address to listen on").default_value("127.0.0.1:0"))
        .arg(address("advertise", "Address to announce instead"))
        .arg(address("entry", "Entry's platform address (repeatable)").action(ArgAction::Append))
        .arg(number("slots", "2", "Maximum concurrent requests").value_parser(value_parser!(u32)))
        .arg(
            number("connections", "450", "Maximum open connections")
                .value_parser(value_parser!(u32)),
        )
        .arg(number("work-ms", "5", "Typical service time, in ms"))
        .arg(decimal("tail-percent", "1", "Share of tail requests, in %"))
        .arg(number("tail-ms", "50", "Service time of the tail, in ms"))
        .arg(number(
            "cold-ms",
            "0",
            "Warm-up with up to threefold service time, in ms",
        ))
        .arg(decimal("error-percent", "0", "Random failures, in %"))
        .arg(number("drain-ms", "3500", "Minimum drain time, in ms"))
        .arg(number("seed", "1", "Seed of the random numbers"));
    let load = Command::new("load")
        .about("Sends caller load and prints the outcomes")
        .arg(address("entry", "Entry's address for callers (repeatable)").action(ArgAction::Append))
        .arg(
            Arg::new("direct")
                .long("direct")
                .action(ArgAction::SetTrue)
                .help("Call the given addresses directly, without requesting addresses from them"),
        )
        .arg(
            option(
                "mix",
                "",
                "File with the classes of requests (JSON with comments)",
            )
            .required(true),
        )
        .arg(decimal("rate", "100", "Requests per second"))
        .arg(number("seconds", "10", "Duration, in s"))
        .arg(number("seed", "1", "Seed of the random numbers"))
        .arg(option("name", "load", "Prefix of request ids and keys"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        );
    let forward = Command::new("forward")
        .about("Forwards TCP connections and injects faults")
        .arg(address("listen", "Address to listen on").required(true))
        .arg(address("to", "Address to forward to").required(true))
        .arg(address(
            "control",
            "HTTP address that reads and sets the faults (GET and POST /mode)",
        ))
        .arg(option("mode", "", "Faults at the start (JSON)"));
    let scenario = Command::new("scenario")
        .about("Runs a scaled deployment under load, gray workers, floods and planned stops")
        .arg(
            Arg::new("file")
                .required(true)
                .help("Deployment file, for example examples/whitcomb/deployment.jsonc"),
        )
        .arg(number("seconds", "10", "Duration of each phase, in s"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        );
    let capacity = Command::new("capacity")
        .about("Measures bytes, CPU time and memory by number of entries and workers")
        .arg(option("entries", "3,12,24,48", "Comma-separated counts"))
        .arg(option("workers", "10,100,400", "Comma-separated counts"))
        .arg(number("seconds", "15", "Duration of each run, in s"));
    let soak = Command::new("soak")
        .about("Runs a small fleet under random faults and checks the responses to callers and operators")
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Number of seeds, one after the other"))
        .arg(number("seconds", "12", "Duration of fault injection for each seed, in s"))
        .arg(number("size", "1", "Factor for the number of entries and workers"));
    Command::new("chestnutvalve-bench")
        .about("Stand-in workers, caller load, fault injection and measurements")
        .subcommand_required(true)
        .subcommands([worker, load, forward, scenario, capacity, soak])
        .subcommands(model_commands())
}

/// Returns the commands that run decisions without processes.
fn model_commands() -> [Command; 2] {
    let quota = Command::new("quota")
        .about("Models limits of customers over many entries, without processes")
        .arg(option(
            "entries",
            "30,113,450,3200",
            "Comma-separated counts",
        ))
        .arg(number("seconds", "60", "Modelled duration, in s"));
    let zones = Command::new("zones")
        .about("Models requests that leave their zone over many entries, without processes")
        .arg(option("entries", "30,113,450", "Comma-separated counts"))
        .arg(number("seconds", "18", "Modelled duration, in s"));
    [quota, zones]
}

async fn run_subcommand(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("worker", arguments)) => run_worker(arguments).await,
        Some(("load", arguments)) => run_load(arguments).await,
        Some(("forward", arguments)) => run_forward(arguments).await,
        Some(("scenario", arguments)) => run_scenario(arguments).await,
        Some(("capacity", arguments)) => run_capacity(arguments).await,
        Some(("quota", arguments)) => run_quota(arguments),
        Some(("soak", arguments)) => run_soak(arguments).await,
        Some(("zones", arguments)) => run_zones(arguments),
        _ => Err(Error::Invalid("unknown command".into())),
    }
}

fn argument<T: Clone + Send + Sync + 'static>(arguments: &ArgMatches, name: &str) -> T {
    arguments
        .get_one::<T>(name)
        .cloned()
        .expect("the option has a default or is required")
}

fn numbers_argument(arguments: &ArgMatches, name: &str) -> Result<Vec<usize>, Error> {
    let text = argument::<String>(arguments, name);
    let numbers = text.split(',').map(|n| n.trim().parse());
    let numbers: Result<Vec<usize>, _> = numbers.collect();
    numbers.map_err(|_| Error::Invalid(format!("--{name}: expected numbers separated by commas")))
}

fn milliseconds_argument(arguments: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(argument::<u64>(arguments, name))
}

fn address_arguments(arguments: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = arguments.get_many::<SocketAddr>(name);
    values.map(|v| v.copied().collect()).unwrap_or_default()
}

async fn run_worker(arguments: &ArgMatches) -> Result<(), Error> {
    let settings = worker::Settings {
        service: argument(arguments, "service"),
        worker: argument(arguments, "worker"),
        zone: argument(arguments, "zone"),
        listen: argument(arguments, "listen"),
        advertise: arguments.get_one("advertise").copied(),
        entries: address_arguments(arguments, "entry"),
        slots: argument(arguments, "slots"),
        connections: argument(arguments, "connections"),
        service_time: milliseconds_argument(arguments, "work-ms"),
        tail_percent: argument(arguments, "tail-percent"),
        tail_service_time: milliseconds_argument(arguments, "tail-ms"),
        warm_up: milliseconds_argument(arguments, "cold-ms"),
        error_percent: argument(arguments, "error-percent"),
        drain: milliseconds_argument(arguments, "drain-ms"),
        seed: argument(arguments, "seed"),
    };
    let shutdown = Shutdown::default();
    let requester = shutdown.clone();
    tokio::spawn(async move {
        if signal_received().await.is_ok() {
            requester.request();
        }
    });
    let bound = worker::bind(settings).await?;
    println!("{}", serde_json::json!({"listening": bound.address()}));
    let counts = bound.run(shutdown).await;
    println!("{}", serde_json::to_string(&counts).unwrap_or_default());
    Ok(())
}

async fn run_load(arguments: &ArgMatches) -> Result<(), Error> {
    let file = argument::<String>(arguments, "mix");
    let classes: Vec<load::Class> = chestnutvalve_telemetry::settings::load(file.as_ref())
        .map_err(|e| Error::Invalid(e.to_string()))?;
    let duration = Duration::from_secs(argument(arguments, "seconds"));
    let entries = address_arguments(arguments, "entry");
    let mut plan = load::Plan::new(entries, classes, argument(arguments, "rate"), duration);
    plan.direct = arguments.get_flag("direct");
    plan.name = argument(arguments, "name");
    plan.seed = argument(arguments, "seed");
    let report = load::run(&plan).await?;
    if arguments.get_flag("json") {
        println!("{}", report.json());
    } else {
        print!("{}", report.table());
    }
    Ok(())
}

async fn run_forward(arguments: &ArgMatches) -> Result<(), Error> {
    let forwarder =
        Forwarder::start(argument(arguments, "listen"), argument(arguments, "to")).await?;
    if let Some(mode) = arguments.get_one::<String>("mode") {
        let mode: Mode = serde_json::from_str(mode).map_err(|e| Error::Invalid(e.to_string()))?;
        forwarder.set_mode(mode);
    }
    let forwarder = Arc::new(forwarder);
    println!("{}", serde_json::json!({"listening": forwarder.address()}));
    let control = arguments.get_one::<SocketAddr>("control").copied();
    let control_server = async {
        match control {
            Some(listen) => control::serve(listen, Arc::clone(&forwarder)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        served = control_server => served,
        stopped = signal_received() => stopped.map_err(Error::io("waiting for a signal")),
    }
}

async fn run_scenario(arguments: &ArgMatches) -> Result<(), Error> {
    let file = argument::<String>(arguments, "file");
    let deployment = chestnutvalve_telemetry::settings::load(file.as_ref())
        .map_err(|e| Error::Invalid(e.to_string()))?;
    let phase = Duration::from_secs(argument::<u64>(arguments, "seconds").min(MAX_PHASE_S));
    let figures = scenario::run(&Programs::beside_current_exe()?, &deployment, phase).await?;
    if arguments.get_flag("json") {
        println!("{}", figures.json());
    } else {
        print!("{}", figures.table());
    }
    Ok(())
}

async fn run_capacity(arguments: &ArgMatches) -> Result<(), Error> {
    let plan = capacity::Plan {
        entries: numbers_argument(arguments, "entries")?,
        workers: numbers_argument(arguments, "workers")?,
        duration: Duration::from_secs(argument::<u64>(arguments, "seconds").min(MAX_PHASE_S)),
    };
    capacity::run(&Programs::beside_current_exe()?, &plan).await
}

fn run_quota(arguments: &ArgMatches) -> Result<(), Error> {
    let seconds = argument::<u64>(arguments, "seconds").clamp(1, MAX_PHASE_S);
    quota::run(
        &numbers_argument(arguments, "entries")?,
        Duration::from_secs(seconds),
    )
}

fn run_zones(arguments: &ArgMatches) -> Result<(), Error> {
    let seconds = argument::<u64>(arguments, "seconds").clamp(1, MAX_PHASE_S);
    zones::run(
        &numbers_argument(arguments, "entries")?,
        Duration::from_secs(seconds),
    )
}

async fn run_soak(arguments: &ArgMatches) -> Result<(), Error> {
    let programs = Programs::beside_current_exe()?;
    let (first_seed, seeds): (u64, u64) =
        (argument(arguments, "seed"), argument(arguments, "seeds"));
    let duration = Duration::from_secs(argument(arguments, "seconds"));
    let size: u64 = argument(arguments, "size");
    let size = usize::try_from(size).map_err(|e| Error::Invalid(format!("size: {e}")))?;
    let mut failed_seeds = Vec::new();
    for seed in first_seed..first_seed.saturating_add(seeds) {
        let report = soak::run(&programs, seed, duration, size.max(1)).await?;
        let soak::Report {
            violations,
            faults,
            good,
            not_executed,
            changes,
        } = report;
        let fault_count = faults.len();
        println!(
            "seed {seed}: {fault_count} faults, {good} good answers, {not_executed} told as not executed, {changes} changes"
        );
        if !violations.is_empty() {
            failed_seeds.push(seed);
            for fault in &faults {
                println!("  {fault}");
            }
            for text in &violations {
                println!("  BROKEN {text}");
            }
        }
    }
    if failed_seeds.is_empty() {
        return Ok(());
    }
    Err(Error::Invalid(format!(
        "broken promises with seeds {failed_seeds:?}"
    )))
}
