//! Control daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use chestnutvalve_control::{daemon, settings::Settings};
use chestnutvalve_telemetry::{log, settings};
use clap::{Arg, ArgAction, Command, value_parser};

/// Exit code for invalid arguments or settings. The argument parser uses the same code.
const EXIT_USAGE: u8 = 2;

fn command() -> Command {
    Command::new("chestnutvalve-control")
        .about(
            "Control daemon: configuration, entry directory, ejection grants, at-most-once ledger",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file in JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validate the settings and exit"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = command().get_matches();
    let path: &PathBuf = arguments.get_one("settings").expect("clap requires it");
    let settings: Settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    if let Err(error) = settings.check() {
        return fail(EXIT_USAGE, &format!("{}: field {error}", path.display()));
    }
    if let Err(error) = daemon::Token::from_settings(settings.token_file.as_deref()) {
        return fail(EXIT_USAGE, &error);
    }
    if arguments.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    if let Err(error) = log::install(settings.control.as_str(), settings.log) {
        return fail(1, &error);
    }
    match daemon::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("chestnutvalve-control: {error}");
    ExitCode::from(code)
}
