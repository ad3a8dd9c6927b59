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

/// Long poll for everything after a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Watch {
    /// Asking entry instance.
    pub entry: Entry,
    /// Start counter of the asking process.
    pub incarnation: Incarnation,
    /// Version that the entry has in force.
    pub have: Version,
    /// Services whose exceptions are wanted; `None` asks for all. Records tell nothing of services that the entry did not
    /// ask for before, so that a watch with a new list must have [`Version::ZERO`].
    pub services: Option<Vec<Service>>,
    /// Longest time to hold the call open, in milliseconds.
    pub wait_ms: u32,
}

/// Answer to [`Watch`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Whether the control instance has lost contact with the quorum, so that the entry should ask another.
    pub stale: bool,
    /// Version after applying `content`.
    pub version: Version,
    /// Internal addresses of the control instances, which change when one is replaced.
    pub controls: Vec<std::net::SocketAddr>,
    /// What has changed.
    pub content: Content,
}

/// What has changed since the version that the entry had.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Content {
    /// Nothing.
    Unchanged,
    /// The committed records after the entry's version, in order.
    Records(Vec<Record>),
    /// The whole state, because the records in between are compacted.
    Snapshot(State),
}

/// One committed step of the replicated state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Version that this step produced.
    pub version: Version,
    /// What it did.
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
        /// Greatest incarnation that is removed.
        incarnation: Incarnation,
    },
    /// The load of a service calls for another number of owners.
    Resize {
        /// Name of the service.
        service: Service,
        /// Least number of owners; 0 leaves it to the configuration.
        owners: u8,
    },
    /// The routes changed.
    Routes(Delta),
    /// A registered worker came, changed or left.
    Worker(Event),
}

/// State that entries follow.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Version of the state.
    pub version: Version,
    /// Configuration in force.
    pub document: Document,
    /// Live entry instances.
    pub directory: Directory,
    /// Least number of owners of the services whose load calls for more than a few.
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
    /// Returns the validation error of the edits. Records are validated before they are proposed, so that an error means
    /// that sender and receiver run different software.
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
            Step::Worker(event) => Arc::make_mut(&mut self.roster).apply(event),
        }
        self.version = record.version;
        Ok(())
    }

    /// Records the least number of owners of a service; 0 removes the record.
    pub fn resize(&mut self, service: &Service, owners: u8) {
        if owners == 0 {
            self.owners.remove(service);
        } else {
            self.owners.insert(service.clone(), owners);
        }
    }

    /// Returns the number of owners of a service for which `configured` ones are configured.
    #[must_use]
    pub fn owners_of(&self, service: &Service, configured: u8) -> usize {
        let least = self.owners.get(service).copied().unwrap_or_default();
        usize::from(configured.max(least))
    }
}

/// Sign of life of an entry instance; the first one joins the directory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The instance and its addresses.
    pub member: Member,
    /// Version that the instance has in force.
    pub in_force: Version,
    /// Time since that version came into force, in milliseconds.
    pub in_force_ms: u64,
    /// Load of the services that the instance is busy with.
    pub rates: Vec<Rate>,
}

/// Load of a service at one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rate {
    /// Name of the service.
    pub service: Service,
    /// Requests a second, refused ones included.
    pub per_second: u32,
}

/// Answer to [`Heartbeat`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum HeartbeatReply {
    /// The instance is in the directory or will be.
    Accepted,
    /// A later incarnation of the instance is known; the sender must stop.
    Superseded,
}

/// Request of an entry to eject workers of a service, or to keep them ejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EjectionRequest {
    /// Asking entry instance.
    pub entry: Entry,
    /// Service of the workers.
    pub service: Service,
    /// Workers that the entry considers registered: not withdrawn, whether usable or not.
    pub registered: Vec<Worker>,
    /// Workers that could take work now: fresh proof, not leaving, warmed up. Ejected ones are included.
    pub eligible: Vec<Worker>,
    /// Workers that the entry wants ejected, most harmful first.
    pub eject: Vec<Worker>,
    /// Workers that the entry holds a grant for already.
    pub held: Vec<Worker>,
    /// Floor in percent of the registered workers.
    pub floor_percent: u8,
}

/// Answer to [`EjectionRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EjectionGrant {
    /// Workers that may be ejected, until `ttl_ms` after the instant at which the request was sent.
    pub workers: Vec<Worker>,
    /// Duration of the grant, in milliseconds.
    pub ttl_ms: u32,
}
