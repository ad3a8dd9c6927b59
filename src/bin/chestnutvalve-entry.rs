//! Entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use chestnutvalve_entry::{Daemon, Settings};
use chestnutvalve_kernel::{Shutdown, shutdown};
use chestnutvalve_telemetry::{log, settings};
use clap::{Arg, ArgAction, Command, value_parser};

/// Exit code for wrong settings.
const WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments = Command::new("chestnutvalve-entry")
        .about("Proxy between callers and workers")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file, in JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
        .get_matches();
    let path = arguments.get_one::<PathBuf>("settings");
    let loaded = match path.map(|path| settings::load::<Settings>(path)) {
        Some(Ok(loaded)) => loaded,
        Some(Err(error)) => return wrong(&error),
        None => return ExitCode::from(WRONG_SETTINGS),
    };
    if let Err(error) = loaded.check() {
        return wrong(&error);
    }
    if arguments.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    if let Err(error) = log::install(loaded.entry.as_str(), loaded.log) {
        return wrong(&error);
    }
    run(loaded)
}

fn wrong(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("chestnutvalve-entry: {error}");
    ExitCode::from(WRONG_SETTINGS)
}

#[tokio::main]
async fn run(settings: Settings) -> ExitCode {
    let shutdown = Shutdown::default();
    let daemon = match Daemon::start(settings, shutdown.clone()).await {
        Ok(daemon) => daemon,
        Err(error) => {
            spdlog::error!("start: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::spawn(async move {
        // Further signals change nothing: the handlers stay installed and the request is already made.
        while let Ok(()) = shutdown::signal_received().await {
            shutdown.request();
        }
    });
    match daemon.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("stop: {error}");
            ExitCode::FAILURE
        }
    }
}
