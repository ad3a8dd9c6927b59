//! Entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use chestnutvalve_entry::{Daemon, Settings};
use chestnutvalve_kernel::{Shutdown, shutdown};
use chestnutvalve_telemetry::{log, settings};
use clap::{Arg, ArgAction, Command, value_parser};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments = Command::new("chestnutvalve-entry")
        .about("Entry daemon: proxy between callers and workers")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file in JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Validate the settings and exit")
                .action(ArgAction::SetTrue),
        )
        .get_matches();
    let path = arguments.get_one::<PathBuf>("settings");
    let loaded = match path.map(|path| settings::load::<Settings>(path)) {
        Some(Ok(loaded)) => loaded,
        Some(Err(error)) => return fail(&error),
        None => return ExitCode::from(EXIT_INVALID_SETTINGS),
    };
    if let Err(error) = loaded.check() {
        return fail(&error);
    }
    if arguments.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    if let Err(error) = log::install(loaded.entry.as_str(), loaded.log) {
        return fail(&error);
    }
    run(loaded)
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("chestnutvalve-entry: {error}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

#[tokio::main]
async fn run(settings: Settings) -> ExitCode {
    let shutdown = Shutdown::default();
    let daemon = match Daemon::start(settings, shutdown.clone()).await {
        Ok(daemon) => daemon,
        Err(error) => {
            spdlog::error!("startup failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::spawn(async move {
        // Further signals have no effect: the handlers stay installed and the shutdown is already requested.
        while let Ok(()) = shutdown::signal_received().await {
            shutdown.request();
        }
    });
    match daemon.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("daemon failed: {error}");
            ExitCode::FAILURE
        }
    }
}
