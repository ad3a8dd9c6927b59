//! Members of the groups, and the membership changes that operators request.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_consensus::{Kind as MemberKind, MembershipChange, ReplicaId};
use chestnutvalve_model::error::{Fault, Kind};
use serde::{Deserialize, Serialize};

use super::{Instance, replicas};
use crate::replica::{Handle, Role};

/// Timeout of a call to the leader of the group, which commits the change before it answers.
const LEADER_TIMEOUT: Duration = Duration::from_secs(6);

/// Voting role of a member in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Vote {
    /// Votes in elections and counts for the quorum.
    Voter,
    /// Becomes a voter once it has caught up.
    Joining,
    /// Replicates the log without voting.
    Learner,
    /// Replicates the log without voting, and replaces a lost voter.
    Standby,
}

/// Member of a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    /// Identity of its data directory, in hexadecimal.
    pub replica: String,
    /// Name of the instance.
    pub control: String,
    /// Address of the instance for internal calls.
    pub peers: std::net::SocketAddr,
    /// Voting role.
    pub vote: Vote,
}

/// Group from the point of view of one instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Group {
    /// Name of the group.
    pub group: String,
    /// Name of the instance that leads, if known.
    pub leader: Option<String>,
    /// Whether the instance is in contact with a quorum of the group.
    pub quorum: bool,
    /// Members in the latest membership that the instance has.
    pub members: Vec<Member>,
}

/// Membership change requested by an operator.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Action {
    /// Makes a caught-up learner a voter.
    Promote {
        /// Name of the group.
        group: String,
        /// Identity of the member, in hexadecimal.
        replica: String,
    },
    /// Removes a member.
    Remove {
        /// Name of the group.
        group: String,
        /// Identity of the member, in hexadecimal.
        replica: String,
    },
    /// Makes the replica at the instance that receives the request the only voter of its group.
    Recover {
        /// Name of the group.
        group: String,
        /// Who decided it, and why; recorded in the log.
        reason: String,
    },
}

/// Returns all groups whose replica has started.
#[must_use]
pub fn groups(instance: &Instance) -> Vec<Group> {
    let names = (0..instance.ledgers.len()).map(replicas::ledger_name);
    let names = std::iter::once(replicas::CONFIG.to_owned()).chain(names);
    names
        .filter_map(|name| {
            let handle = find_handle(instance, &name).ok()?;
            let status = handle.status();
            let membership = handle.members();
            let members = membership.members.iter().map(|m| Member {
                replica: m.id.to_string(),
                control: m.name.clone(),
                peers: m.address,
                vote: match m.kind {
                    MemberKind::Voter => Vote::Voter,
                    MemberKind::Joining => Vote::Joining,
                    MemberKind::Learner => Vote::Learner,
                    MemberKind::Standby => Vote::Standby,
                },
            });
            Some(Group {
                members: members.collect(),
                leader: status.leader,
                quorum: status.quorum,
                group: name,
            })
        })
        .collect()
}

fn find_handle(instance: &Instance, name: &str) -> Result<Handle, Fault> {
    if name == replicas::CONFIG {
        return instance.config();
    }
    let mut ledgers = instance.ledgers.iter().enumerate();
    let found = ledgers.find(|(number, _)| replicas::ledger_name(*number) == name);
    let unknown = || Fault::new(Kind::NotFound, format!("no group {name:?}"));
    found.ok_or_else(unknown)?.1.handle()
}

/// Applies an operator's membership change.
///
/// # Errors
///
/// Returns [`Kind::NotFound`] for an unknown group, [`Kind::BadRequest`] for a malformed identity, and otherwise the
/// fault of the commit, for example that another change is in progress.
pub async fn apply_action(instance: &Arc<Instance>, action: &Action) -> Result<(), Fault> {
    match action {
        Action::Promote { group, .. } | Action::Remove { group, .. } => {
            let status = find_handle(instance, group)?.status();
            if status.role == Role::Leader {
                return apply_as_leader(instance, action).await;
            }
            let unknown = || Fault::new(Kind::NoQuorum, format!("no leader of {group} is known"));
            let leader = status.leader.ok_or_else(unknown)?;
            let address = *instance
                .control_addresses()
                .get(&leader)
                .ok_or_else(unknown)?;
            let call = instance
                .peers
                .call(address, "leader/member", action, LEADER_TIMEOUT);
            call.await
        }
        Action::Recover { group, reason } => {
            if reason.trim().is_empty() {
                return Err(Fault::new(
                    Kind::BadRequest,
                    "expected a reason for the recovery",
                ));
            }
            find_handle(instance, group)?.recover(reason).await
        }
    }
}

/// Applies a membership change at the leader of its group.
///
/// # Errors
///
/// As [`act`].
pub async fn apply_as_leader(instance: &Instance, action: &Action) -> Result<(), Fault> {
    let (group, change) = match action {
        Action::Promote { group, replica } => {
            (group, MembershipChange::Promote(parse_id(replica)?))
        }
        Action::Remove { group, replica } => (group, MembershipChange::Remove(parse_id(replica)?)),
        Action::Recover { .. } => {
            let context = "a recovery is not forwarded to other instances";
            return Err(Fault::new(Kind::BadRequest, context));
        }
    };
    find_handle(instance, group)?.change(change).await
}

fn parse_id(text: &str) -> Result<ReplicaId, Fault> {
    let context = || format!("replica {text:?}: expected 16 hexadecimal digits");
    let invalid = |_| Fault::new(Kind::BadRequest, context());
    u64::from_str_radix(text, 16)
        .map(ReplicaId)
        .map_err(invalid)
}
