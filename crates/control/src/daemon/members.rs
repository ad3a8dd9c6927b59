//! Members of the groups, and the operators' changes of them.

use std::sync::Arc;
use std::time::Duration;

use chestnutvalve_consensus::{Kind as Part, MembershipChange, ReplicaId};
use chestnutvalve_model::error::{Fault, Kind};
use serde::{Deserialize, Serialize};

use super::{Instance, replicas};
use crate::replica::{Handle, Role};

/// Time for the leader of the group to commit a change.
const LEADER_TIMEOUT: Duration = Duration::from_secs(6);

/// Part of a member in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Vote {
    /// Votes.
    Voter,
    /// Becomes a voter once it is caught up.
    Joining,
    /// Follows without voting.
    Learner,
    /// Follows, and takes the place of a voter that is gone.
    Standby,
}

/// One member of a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Member {
    /// Identity of its data directory, in hexadecimal.
    pub replica: String,
    /// Name of its instance.
    pub control: String,
    /// Address for internal calls.
    pub peers: std::net::SocketAddr,
    /// Its part.
    pub vote: Vote,
}

/// One group as an instance knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Group {
    /// Name of the group.
    pub group: String,
    /// Name of the leader's instance, if it is known.
    pub leader: Option<String>,
    /// Whether the instance is in contact with a quorum of the group.
    pub quorum: bool,
    /// Its members.
    pub members: Vec<Member>,
}

/// Change of one member by an operator.
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
    /// Makes the replica at the asked instance the only voter of its group.
    Recover {
        /// Name of the group.
        group: String,
        /// Who decided it, and why; it is kept in the log.
        reason: String,
    },
}

/// Returns all groups.
#[must_use]
pub fn groups(instance: &Instance) -> Vec<Group> {
    let names = (0..instance.ledgers.len()).map(replicas::ledger_name);
    let names = std::iter::once(replicas::CONFIG.to_owned()).chain(names);
    names
        .filter_map(|name| {
            let handle = find(instance, &name).ok()?;
            let status = handle.status();
            let membership = handle.members();
            let members = membership.members.iter().map(|m| Member {
                replica: m.id.to_string(),
                control: m.name.clone(),
                peers: m.address,
                vote: match m.kind {
                    Part::Voter => Vote::Voter,
                    Part::Joining => Vote::Joining,
                    Part::Learner => Vote::Learner,
                    Part::Standby => Vote::Standby,
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

fn find<'a>(instance: &'a Instance, name: &str) -> Result<&'a Handle, Fault> {
    if name == replicas::CONFIG {
        return instance.config();
    }
    let mut ledgers = instance.ledgers.iter().enumerate();
    let found = ledgers.find(|(number, _)| replicas::ledger_name(*number) == name);
    let unknown = || Fault::new(Kind::NotFound, format!("no group {name:?}"));
    found.ok_or_else(unknown)?.1.handle()
}

/// Carries out an operator's change.
///
/// # Errors
///
/// Returns [`Kind::NotFound`] for an unknown group, [`Kind::BadRequest`] for a malformed identity and the fault of the
/// log, for example that another change is in progress.
pub async fn act(instance: &Arc<Instance>, action: &Action) -> Result<(), Fault> {
    match action {
        Action::Promote { group, .. } | Action::Remove { group, .. } => {
            let status = find(instance, group)?.status();
            if status.role == Role::Leader {
                return lead(instance, action).await;
            }
            let unknown = || Fault::new(Kind::NoQuorum, format!("no leader of {group} is known"));
            let leader = status.leader.ok_or_else(unknown)?;
            let address = *instance.controls().get(&leader).ok_or_else(unknown)?;
            let call = instance
                .peers
                .call(address, "leader/member", action, LEADER_TIMEOUT);
            call.await
        }
        Action::Recover { group, reason } => {
            if reason.trim().is_empty() {
                return Err(Fault::new(Kind::BadRequest, "recovery needs a reason"));
            }
            find(instance, group)?.recover(reason).await
        }
    }
}

/// Carries out a change at the leader of its group.
///
/// # Errors
///
/// As [`act`].
pub async fn lead(instance: &Instance, action: &Action) -> Result<(), Fault> {
    let (group, change) = match action {
        Action::Promote { group, replica } => {
            (group, MembershipChange::Promote(identity(replica)?))
        }
        Action::Remove { group, replica } => (group, MembershipChange::Remove(identity(replica)?)),
        Action::Recover { .. } => {
            let context = "a recovery is not passed on to other instances";
            return Err(Fault::new(Kind::BadRequest, context));
        }
    };
    find(instance, group)?.change(change).await
}

fn identity(text: &str) -> Result<ReplicaId, Fault> {
    let context = || format!("replica {text:?}: expected 16 hexadecimal digits");
    let invalid = |_| Fault::new(Kind::BadRequest, context());
    u64::from_str_radix(text, 16)
        .map(ReplicaId)
        .map_err(invalid)
}
