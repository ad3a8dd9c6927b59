//! State machine of the configuration and the entry directory.

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
use crate::replica::Committed;

pub mod change;
pub mod history;
pub mod publish;
pub mod records;
pub mod size;

pub use change::Refusal;
pub use history::{Accepted, History};
pub use publish::Published;
pub use records::Records;

/// Command in the log of the config group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// A change of the configuration by an operator.
    Change(Change),
    /// Steps of the entry directory, in order.
    Directory(Vec<Step>),
    /// Replacement of all routes by an operator.
    Publish(Publication),
    /// Events of registered workers, in order.
    Workers(Vec<Event>),
}

/// Result of a [`Command::Change`].
pub type Outcome = Result<Version, Refusal>;

/// The replicated state with the records and results that are kept for resends and late watchers.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: State,
    /// Version of the last accepted change of the configuration.
    changed: Version,
    /// Encoded size of all exceptions.
    bytes: usize,
    records: Records,
    history: History,
    published: Published,
}

#[derive(Deserialize, Serialize)]
struct Saved<'a> {
    state: Cow<'a, State>,
    changed: Version,
    records: Cow<'a, Records>,
    accepted: Cow<'a, VecDeque<Accepted>>,
    ids: Cow<'a, VecDeque<history::Known>>,
    published: Cow<'a, Published>,
}

impl Store {
    /// Returns the state that entries follow.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the version of the last accepted change of the configuration.
    #[must_use]
    pub fn changed(&self) -> Version {
        self.changed
    }

    /// Returns the kept records.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Returns the accepted changes and their ids.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Applies a committed command and returns the encoded result.
    ///
    /// The result depends only on the state and the command, so that it is the same at every replica.
    pub fn apply(&mut self, committed: Committed<'_>) -> Vec<u8> {
        match codec::decode(committed.command) {
            Ok(Command::Change(change)) => codec::encode(&self.change(committed.term, change)),
            Ok(Command::Directory(steps)) => {
                for step in steps {
                    self.direct(committed.term, step);
                }
                codec::encode(&self.state.version)
            }
            Ok(Command::Publish(publication)) => {
                codec::encode(&self.publish(committed.term, publication))
            }
            Ok(Command::Workers(events)) => {
                for event in events {
                    if self.state.roster.would_change(&event) {
                        Arc::make_mut(&mut self.state.roster).apply(&event);
                        self.push(committed.term, Step::Worker(event), Vec::new());
                    }
                }
                codec::encode(&self.state.version)
            }
            Err(fault) => codec::encode::<Outcome>(&Err(fault.into())),
        }
    }

    fn change(&mut self, term: u64, change: Change) -> Outcome {
        if let Some(first) = self.check(&change)? {
            return Ok(first);
        }
        let scopes = records::scopes(&self.state.document, &change.edits);
        let before = size::named(&self.state.document, &change.edits);
        let edited = self.state.document.edit(&change.edits);
        edited.map_err(|e| Fault::new(Kind::InvalidChange, e.to_string()))?;
        self.bytes += size::named(&self.state.document, &change.edits);
        self.bytes -= before;
        let version = self.push(term, Step::Edits(change.edits.clone()), scopes);
        self.changed = version;
        self.history.push(version, change);
        Ok(version)
    }

    fn direct(&mut self, term: u64, mut step: Step) {
        let entry = match &step {
            Step::Edits(_) | Step::Routes(_) | Step::Worker(_) => return,
            Step::Join(member) => member.entry.clone(),
            Step::Leave { entry, .. } => entry.clone(),
            Step::Resize { service, owners } => {
                let before = self.state.owners.get(service).copied();
                self.state.resize(service, *owners);
                if self.state.owners.get(service).copied() != before {
                    self.push(term, step, Vec::new());
                }
                return;
            }
        };
        let directory = &mut self.state.directory;
        let before = directory.members.get(&entry).cloned();
        match &mut step {
            Step::Edits(_) | Step::Resize { .. } | Step::Routes(_) | Step::Worker(_) => return,
            Step::Join(member) => {
                keep_draining(before.as_ref(), member);
                directory.join(member);
            }
            Step::Leave { entry, incarnation } => directory.leave(entry, *incarnation),
        }
        if directory.members.get(&entry) != before.as_ref() {
            self.push(term, step, Vec::new());
        }
    }

    fn push(&mut self, term: u64, step: Step, scopes: Vec<records::Scope>) -> Version {
        let version = Version {
            term,
            revision: self.state.version.revision + 1,
        };
        let record = Record { version, step };
        self.records.push(self.state.version, record, scopes);
        self.state.version = version;
        version
    }

    /// Returns the edits of the kept changes after `version`, or `None` when they are no longer all kept.
    #[must_use]
    pub fn edits_after(&self, version: Version) -> Option<Vec<Edit>> {
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

    /// Returns a snapshot.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        codec::encode(&Saved {
            state: Cow::Borrowed(&self.state),
            changed: self.changed,
            records: Cow::Borrowed(&self.records),
            accepted: Cow::Borrowed(self.history.accepted()),
            ids: Cow::Borrowed(self.history.known()),
            published: Cow::Borrowed(&self.published),
        })
    }

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] for a snapshot that does not decode or is older than the present state.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<(), Fault> {
        let saved: Saved<'_> = codec::decode(snapshot)?;
        if saved.state.version < self.state.version {
            let context = format!(
                "snapshot of version {} is older than {}",
                saved.state.version, self.state.version
            );
            return Err(Fault::new(Kind::Internal, context));
        }
        *self = Self {
            bytes: size::of(&saved.state.document),
            state: saved.state.into_owned(),
            changed: saved.changed,
            records: saved.records.into_owned(),
            history: History::from_parts(saved.accepted.into_owned(), saved.ids.into_owned()),
            published: saved.published.into_owned(),
        };
        Ok(())
    }
}

/// Keeps the draining flag of one incarnation, because heartbeats may arrive out of order.
fn keep_draining(present: Option<&Member>, member: &mut Member) {
    if let Some(present) = present
        && present.incarnation == member.incarnation
    {
        member.draining |= present.draining;
    }
}
