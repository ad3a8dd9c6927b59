//! Replicated state machine of the config group: configuration, entry directory, routes and registered workers.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::Arc;

use chestnutvalve_model::config::{Change, Edit};
use chestnutvalve_model::control::{Record, State, Step};
use chestnutvalve_model::directory::Member;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::routes::Publication;
use chestnutvalve_model::upstream::Event;
use chestnutvalve_model::version::Version;
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::replica::{CommittedCommand, Stored};

pub mod change;
pub mod history;
pub mod publish;
pub mod records;
pub mod size;

pub use change::Refusal;
pub use history::{Accepted, History};
pub use publish::PublishedRoutes;
pub use records::Records;

/// Command that is replicated through the log of the config group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Configuration change submitted by an operator.
    Change(Change),
    /// Directory updates, applied in order.
    Directory(Vec<Step>),
    /// Replacement of the whole route table, submitted by an operator.
    Publish(Publication),
    /// Registrations and departures of workers, applied in order.
    Workers(Vec<Event>),
}

/// Result of a [`Command::Change`]: the version that the change produced, or the refusal.
pub type Outcome = Result<Version, Refusal>;

/// Replicated state, with the records that lagging watchers catch up from and the results that resent changes are
/// answered with.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: State,
    /// Version of the last accepted configuration change.
    config_version: Version,
    /// Encoded size of all exceptions, in bytes.
    exception_bytes: usize,
    records: Records,
    history: History,
    published: PublishedRoutes,
}

#[derive(Deserialize, Serialize)]
struct Snapshot<'a> {
    state: Cow<'a, State>,
    config_version: Version,
    records: Cow<'a, Records>,
    accepted: Cow<'a, VecDeque<Accepted>>,
    ids: Cow<'a, VecDeque<history::AcceptedId>>,
    published: Cow<'a, PublishedRoutes>,
}

impl Store {
    /// Returns the state that is replicated to the entries.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the version of the last accepted configuration change. Other commands do not raise it.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.config_version
    }

    /// Returns the retained records.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Returns the retained history of accepted changes.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Applies a committed command and returns the encoded result.
    ///
    /// The result depends only on the state and the command, so every replica computes the same one.
    pub fn apply(&mut self, committed: CommittedCommand<'_>) -> Vec<u8> {
        match codec::decode(committed.command) {
            Ok(Command::Change(change)) => codec::encode(&self.change(committed.term, change)),
            Ok(Command::Directory(steps)) => {
                for step in steps {
                    self.apply_directory_step(committed.term, step);
                }
                codec::encode(&self.state.version)
            }
            Ok(Command::Publish(publication)) => {
                codec::encode(&self.apply_publication(committed.term, publication))
            }
            Ok(Command::Workers(events)) => {
                for event in events {
                    let State { roster, routes, .. } = &mut self.state;
                    if roster.would_change(&event, routes) {
                        Arc::make_mut(roster).apply(&event, routes);
                        self.append_record(committed.term, Step::Worker(event), Vec::new());
                    }
                }
                codec::encode(&self.state.version)
            }
            Err(fault) => codec::encode::<Outcome>(&Err(fault.into())),
        }
    }

    fn change(&mut self, term: u64, change: Change) -> Outcome {
        if let Some(first) = self.check_change(&change)? {
            return Ok(first);
        }
        let scopes = records::prior_scopes(&self.state.document, &change.edits);
        let before = size::named_bytes(&self.state.document, &change.edits);
        let edited = self.state.document.edit(&change.edits);
        edited.map_err(|e| Fault::new(Kind::InvalidChange, e.to_string()))?;
        self.exception_bytes += size::named_bytes(&self.state.document, &change.edits);
        self.exception_bytes -= before;
        let version = self.append_record(term, Step::Edits(change.edits.clone()), scopes);
        self.config_version = version;
        self.history.push(version, change);
        Ok(version)
    }

    fn apply_directory_step(&mut self, term: u64, mut step: Step) {
        let entry = match &step {
            Step::Edits(_) | Step::Routes(_) | Step::Worker(_) => return,
            Step::Join(member) => member.entry.clone(),
            Step::Leave { entry, .. } => entry.clone(),
            Step::Resize { service, owners } => {
                let before = self.state.owners.get(service).copied();
                self.state.resize(service, *owners);
                if self.state.owners.get(service).copied() != before {
                    self.append_record(term, step, Vec::new());
                }
                return;
            }
        };
        let directory = &mut self.state.directory;
        let before = directory.members.get(&entry).cloned();
        match &mut step {
            Step::Edits(_) | Step::Resize { .. } | Step::Routes(_) | Step::Worker(_) => return,
            Step::Join(member) => {
                retain_draining(before.as_ref(), member);
                directory.join(member);
            }
            Step::Leave { entry, incarnation } => directory.leave(entry, *incarnation),
        }
        if directory.members.get(&entry) != before.as_ref() {
            self.append_record(term, step, Vec::new());
        }
    }

    fn append_record(&mut self, term: u64, step: Step, scopes: Vec<records::Scope>) -> Version {
        let version = Version {
            term,
            revision: self.state.version.revision + 1,
        };
        let record = Record { version, step };
        self.records.push(self.state.version, record, scopes);
        self.state.version = version;
        version
    }

    /// Returns the edits made after `version`, or `None` when some of them are no longer retained.
    #[must_use]
    pub fn edits_since(&self, version: Version) -> Option<Vec<Edit>> {
        let after = self.records.after(version)?;
        let steps = after.filter_map(|record| match &record.step {
            Step::Edits(edits) => Some(edits.clone()),
            Step::Join(_)
            | Step::Leave { .. }
            | Step::Resize { .. }
            | Step::Routes(_)
            | Step::Worker(_) => None,
        });
        Some(steps.flatten().collect())
    }

    /// Returns an encoded snapshot of the state.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        codec::encode(&Snapshot {
            state: Cow::Borrowed(&self.state),
            config_version: self.config_version,
            records: Cow::Borrowed(&self.records),
            accepted: Cow::Borrowed(self.history.accepted()),
            ids: Cow::Borrowed(self.history.accepted_ids()),
            published: Cow::Borrowed(&self.published),
        })
    }

    /// Checks that stored bytes decode.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] for bytes that don't.
    pub fn check(stored: Stored<'_>) -> Result<(), Fault> {
        match stored {
            Stored::Command(bytes) => codec::decode::<Command>(bytes).map(drop),
            Stored::Snapshot(bytes) => codec::decode::<Snapshot<'_>>(bytes).map(drop),
        }
    }

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] for a snapshot that does not decode or is older than the current state.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), Fault> {
        let decoded: Snapshot<'_> = codec::decode(snapshot)?;
        if decoded.state.version < self.state.version {
            let context = format!(
                "snapshot of version {} is older than the current version {}",
                decoded.state.version, self.state.version
            );
            return Err(Fault::new(Kind::Internal, context));
        }
        *self = Self {
            exception_bytes: size::total_bytes(&decoded.state.document),
            state: decoded.state.into_owned(),
            config_version: decoded.config_version,
            records: decoded.records.into_owned(),
            history: History::from_parts(decoded.accepted.into_owned(), decoded.ids.into_owned()),
            published: decoded.published.into_owned(),
        };
        Ok(())
    }
}

/// Keeps the draining flag set for the rest of an incarnation, because heartbeats may arrive out of order.
fn retain_draining(present: Option<&Member>, member: &mut Member) {
    if let Some(present) = present
        && present.incarnation == member.incarnation
    {
        member.draining |= present.draining;
    }
}
