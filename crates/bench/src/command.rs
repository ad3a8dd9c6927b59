//! Command line of the measurement program.

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
use crate::scenario;
use crate::soak;
use crate::worker;

/// Exit code for wrong arguments or a run that could not be made.
const EXIT_FAILED: u8 = 2;
/// Longest phase of a scenario or measurement, in seconds.
const MAX_PHASE_S: u64 = 300;

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let matches = arguments().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("starting the runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let measured = matches.subcommand_name();
    let measured = measured.is_some_and(|name| matches!(name, "scenario" | "capacity" | "load"));
    let outcome = runtime.block_on(async {
        if measured {
            return interruptible(dispatch(&matches)).await;
        }
        dispatch(&matches).await
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Drops a measurement on SIGTERM or SIGINT, which ends the processes that it has started.
async fn interruptible(run: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
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

fn real(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, default, help).value_parser(value_parser!(f64))
}

/// Returns the description of the command line.
#[must_use]
pub fn arguments() -> Command {
    let worker = Command::new("worker")
        .about("Runs a stand-in worker")
        .arg(option("service", "service", "Service of the worker"))
        .arg(option("worker", "w1", "Name of the worker"))
        .arg(option("zone", "zone", "Availability zone"))
        .arg(address("listen", "Address to listen on").default_value("127.0.0.1:0"))
        .arg(address("advertise", "Address to announce instead"))
        .arg(address("entry", "Platform address of an entry; repeat it").action(ArgAction::Append))
        .arg(
            number("slots", "2", "Requests in progress at a time").value_parser(value_parser!(u32)),
        )
        .arg(number("connections", "450", "Connections at a time").value_parser(value_parser!(u32)))
        .arg(number("work-ms", "5", "Typical service time"))
        .arg(real("tail-percent", "1", "Share of requests in the tail"))
        .arg(number("tail-ms", "50", "Service time of the tail"))
        .arg(number(
            "cold-ms",
            "0",
            "Time with up to threefold service time after the start",
        ))
        .arg(real(
            "error-percent",
            "0",
            "Share of requests that fail at random",
        ))
        .arg(number(
            "drain-ms",
            "3500",
            "Shortest time between SIGTERM and exit",
        ))
        .arg(number("seed", "1", "Seed of the random numbers"));
    let load = Command::new("load")
        .about("Sends caller load and prints what callers saw")
        .arg(address("entry", "Callers' address of an entry; repeat it").action(ArgAction::Append))
        .arg(
            Arg::new("direct")
                .long("direct")
                .action(ArgAction::SetTrue)
                .help("Call the addresses without asking for others"),
        )
        .arg(
            option(
                "mix",
                "",
                "File with the classes of requests (JSON with comments)",
            )
            .required(true),
        )
        .arg(real("rate", "100", "Requests per second"))
        .arg(number("seconds", "10", "Duration"))
        .arg(number("seed", "1", "Seed of the random numbers"))
        .arg(option("name", "load", "Prefix of request names and keys"))
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
        .about("Runs a scaled deployment through calm, gray workers, floods and planned stops")
        .arg(
            Arg::new("file")
                .required(true)
                .help("Deployment file, for example examples/whitcomb/deployment.jsonc"),
        )
        .arg(number("seconds", "10", "Duration of each phase"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        );
    let capacity = Command::new("capacity")
        .about(
            "Measures bytes, processor time and memory against the number of entries and workers",
        )
        .arg(option("entries", "3,12,24,48", "Numbers of entries"))
        .arg(option("workers", "10,100,400", "Numbers of workers"))
        .arg(number("seconds", "15", "Duration of each measurement"));
    let soak = Command::new("soak")
        .about("Runs a small fleet under random faults and checks what callers and operators were told")
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Number of seeds, one after the other"))
        .arg(number("seconds", "12", "Time with faults for each seed"))
        .arg(number("size", "1", "Factor for the number of entries and workers"));
    Command::new("chestnutvalve-bench")
        .about("Stand-in workers, caller load, fault injection and measurements")
        .subcommand_required(true)
        .subcommands([worker, load, forward, scenario, capacity, soak])
}

async fn dispatch(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("worker", arguments)) => run_worker(arguments).await,
        Some(("load", arguments)) => run_load(arguments).await,
        Some(("forward", arguments)) => run_forward(arguments).await,
        Some(("scenario", arguments)) => run_scenario(arguments).await,
        Some(("capacity", arguments)) => run_capacity(arguments).await,
        Some(("soak", arguments)) => run_soak(arguments).await,
        _ => Err(Error::Invalid("unknown command".into())),
    }
}

fn take<T: Clone + Send + Sync + 'static>(arguments: &ArgMatches, name: &str) -> T {
    arguments
        .get_one::<T>(name)
        .cloned()
        .expect("the option has a default or is required")
}

fn milliseconds(arguments: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(take::<u64>(arguments, name))
}

fn addresses(arguments: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = arguments.get_many::<SocketAddr>(name);
    values.map(|v| v.copied().collect()).unwrap_or_default()
}

async fn run_worker(arguments: &ArgMatches) -> Result<(), Error> {
    let settings = worker::Settings {
        service: take(arguments, "service"),
        worker: take(arguments, "worker"),
        zone: take(arguments, "zone"),
        listen: take(arguments, "listen"),
        advertise: arguments.get_one("advertise").copied(),
        entries: addresses(arguments, "entry"),
        slots: take(arguments, "slots"),
        connections: take(arguments, "connections"),
        service_time: milliseconds(arguments, "work-ms"),
        tail_percent: take(arguments, "tail-percent"),
        tail_service_time: milliseconds(arguments, "tail-ms"),
        warm_up: milliseconds(arguments, "cold-ms"),
        error_percent: take(arguments, "error-percent"),
        drain: milliseconds(arguments, "drain-ms"),
        seed: take(arguments, "seed"),
    };
    let shutdown = Shutdown::default();
    let request = shutdown.clone();
    tokio::spawn(async move {
        if signal_received().await.is_ok() {
            request.request();
        }
    });
    let bound = worker::bind(settings).await?;
    println!("{}", serde_json::json!({"listening": bound.address()}));
    let counts = bound.run(shutdown).await;
    println!("{}", serde_json::to_string(&counts).unwrap_or_default());
    Ok(())
}

async fn run_load(arguments: &ArgMatches) -> Result<(), Error> {
    let file = take::<String>(arguments, "mix");
    let classes: Vec<load::Class> = chestnutvalve_telemetry::settings::load(file.as_ref())
        .map_err(|e| Error::Invalid(e.to_string()))?;
    let duration = Duration::from_secs(take(arguments, "seconds"));
    let entries = addresses(arguments, "entry");
    let mut plan = load::Plan::new(entries, classes, take(arguments, "rate"), duration);
    plan.direct = arguments.get_flag("direct");
    plan.name = take(arguments, "name");
    plan.seed = take(arguments, "seed");
    let report = load::run(&plan).await?;
    if arguments.get_flag("json") {
        println!("{}", report.json());
    } else {
        print!("{}", report.table());
    }
    Ok(())
}

async fn run_forward(arguments: &ArgMatches) -> Result<(), Error> {
    let forwarder = Forwarder::start(take(arguments, "listen"), take(arguments, "to")).await?;
    if let Some(mode) = arguments.get_one::<String>("mode") {
        let mode: Mode = serde_json::from_str(mode).map_err(|e| Error::Invalid(e.to_string()))?;
        forwarder.set_mode(mode);
    }
    let forwarder = Arc::new(forwarder);
    println!("{}", serde_json::json!({"listening": forwarder.address()}));
    let control = arguments.get_one::<SocketAddr>("control").copied();
    let serving = async {
        match control {
            Some(listen) => control::serve(listen, Arc::clone(&forwarder)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        served = serving => served,
        stopped = signal_received() => stopped.map_err(Error::io("waiting for a signal")),
    }
}

async fn run_scenario(arguments: &ArgMatches) -> Result<(), Error> {
    let file = take::<String>(arguments, "file");
    let deployment = chestnutvalve_telemetry::settings::load(file.as_ref())
        .map_err(|e| Error::Invalid(e.to_string()))?;
    let phase = Duration::from_secs(take::<u64>(arguments, "seconds").min(MAX_PHASE_S));
    let figures = scenario::run(&Programs::beside_current_exe()?, &deployment, phase).await?;
    if arguments.get_flag("json") {
        println!("{}", figures.json());
    } else {
        print!("{}", figures.table());
    }
    Ok(())
}

async fn run_capacity(arguments: &ArgMatches) -> Result<(), Error> {
    let list = |name: &str| -> Result<Vec<usize>, Error> {
        let text = take::<String>(arguments, name);
        let numbers = text.split(',').map(|n| n.trim().parse());
        numbers
            .collect::<Result<_, _>>()
            .map_err(|_| Error::Invalid(format!("--{name}: expected numbers with commas between")))
    };
    let plan = capacity::Plan {
        entries: list("entries")?,
        workers: list("workers")?,
        duration: Duration::from_secs(take::<u64>(arguments, "seconds").min(MAX_PHASE_S)),
    };
    capacity::run(&Programs::beside_current_exe()?, &plan).await
}

async fn run_soak(arguments: &ArgMatches) -> Result<(), Error> {
    let programs = Programs::beside_current_exe()?;
    let (first, seeds): (u64, u64) = (take(arguments, "seed"), take(arguments, "seeds"));
    let duration = Duration::from_secs(take(arguments, "seconds"));
    let size: u64 = take(arguments, "size");
    let size = usize::try_from(size).map_err(|e| Error::Invalid(format!("size: {e}")))?;
    let mut failed = Vec::new();
    for seed in first..first.saturating_add(seeds) {
        let report = soak::run(&programs, seed, duration, size.max(1)).await?;
        let soak::Report {
            violations,
            faults,
            good,
            not_executed,
            changes,
        } = report;
        let faults_seen = faults.len();
        println!(
            "seed {seed}: {faults_seen} faults, {good} good answers, {not_executed} told as not executed, {changes} changes"
        );
        if !violations.is_empty() {
            failed.push(seed);
            for fault in &faults {
                println!("  {fault}");
            }
            for text in &violations {
                println!("  BROKEN {text}");
            }
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(Error::Invalid(format!(
        "broken promises with seeds {failed:?}"
    )))
}
