//! Command-line interface for operators.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    chestnutvalve_cli::run(std::env::args_os()).await
}
