//! The fleet's configuration: one body of defaults and a list of exceptions with reasons.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Customer, Service};
use crate::rank::{PerRank, Rank};
use crate::version::Version;

pub mod validate;

pub use validate::Invalid;

macro_rules! settings {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $default:expr;)*) => {
        /// Every setting with its value.
        #[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Settings {
            $($(#[$doc])* pub $field: $type,)*
        }

        impl Default for Settings {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        /// Settings that an exception or an edit replaces; absent ones are kept.
        // Absent fields are still encoded, because bincode has no field names to tell which are present.
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Overrides {
            $($(#[$doc])* pub $field: Option<$type>,)*
        }

        impl Settings {
            /// Replaces the settings that `overrides` states.
            pub fn apply(&mut self, overrides: &Overrides) {
                $(if let Some(value) = &overrides.$field {
                    self.$field = value.clone();
                })*
            }
        }

        impl Overrides {
            /// Returns whether nothing is replaced.
            #[must_use]
            pub fn is_empty(&self) -> bool {
                $(self.$field.is_none() &&)* true
            }
        }
    };
}

settings! {
    /// Priority class of the request.
    rank: Rank = Rank::Middle;
    /// Whether a request may safely run more than once.
    idempotent: bool = false;
    /// Time for a request when its caller states none, in milliseconds.
    timeout_ms: u32 = 5_000;
    /// Share of a service's registered workers that ejection must leave, in percent.
    floor_percent: u8 = 70;
    /// Number of entry instances that serve a service.
    entries_per_service: u8 = 4;
    /// Requests of a service that may wait at one entry, over all ranks.
    queue_limit: u32 = 256;
    /// Share of the capacity that each rank keeps under a flood of the others, in percent.
    min_share_percent: PerRank<u8> = PerRank { top: 50, middle: 20, bottom: 5 };
    /// Retries allowed, in percent of first attempts.
    retry_percent: u8 = 10;
    /// Time for which a once-only claim is remembered, in seconds.
    once_retention_s: u32 = 3_600;
    /// Time for which callers may keep an address answer, in milliseconds.
    address_ttl_ms: u32 = 3_000;
    /// Time over which a new worker's share grows to the full one, in milliseconds.
    warm_up_ms: u32 = 5_000;
    /// Service-level objective: share of requests answered well and in time, in percent.
    objective_percent: PerRank<f64> = PerRank { top: 99.9, middle: 99.5, bottom: 95.0 };
}

/// Requests that an exception applies to; every stated field must match.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Match {
    /// Service of the request.
    pub service: Option<Service>,
    /// Prefix of the request's path; it matches whole path segments.
    pub path: Option<String>,
    /// Method of the request, in capitals.
    pub method: Option<String>,
    /// Customer of the request.
    pub customer: Option<Customer>,
}

/// What an exception is matched against.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Path of the request, if it is known.
    pub path: Option<&'a str>,
    /// Method of the request, if it is known.
    pub method: Option<&'a str>,
    /// Customer of the request, if it is known.
    pub customer: Option<&'a Customer>,
}

impl Match {
    /// Returns whether the target matches.
    #[must_use]
    pub fn covers(&self, target: &Target<'_>) -> bool {
        self.service.as_ref().is_none_or(|s| s == target.service)
            && self
                .path
                .as_deref()
                .is_none_or(|p| target.path.is_some_and(|t| has_prefix(t, p)))
            && self
                .method
                .as_deref()
                .is_none_or(|m| target.method == Some(m))
            && self
                .customer
                .as_ref()
                .is_none_or(|c| target.customer == Some(c))
    }

    /// Orders matches from general to specific: customer over path over method over service.
    fn specificity(&self) -> (bool, usize, bool, bool) {
        let path = self.path.as_ref().map_or(0, String::len);
        (
            self.customer.is_some(),
            path,
            self.method.is_some(),
            self.service.is_some(),
        )
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}

/// A deviation from the defaults, with the reason for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Unique name of the exception.
    pub id: String,
    /// Why the exception is needed.
    pub reason: String,
    /// Requests that it applies to.
    #[serde(rename = "match", default)]
    pub on: Match,
    /// Settings that it replaces.
    pub set: Overrides,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Settings of everything that no exception covers.
    pub defaults: Settings,
    /// Exceptions by id.
    pub exceptions: BTreeMap<String, Exception>,
}

/// One step of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Replaces the stated defaults.
    SetDefaults(Overrides),
    /// Adds or replaces an exception.
    PutException(Exception),
    /// Removes an exception.
    RemoveException(String),
}

