//! Command-line interface for operators.

use std::ffi::OsString;
use std::process::ExitCode;

pub mod arguments;
pub mod burn;
pub mod check;
pub mod config;
pub mod demo;
pub mod edits;
pub mod error;
pub mod http;
pub mod output;
pub mod replica;
pub mod routes;
pub mod status;
pub mod wait;

pub use error::Error;

/// Parses the arguments, runs the command and returns the exit code of the process.
pub async fn run<I>(arguments: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let matches = match arguments::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // When standard output is closed, the error can't be reported anywhere.
            let _ = error.print();
            let code = if error.use_stderr() { error::USAGE } else { 0 };
            return ExitCode::from(code);
        }
    };
    match dispatch(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::print_error(&error);
            ExitCode::from(error.code())
        }
    }
}

async fn dispatch(matches: &clap::ArgMatches) -> Result<(), Error> {
    let client = http::Client::new(matches)?;
    match matches.subcommand() {
        Some(("config", config)) => match config.subcommand() {
            Some(("show", show)) => config::show(&client, show).await,
            Some(("diff", diff)) => config::diff(&client, diff).await,
            Some(("apply", apply)) => config::apply(&client, apply).await,
            Some(("history", history)) => config::history(&client, history).await,
            _ => Err(Error::Usage("expected a subcommand of config".to_owned())),
        },
        Some(("replica", replica)) => match replica.subcommand() {
            Some(("list", list)) => replica::list(&client, list).await,
            Some(("promote", promote)) => replica::promote(&client, promote).await,
            Some(("remove", remove)) => replica::remove(&client, remove).await,
            Some(("recover", recover)) => replica::recover(&client, recover).await,
            _ => Err(Error::Usage("expected a subcommand of replica".to_owned())),
        },
        Some(("routes", routes)) => match routes.subcommand() {
            Some(("show", _)) => routes::show(&client).await,
            Some(("publish", publish)) => routes::publish(&client, publish).await,
            Some(("check", check)) => check::run(&client, check).await,
            Some(("workers", workers)) => routes::workers(&client, workers).await,
            Some(("customers", customers)) => routes::customers(&client, customers).await,
            _ => Err(Error::Usage("expected a subcommand of routes".to_owned())),
        },
        Some(("demo", demo)) => demo::run(demo).await,
        Some(("burn", show)) => burn::show(&client, show).await,
        Some(("status", show)) => status::show(&client, show).await,
        _ => Err(Error::Usage("expected a subcommand".to_owned())),
    }
}
