//! Versions of the replicated state.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Version of the replicated state; instances only advance to higher versions.
///
/// The term is compared first, so a forced recovery, which raises the term, supersedes every revision accepted before.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version {
    /// Consensus term of the log entry that produced the revision.
    pub term: u64,
    /// Number of accepted changes so far.
    pub revision: u64,
}

impl Version {
    /// Version before the first change.
    pub const ZERO: Self = Self {
        term: 0,
        revision: 0,
    };
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.revision)
    }
}

/// Error for text that is not of the form `TERM.REVISION`.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("version {0:?}: expected TERM.REVISION, for example 3.17")]
pub struct Invalid(String);

impl FromStr for Version {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let invalid = || Invalid(text.to_owned());
        let (term, revision) = text.split_once('.').ok_or_else(invalid)?;
        let parse = |part: &str| part.parse().map_err(|_: ParseIntError| invalid());
        Ok(Self {
            term: parse(term)?,
            revision: parse(revision)?,
        })
    }
}
