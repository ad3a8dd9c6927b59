//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use chestnutvalve_model::id::MAX_NAME_BYTES;
use chestnutvalve_model::version::Version;
use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

/// Operators' address of a control instance when none is stated.
pub const DEFAULT_CONTROL: &str = "127.0.0.1:7501";
/// Time for one answer when none is stated, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: &str = "8000";
/// Time for a change to be in force everywhere when none is stated, in milliseconds.
pub const DEFAULT_WAIT_MS: &str = "20000";

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 version conflict, \
4 not confirmed (resend with the same change id)";

/// Returns the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("chestnutvalve")
        .about("Shows and changes a chestnutvalve fleet")
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
                .help("Operators' address of a control instance; repeat it to name further ones"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .global(true)
                .help("File with the operators' token, needed for changes"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64).range(100..=120_000))
                .global(true)
                .help("Time for one answer"),
        )
        .subcommand(config())
        .subcommand(replica())
        .subcommand(routes())
        .subcommand(demo())
        .subcommand(
            Command::new("status")
                .about("Shows the control instances and what every entry has in force")
                .arg(json()),
        )
        .subcommand(
            Command::new("burn")
                .about("Shows how fast each service uses its error budget, over all entries")
                .arg(json())
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .value_name("IP:PORT")
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(SocketAddr))
                        .help(
                            "Platform address of an entry to ask, instead of all of the directory",
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
                .about("Prints the configuration as a document that `apply` takes")
                .arg(json()),
        )
        .subcommand(
            Command::new("diff")
                .about("Prints the edits that lead from the configuration to a document")
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
                        .help("Most changes to list"),
                ),
        )
}

fn routes() -> Command {
    Command::new("routes")
        .about("Shows and replaces the routes by host and path, and lists their workers")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Prints the route document in force"))
        .subcommand(
            Command::new("publish")
                .about(
                    "Replaces the routes by a document; its `base` is the version that it replaces",
                )
                .arg(file().required(true)),
        )
        .subcommand(
            Command::new("workers")
                .about("Lists the workers that are registered with the control group")
                .arg(json()),
        )
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
                .help("Directory for the state; default: a temporary one"),
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
            .help("Identity of the replica, as `replica list` prints it")
    };
    Command::new("replica")
        .about("Shows and changes the members of the control groups")
        .after_help(
            "A replica is added by starting its instance: it joins the groups through the members in its settings.",
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
                .about("Removes a member for good")
                .args([id(), group()]),
        )
        .subcommand(
            Command::new("recover")
                .about("Makes the replica at one instance the only voter, after a quorum is lost for good; changes that only the lost replicas have are lost")
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
        .help("Whole configuration as JSON with comments; - reads standard input")
}

fn apply() -> Command {
    let edit = |name: &'static str, value: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_name(value);
        arg.action(ArgAction::Append).help(help)
    };
    Command::new("apply")
        .about("Applies a document or edits")
        .arg(file())
        .arg(edit("set", "FIELD=JSON", "Set a field of the defaults"))
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
                .help("Version that the change is based on; default: that in the document's first line, for edits the current one"),
        )
        .args([author(), reason()])
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .value_parser(change_id)
                .help("Id of the change; a resend with the same id gets the first result"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Return when all live entries have the change in force"),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MS")
                .default_value(DEFAULT_WAIT_MS)
                .value_parser(value_parser!(u64).range(0..=600_000))
                .help("Longest time to wait"),
        )
}

/// Ids are part of a path, so that they have the characters of names.
fn change_id(text: &str) -> Result<String, String> {
    let accepted = |c: char| c.is_ascii_alphanumeric() || ".:_-".contains(c);
    let valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(accepted);
    let expected = || format!("expected 1 to {MAX_NAME_BYTES} characters of a-z A-Z 0-9 . _ : -");
    valid.then(|| text.to_owned()).ok_or_else(expected)
}
