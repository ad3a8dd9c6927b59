//! Subcommands of `replica`: the members of the control groups.

use chestnutvalve_control::daemon::members::{Action, Group, Vote};
use clap::ArgMatches;

use crate::http::Client;
use crate::{Error, output};

/// Lists the groups and their members.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance responds.
pub async fn list(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let groups: Vec<Group> = client.get_any("/v1/replicas").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::to_pretty_json(&groups)?));
    }
    output::print(&render(&groups))
}

fn render(groups: &[Group]) -> String {
    let mut lines = Vec::new();
    for group in groups {
        let leader = group.leader.as_deref().unwrap_or("unknown");
        let quorum = if group.quorum { "" } else { "  NO QUORUM" };
        lines.push(format!("{}  leader {leader}{quorum}\n", group.group));
        for member in &group.members {
            let vote = match member.vote {
                Vote::Voter => "voter",
                Vote::Joining => "joining",
                Vote::Learner => "learner",
                Vote::Standby => "standby",
            };
            lines.push(format!(
                "  {}  {}  {}  {vote}\n",
                member.replica, member.control, member.peers
            ));
        }
    }
    lines.concat()
}

/// Promotes a learner to a voter.
///
/// # Errors
///
/// Returns the error that determines the exit code; see [`crate::error`].
pub async fn promote(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let replica = argument(matches, "replica");
    let action = |group| Action::Promote {
        group,
        replica: replica.clone(),
    };
    run_in_groups(client, matches, action).await
}

/// Removes a member from its group permanently.
///
/// # Errors
///
/// Returns the error that determines the exit code; see [`crate::error`].
pub async fn remove(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let replica = argument(matches, "replica");
    let action = |group| Action::Remove {
        group,
        replica: replica.clone(),
    };
    run_in_groups(client, matches, action).await
}

/// Makes the replica at one instance the only voter of its group, after the permanent loss of a quorum.
///
/// # Errors
///
/// Returns [`Error::Usage`] unless exactly one control instance is given, else the error that determines the exit code.
pub async fn recover(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    if client.controls.len() != 1 {
        let context = "recovery runs at a single instance: expected exactly one --control";
        return Err(Error::Usage(context.to_owned()));
    }
    let author = argument(matches, "author");
    let reason = format!("{author}: {}", argument(matches, "reason"));
    let action = |group| Action::Recover {
        group,
        reason: reason.clone(),
    };
    run_in_groups(client, matches, action).await
}

/// Runs an action in the group given by `--group`, or in all groups. A failure in one group does not stop the others: the
/// first error is returned and further ones are printed.
async fn run_in_groups(
    client: &Client,
    matches: &ArgMatches,
    action: impl Fn(String) -> Action,
) -> Result<(), Error> {
    let requested = matches.get_one::<String>("group").cloned();
    let groups = if let Some(group) = requested {
        vec![group]
    } else {
        let groups: Vec<Group> = client.get_any("/v1/replicas").await?;
        groups.into_iter().map(|g| g.group).collect()
    };
    let mut result = Ok(());
    for group in groups {
        let body = output::encode_body(&action(group.clone()))?;
        match client.post_any("/v1/replicas", body).await.map(drop) {
            Ok(()) => output::print(&format!("{group}: done\n"))?,
            Err(error) if result.is_ok() => result = Err(error.in_group(&group)),
            Err(error) => output::print_error(&error.in_group(&group)),
        }
    }
    result
}

fn argument(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}
