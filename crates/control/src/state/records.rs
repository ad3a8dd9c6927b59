//! Recent records, from which lagging watchers catch up.

use std::collections::VecDeque;

use chestnutvalve_model::config::{Document, Edit, Exception};
use chestnutvalve_model::control::{Record, Step};
use chestnutvalve_model::id::Service;
use chestnutvalve_model::version::Version;
use serde::{Deserialize, Serialize};

use crate::codec;

/// Maximum number of retained records.
pub const MAX_RECORDS: usize = 4_096;
/// Maximum encoded size of the retained records, in bytes.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Services that an edit's exception applied to before the edit replaced or removed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Scope {
    /// The exception did not exist.
    Absent,
    /// The exception applied to all services.
    All,
    /// The exception applied to one service.
    One(Service),
}

impl Scope {
    fn of(exception: Option<&Exception>) -> Self {
        match exception.map(|e| &e.on.service) {
            None => Self::Absent,
            Some(None) => Self::All,
            Some(Some(service)) => Self::One(service.clone()),
        }
    }

    fn covers(&self, services: &[Service]) -> bool {
        match self {
            Self::Absent => false,
            Self::All => true,
            Self::One(service) => services.contains(service),
        }
    }
}

/// Returns for each edit what its exception applied to just before that edit.
#[must_use]
pub fn prior_scopes(document: &Document, edits: &[Edit]) -> Vec<Scope> {
    let mut scope_by_id = std::collections::BTreeMap::new();
    let mut before = |id: &str, after: Scope| {
        let present = || Scope::of(document.exceptions.get(id));
        let replaced = scope_by_id.insert(id.to_owned(), after);
        replaced.unwrap_or_else(present)
    };
    let scope = |edit: &Edit| match edit {
        Edit::SetDefaults(_) => Scope::Absent,
        Edit::PutException(e) => before(&e.id, Scope::of(Some(e))),
        Edit::RemoveException(id) => before(id, Scope::Absent),
    };
    edits.iter().map(scope).collect()
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct RetainedRecord {
    record: Record,
    scopes: Vec<Scope>,
    bytes: usize,
}

/// Bounded sequence of consecutive records.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Records {
    /// Version that the first retained record follows.
    base: Version,
    retained: VecDeque<RetainedRecord>,
    bytes: usize,
}

impl Records {
    /// Adds the record that follows version `before` and drops the oldest records that exceed the limits.
    pub(super) fn push(&mut self, before: Version, record: Record, scopes: Vec<Scope>) {
        if self.retained.is_empty() {
            self.base = before;
        }
        let bytes = codec::encode(&record).len();
        self.bytes += bytes;
        self.retained.push_back(RetainedRecord {
            record,
            scopes,
            bytes,
        });
        while self.retained.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.retained.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes;
            self.base = oldest.record.version;
        }
    }

    /// Returns the records after `version`, or `None` when no retained record has that version.
    ///
    /// The version must match exactly: after a forced recovery a watcher may have a version that was discarded.
    #[must_use]
    pub fn after(&self, version: Version) -> Option<impl Iterator<Item = &Record>> {
        let retained = self.position(version)?;
        Some(self.retained.range(retained..).map(|r| &r.record))
    }

    /// Returns the records after `version`, reduced to the edits that affect `services`; `None` keeps all edits.
    #[must_use]
    pub fn for_services(
        &self,
        version: Version,
        services: Option<&[Service]>,
    ) -> Option<Vec<Record>> {
        let position = self.position(version)?;
        let retained = self.retained.range(position..);
        Some(match services {
            None => retained.map(|r| r.record.clone()).collect(),
            Some(services) => retained.map(|r| r.for_services(services)).collect(),
        })
    }

    fn position(&self, version: Version) -> Option<usize> {
        if version == self.base {
            return Some(0);
        }
        let found = self
            .retained
            .binary_search_by_key(&version, |r| r.record.version);
        found.ok().map(|at| at + 1)
    }
}

impl RetainedRecord {
    fn for_services(&self, services: &[Service]) -> Record {
        let Step::Edits(edits) = &self.record.step else {
            return self.record.clone();
        };
        let edits = edits.iter().zip(&self.scopes);
        let edits = edits.filter_map(|(edit, scope)| edit_for_services(edit, scope, services));
        Record {
            version: self.record.version,
            step: Step::Edits(edits.collect()),
        }
    }
}

/// Translates an edit for a watcher that follows only `services`.
///
/// An exception that moves to another service is a removal for watchers of its former service. A removal is sent only
/// to watchers that have the exception, because removing an absent one is an error.
fn edit_for_services(edit: &Edit, before: &Scope, services: &[Service]) -> Option<Edit> {
    let covered_before = before.covers(services);
    match edit {
        Edit::SetDefaults(_) => Some(edit.clone()),
        Edit::PutException(e) if Scope::of(Some(e)).covers(services) => Some(edit.clone()),
        Edit::PutException(e) => covered_before.then(|| Edit::RemoveException(e.id.clone())),
        Edit::RemoveException(_) => covered_before.then(|| edit.clone()),
    }
}
