//! Messages between entries and control instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Document, Edit};
use crate::directory::{Directory, Member};
use crate::id::{Entry, Incarnation, Service, Worker};
use crate::routes::{Delta, Table};
use crate::upstream::{Event, Roster};
use crate::version::Version;

/// Long poll for the changes after a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Watch {
    /// Entry instance that polls.
    pub entry: Entry,
    /// Start counter of the polling process.
    pub incarnation: Incarnation,
    /// Version that the entry has in force.
    pub have: Version,
    /// Services whose exceptions are requested; `None` requests all. Records contain nothing about services that the
    /// entry did not request before, so a watch with a new list must set `have` to [`Version::ZERO`].
    pub services: Option<Vec<Service>>,
    /// Max time to wait for a change, in milliseconds.
    pub wait_ms: u32,
}

/// Answer to [`Watch`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Whether the control instance has lost contact with the quorum or applies its log late; the entry should then poll
    /// another instance.
    pub stale: bool,
    /// Version of the state after applying `content`.
    pub version: Version,
    /// Internal addresses of the control instances, which change when one is replaced.
    pub controls: Vec<std::net::SocketAddr>,
    /// Changes since the version of the entry.
    pub content: Content,
}

/// Changes since the version that the entry has in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Content {
    /// The version is unchanged.
    Unchanged,
    /// Committed records after the entry's version, in order.
    Records(Vec<Record>),
    /// Whole state, because the records in between are compacted.
    Snapshot(State),
}

/// One committed step of the replicated state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Version of the state after this step.
    pub version: Version,
    /// Effect of the record.
    pub step: Step,
}

/// Effect of a committed record on the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Step {
    /// Configuration edits.
    Edits(Vec<Edit>),
    /// An entry instance joined or changed its addresses or draining flag.
    Join(Member),
    /// An entry instance left or expired.
    Leave {
        /// Name of the instance.
        entry: Entry,
        /// Highest incarnation that is removed.
        incarnation: Incarnation,
    },
    /// The load of a service requires another number of owners.
    Resize {
        /// Name of the service.
        service: Service,
        /// Min number of owners; 0 removes the minimum, so that the configured number applies.
        owners: u8,
    },
    /// The routes changed.
    Routes(Delta),
    /// A registered worker joined, changed or left.
    Worker(Event),
}

/// Replicated state that entries follow.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Version of the state.
    pub version: Version,
    /// Configuration in force.
    pub document: Document,
    /// Live entry instances.
    pub directory: Directory,
    /// Min number of owners of each service whose load requires more than a few.
    pub owners: BTreeMap<Service, u8>,
    /// Routes by host and path.
    pub routes: Arc<Table>,
    /// Workers that are registered with the control group.
    pub roster: Arc<Roster>,
}

impl State {
    /// Applies a record; a record that is not newer than the state is ignored.
    ///
    /// # Errors
    ///
    /// Returns the validation error of the edits. Records are validated before they are proposed, so an error means
    /// that sender and receiver run different versions of the software.
    pub fn apply(&mut self, record: &Record) -> Result<(), crate::config::Invalid> {
        if record.version <= self.version {
            return Ok(());
        }
        match &record.step {
            Step::Edits(edits) => self.document.edit(edits)?,
            Step::Join(member) => self.directory.join(member),
            Step::Leave { entry, incarnation } => self.directory.leave(entry, *incarnation),
            Step::Resize { service, owners } => self.resize(service, *owners),
            Step::Routes(delta) => Arc::make_mut(&mut self.routes).apply(delta),
            Step::Worker(event) => Arc::make_mut(&mut self.roster).apply(event, &self.routes),
        }
        self.version = record.version;
        Ok(())
    }

    /// Sets the min number of owners of a service; 0 removes it.
    pub fn resize(&mut self, service: &Service, owners: u8) {
        if owners == 0 {
            self.owners.remove(service);
        } else {
            self.owners.insert(service.clone(), owners);
        }
    }

    /// Returns the number of owners of a service: the larger of the `configured` and the recorded number.
    #[must_use]
    pub fn owners_of(&self, service: &Service, configured: u8) -> usize {
        let recorded = self.owners.get(service).copied().unwrap_or_default();
        usize::from(configured.max(recorded))
    }
}

/// Periodic heartbeat of an entry instance; the first one adds the instance to the directory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The instance and its addresses.
    pub member: Member,
    /// Version that the instance has in force.
    pub in_force: Version,
    /// Time since that version came into force, in milliseconds.
    pub in_force_ms: u64,
    /// Request rates of the services that receive requests at the instance.
    pub rates: Vec<Rate>,
}

/// Load of a service at one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rate {
    /// Name of the service.
    pub service: Service,
    /// Requests per second, including refused ones.
    pub per_second: u32,
}

/// Answer to [`Heartbeat`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum HeartbeatReply {
    /// The instance is in the directory or is being added.
    Accepted,
    /// A later incarnation of the instance is known; the sender must shut down.
    Superseded,
}

/// Request of an entry to eject workers of a service, or to keep them ejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EjectionRequest {
    /// Entry instance that requests the ejections.
    pub entry: Entry,
    /// Service of the workers.
    pub service: Service,
    /// Workers that are registered at the entry: not withdrawn, whether usable or not.
    pub registered: Vec<Worker>,
    /// Workers that could receive requests: fresh proof, not leaving, warmed up. Ejected ones are included.
    pub eligible: Vec<Worker>,
    /// Workers to eject or to keep ejected, most harmful first.
    pub eject: Vec<Worker>,
    /// Workers for whose ejection the entry already holds a grant.
    pub held: Vec<Worker>,
    /// Min share of the registered workers that must not be ejected, in percent.
    pub floor_percent: u8,
}

/// Answer to [`EjectionRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EjectionGrant {
    /// Workers that may be ejected, until `ttl_ms` after the instant at which the request was sent.
    pub workers: Vec<Worker>,
    /// Lifetime of the grant, in milliseconds.
    pub ttl_ms: u32,
}
