//! Definition of the command-line interface.

use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutvalve_model::id::MAX_NAME_BYTES;
use chestnutvalve_model::version::Version;
use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

/// Default of `--control`: operator address of a control instance.
pub const DEFAULT_CONTROL: &str = "127.0.0.1:7501";
/// Default of `--timeout-ms`, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: &str = "8000";
/// Default of `--wait-ms`, in milliseconds.
pub const DEFAULT_WAIT_MS: &str = "20000";

const EXIT_CODES: &str = "Exit codes: 0 success, 1 failure, 2 invalid usage or input, 3 version conflict, \
4 not confirmed (retry with the same change ID)";

/// Builds the parser of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("chestnutvalve")
        .about("Inspects and configures a chestnutvalve fleet")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("IP:PORT")
                .action(ArgAction::Append)
                .default_value(DEFAULT_CONTROL)
                .value_parser(value_parser!(SocketAddr))
                .global(true)
                .help("Operator address of a control instance; repeat to add fallbacks"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .global(true)
                .help("File with the operator token; required for changes"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64).range(100..=120_000))
                .global(true)
                .help("Timeout of a single request in milliseconds"),
        )
        .subcommand(config())
        .subcommand(replica())
        .subcommand(routes())
        .subcommand(demo())
        .subcommand(
            Command::new("status")
                .about("Shows the control instances and the version in force at each entry")
                .arg(json()),
        )
        .subcommand(
            Command::new("burn")
                .about("Shows the burn rate of each service's error budget, summed over all entries")
                .arg(json())
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .value_name("IP:PORT")
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(SocketAddr))
                        .help(
                            "Platform address of an entry to query instead of all entries in the directory",
                        ),
                ),
        )
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON")
}

fn config() -> Command {
    Command::new("config")
        .about("Shows and changes the configuration")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Prints the configuration as a document that `apply` accepts")
                .arg(json()),
        )
        .subcommand(
            Command::new("diff")
                .about("Prints the edits that turn the configuration into a document")
                .arg(file().required(true)),
        )
        .subcommand(apply())
        .subcommand(
            Command::new("history")
                .about("Lists accepted changes, newest first")
                .arg(json())
                .arg(
                    Arg::new("limit")
                        .long("limit")
                        .value_name("N")
                        .default_value("20")
                        .value_parser(value_parser!(u32).range(1..=10_000))
                        .help("Maximum number of changes to list"),
                ),
        )
}

fn routes() -> Command {
    Command::new("routes")
        .about(
            "Shows and replaces the routes by host and path, and lists the registered workers and the customers",
        )
        .subcommand_required(true)
        .subcommand(Command::new("show").about(
            "Prints the route document in force; one with API keys requires --token-file",
        ))
        .subcommand(
            Command::new("publish")
                .about(
                    "Replaces the routes by a document, whose `base` is the version that it replaces",
                )
                .arg(file().required(true)),
        )
        .subcommand(check())
        .subcommand(
            Command::new("workers")
                .about("Lists the workers registered with the control group")
                .arg(json()),
        )
        .subcommand(
            Command::new("customers")
                .about("Lists the customers with their rank, limit and number of API keys")
                .arg(json()),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a route document without publishing it, and compares it with the one in force")
        .after_help(
            "Exit codes: 0 no errors, 1 failure or, with --strict, warnings, 2 errors or invalid usage",
        )
        .arg(file().required(true).help("Route document as JSON; - reads standard input"))
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("offline")
                .help("Compare with the document in a file instead of the one in force"),
        )
        .arg(
            Arg::new("offline")
                .long("offline")
                .action(ArgAction::SetTrue)
                .help("Skip the comparison"),
        )
        .arg(
            Arg::new("strict")
                .long("strict")
                .action(ArgAction::SetTrue)
                .help("Fail if there are warnings"),
        )
        .arg(json())
}

fn demo() -> Command {
    Command::new("demo")
        .about("Runs a control instance, an entry instance and an example worker in one process")
        .arg(
            Arg::new("port-base")
                .long("port-base")
                .value_name("PORT")
                .default_value("7000")
                .value_parser(value_parser!(u16).range(1_024..=65_000))
                .help(
                    "The listeners use this port + 1 (callers), 101, 201, 401 and 501 (operators)",
                ),
        )
        .arg(
            Arg::new("data")
                .long("data")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Data directory; default: a temporary directory"),
        )
}

fn replica() -> Command {
    let group = || {
        Arg::new("group")
            .long("group")
            .value_name("GROUP")
            .help("Only this group, config or ledger-N; default: all groups")
    };
    let id = || {
        Arg::new("replica")
            .value_name("REPLICA")
            .required(true)
            .help("ID of the replica, as printed by `replica list`")
    };
    Command::new("replica")
        .about("Shows and changes the members of the control groups")
        .after_help(
            "To add a replica, start its instance: it joins the groups through the members in its settings.",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("list")
                .about("Lists the groups and their members")
                .arg(json()),
        )
        .subcommand(
            Command::new("promote")
                .about("Makes a caught-up learner a voter")
                .args([id(), group()]),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a member permanently")
                .args([id(), group()]),
        )
        .subcommand(
            Command::new("recover")
                .about("Makes the replica at one instance the only voter after the permanent loss of a quorum; changes that only the lost replicas have are lost")
                .args([group(), author(), reason()]),
        )
}

fn author() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .required(true)
        .help("Who makes the change")
}

fn reason() -> Arg {
    Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .required(true)
        .help("Why the change is made")
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Complete configuration as JSON with comments; - reads standard input")
}

fn apply() -> Command {
    let edit = |name: &'static str, value: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_name(value);
        arg.action(ArgAction::Append).help(help)
    };
    Command::new("apply")
        .about("Applies a document or edits")
        .arg(file())
        .arg(edit("set", "FIELD=JSON", "Set a field of the default settings"))
        .arg(
            edit("put", "FILE", "Add or replace the exception in a file")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(edit("remove", "ID", "Remove an exception"))
        .group(ArgGroup::new("edits").args(["set", "put", "remove"]).multiple(true).conflicts_with("file"))
        .group(ArgGroup::new("input").args(["file", "set", "put", "remove"]).multiple(true).required(true))
        .arg(
            Arg::new("expected")
                .long("expected")
                .value_name("VERSION")
                .value_parser(value_parser!(Version))
                .help("Version that the change is based on; default: the version in the document's first line, or the current version for edits"),
        )
        .args([author(), reason()])
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .value_parser(parse_change_id)
                .help("ID of the change; a retry with the same ID returns the first result"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the change is in force at all live entries"),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MS")
                .default_value(DEFAULT_WAIT_MS)
                .value_parser(value_parser!(u64).range(0..=600_000))
                .help("Timeout of --wait in milliseconds"),
        )
}

/// Validates a change ID. IDs are part of a URL path, so only the characters of names are allowed.
fn parse_change_id(text: &str) -> Result<String, String> {
    let accepted = |c: char| c.is_ascii_alphanumeric() || ".:_-".contains(c);
    let valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(accepted);
    let expected = || format!("expected 1 to {MAX_NAME_BYTES} characters of a-z A-Z 0-9 . _ : -");
    valid.then(|| text.to_owned()).ok_or_else(expected)
}
