//! Publication of a complete route table, with compare-and-set on the operator's labels.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use chestnutvalve_model::control::Step;
use chestnutvalve_model::error::{Fault, Kind};
use chestnutvalve_model::routes::{Publication, Table};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::Store;

/// Number of accepted documents whose digests are retained to recognize resends. Resends arrive within seconds, and a day
/// has a few hundred publications.
const MAX_ACCEPTED_DIGESTS: usize = 4_096;

/// Document in force, and the digests of all recently accepted documents.
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
pub struct PublishedRoutes {
    source: Vec<u8>,
    accepted_digests: VecDeque<u128>,
}

impl fmt::Debug for PublishedRoutes {
    /// Omits the document, which contains the API keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PublishedRoutes")
            .field("accepted_digests", &self.accepted_digests)
            .finish_non_exhaustive()
    }
}

impl PublishedRoutes {
    /// Returns the operator's document in force, `None` before the first publication.
    #[must_use]
    pub fn source(&self) -> Option<&[u8]> {
        (!self.source.is_empty()).then_some(&self.source)
    }

    fn has_accepted(&self, digest: u128) -> bool {
        self.accepted_digests.contains(&digest)
    }
}

impl Store {
    /// Returns the document in force and the accepted digests.
    #[must_use]
    pub fn published(&self) -> &PublishedRoutes {
        &self.published
    }

    /// Validates a publication; returns whether the same document was accepted before.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidChange`] for an invalid field or a label that does not increase, and
    /// [`Kind::VersionConflict`] when the table in force is not the one that the publication replaces.
    pub fn check_publication(&self, publication: &Publication) -> Result<bool, Fault> {
        Ok(self.build_table(publication)?.is_none())
    }

    /// Returns the table of a publication, or `None` if the same document was accepted before.
    fn build_table(&self, publication: &Publication) -> Result<Option<Table>, Fault> {
        if self.published.has_accepted(xxh3_128(&publication.source)) {
            return Ok(None);
        }
        let (current, base) = (self.state.routes.label, publication.base);
        if base != current {
            let context = format!("base is version {base:x}, but version {current:x} is in force");
            return Err(Fault::new(Kind::VersionConflict, context));
        }
        if publication.label <= current {
            let label = publication.label;
            let context = format!("expected a version above {current:x}, found {label:x}");
            return Err(Fault::new(Kind::InvalidChange, context));
        }
        let table = publication.table();
        let table = table.map_err(|e| Fault::new(Kind::InvalidChange, e.to_string()))?;
        Ok(Some(table))
    }

    /// Applies a publication; returns the label in force.
    pub(super) fn apply_publication(
        &mut self,
        term: u64,
        publication: Publication,
    ) -> Result<u64, Fault> {
        let Some(table) = self.build_table(&publication)? else {
            return Ok(self.state.routes.label);
        };
        let delta = self.state.routes.delta(&table);
        self.published
            .accepted_digests
            .push_back(xxh3_128(&publication.source));
        if self.published.accepted_digests.len() > MAX_ACCEPTED_DIGESTS {
            self.published.accepted_digests.pop_front();
        }
        self.published.source = publication.source;
        Arc::make_mut(&mut self.state.routes).apply(&delta);
        self.append_record(term, Step::Routes(delta), Vec::new());
        Ok(publication.label)
    }
}