/// A change that an operator proposes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id, by which a resend is recognised.
    pub id: String,
    /// Operator who proposes the change.
    pub author: String,
    /// Why the change is made.
    pub reason: String,
    /// Version that the operator has seen.
    pub expected: Version,
    /// Steps, applied together or not at all.
    pub edits: Vec<Edit>,
}

impl Document {
    /// Returns the settings for a target: the defaults, then the covering exceptions from general to specific.
    ///
    /// Exceptions of equal specificity apply in the order of their ids.
    #[must_use]
    pub fn resolve(&self, target: &Target<'_>) -> Settings {
        let mut covering: Vec<_> = self
            .exceptions
            .values()
            .filter(|e| e.on.covers(target))
            .collect();
        covering.sort_by_key(|e| e.on.specificity());
        let mut settings = self.defaults.clone();
        for exception in covering {
            settings.apply(&exception.set);
        }
        settings
    }

    /// Returns the document after `edits`, checked.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] with the path of the wrong field.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<Self, Invalid> {
        let mut document = self.clone();
        for edit in edits {
            document.apply(edit)?;
        }
        validate::document(&document)?;
        Ok(document)
    }

    /// Checks `edits` without applying them.
    ///
    /// Edits of exceptions cost no more than the exceptions that they name, however large the document is; a change of
    /// the defaults is checked against all exceptions.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] with the path of the wrong field.
    pub fn check(&self, edits: &[Edit]) -> Result<(), Invalid> {
        if edits.iter().any(|e| matches!(e, Edit::SetDefaults(_))) {
            return self.with_edits(edits).map(drop);
        }
        let ids = edits.iter().filter_map(|edit| match edit {
            Edit::SetDefaults(_) => None,
            Edit::PutException(exception) => Some(&exception.id),
            Edit::RemoveException(id) => Some(id),
        });
        let named = ids.filter_map(|id| self.exceptions.get_key_value(id));
        let named = Self {
            defaults: self.defaults.clone(),
            exceptions: named.map(|(id, e)| (id.clone(), e.clone())).collect(),
        };
        let others = self.exceptions.len() - named.exceptions.len();
        let edited = named.with_edits(edits)?;
        validate::number(others + edited.exceptions.len())
    }

    /// Applies `edits` in place, checked; on an error nothing is changed.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] as [`Document::check`] does.
    pub fn edit(&mut self, edits: &[Edit]) -> Result<(), Invalid> {
        self.check(edits)?;
        edits.iter().try_for_each(|edit| self.apply(edit))
    }

    fn apply(&mut self, edit: &Edit) -> Result<(), Invalid> {
        match edit {
            Edit::SetDefaults(overrides) => self.defaults.apply(overrides),
            Edit::PutException(exception) => {
                self.exceptions
                    .insert(exception.id.clone(), exception.clone());
            }
            Edit::RemoveException(id) => {
                let missing = || Invalid::new("exceptions", id, "the id of a present exception");
                self.exceptions.remove(id).ok_or_else(missing)?;
            }
        }
        Ok(())
    }

    /// Returns the edits that lead from `self` to `target`.
    #[must_use]
    pub fn diff(&self, target: &Self) -> Vec<Edit> {
        let mut edits = Vec::new();
        let overrides = validate::difference(&self.defaults, &target.defaults);
        if !overrides.is_empty() {
            edits.push(Edit::SetDefaults(overrides));
        }
        let removed = self
            .exceptions
            .keys()
            .filter(|id| !target.exceptions.contains_key(*id));
        edits.extend(removed.map(|id| Edit::RemoveException(id.clone())));
        let changed = target
            .exceptions
            .values()
            .filter(|e| self.exceptions.get(&e.id) != Some(e));
        edits.extend(changed.map(|e| Edit::PutException(e.clone())));
        edits
    }

    /// Returns the part that concerns `services`: the defaults and the exceptions that can match one of them.
    #[must_use]
    pub fn restricted_to(&self, services: &[Service]) -> Self {
        let concerns = |e: &Exception| e.on.service.as_ref().is_none_or(|s| services.contains(s));
        let exceptions = self.exceptions.iter().filter(|(_, e)| concerns(e));
        let exceptions = exceptions.map(|(id, e)| (id.clone(), e.clone())).collect();
        Self {
            defaults: self.defaults.clone(),
            exceptions,
        }
    }
}
