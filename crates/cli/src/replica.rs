//! Members of the control groups.

use chestnutvalve_control::daemon::members::{Action, Group, Vote};
use clap::ArgMatches;

use crate::http::Client;
use crate::{Error, output};

/// Lists the groups and their members.
///
/// # Errors
///
/// Returns [`Error::Failed`] when no control instance answers.
pub async fn list(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let groups: Vec<Group> = client.read("/v1/replicas").await?;
    if matches.get_flag("json") {
        return output::print(&format!("{}\n", output::pretty(&groups)?));
    }
    output::print(&text(&groups))
}

fn text(groups: &[Group]) -> String {
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

/// Makes a learner a voter.
///
/// # Errors
///
/// Returns the error with its exit code; see [`crate::error`].
pub async fn promote(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let replica = text_of(matches, "replica");
    let action = |group| Action::Promote {
        group,
        replica: replica.clone(),
    };
    in_groups(client, matches, action).await
}

/// Removes a member.
///
/// # Errors
///
/// Returns the error with its exit code; see [`crate::error`].
pub async fn remove(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    let replica = text_of(matches, "replica");
    let action = |group| Action::Remove {
        group,
        replica: replica.clone(),
    };
    in_groups(client, matches, action).await
}

/// Makes the replica at one instance the only voter of its group.
///
/// # Errors
///
/// Returns [`Error::Usage`] unless exactly one instance is named, else the error with its exit code.
pub async fn recover(client: &Client, matches: &ArgMatches) -> Result<(), Error> {
    if client.controls.len() != 1 {
        let context = "recovery happens at one instance: state --control once";
        return Err(Error::Usage(context.to_owned()));
    }
    let author = text_of(matches, "author");
    let reason = format!("{author}: {}", text_of(matches, "reason"));
    let action = |group| Action::Recover {
        group,
        reason: reason.clone(),
    };
    in_groups(client, matches, action).await
}

/// Carries out an action in the stated group or in all groups; a refusal in one group does not keep it from the others.
async fn in_groups(
    client: &Client,
    matches: &ArgMatches,
    action: impl Fn(String) -> Action,
) -> Result<(), Error> {
    let stated = matches.get_one::<String>("group").cloned();
    let groups = if let Some(group) = stated {
        vec![group]
    } else {
        let groups: Vec<Group> = client.read("/v1/replicas").await?;
        groups.into_iter().map(|g| g.group).collect()
    };
    let mut first = Ok(());
    for group in groups {
        let body = output::body(&action(group.clone()))?;
        match client.send("/v1/replicas", body).await.map(drop) {
            Ok(()) => output::print(&format!("{group}: done\n"))?,
            Err(error) if first.is_ok() => first = Err(error.in_group(&group)),
            Err(error) => output::problem(&error.in_group(&group)),
        }
    }
    first
}

fn text_of(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}
