//! Configuration of the fleet: defaults, and exceptions that each state their reason.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Customer, Service};
use crate::rank::{PerRank, Rank};
use crate::version::Version;

pub mod validate;

pub use validate::Invalid;

macro_rules! settings {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $default:expr;)*) => {
        /// Effective value of every setting.
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

        /// Settings that an exception or an edit replaces; absent ones keep their value.
        // Absent fields are encoded too, because bincode writes no field names that could tell which are present.
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Overrides {
            $($(#[$doc])* pub $field: Option<$type>,)*
        }

        impl Settings {
            /// Replaces the settings that are present in `overrides`.
            pub fn apply(&mut self, overrides: &Overrides) {
                $(if let Some(value) = &overrides.$field {
                    self.$field = value.clone();
                })*
            }
        }

        impl Overrides {
            /// Returns whether no setting is replaced.
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
    /// Timeout of a request whose caller states none, in milliseconds.
    timeout_ms: u32 = 5_000;
    /// Min share of the registered workers of a service that must not be ejected, in percent.
    floor_percent: u8 = 70;
    /// Number of entry instances that serve a service.
    entries_per_service: u8 = 4;
    /// Max queued requests of a service at one entry, over all ranks.
    queue_limit: u32 = 256;
    /// Min share of the capacity for each rank while other ranks are overloaded, in percent.
    min_share_percent: PerRank<u8> = PerRank { top: 50, middle: 20, bottom: 5 };
    /// Retry budget, in percent of first attempts.
    retry_percent: u8 = 10;
    /// Retention of the claim of an at-most-once request, in seconds.
    once_retention_s: u32 = 3_600;
    /// Time for which callers may cache an answer with addresses, in milliseconds.
    address_ttl_ms: u32 = 3_000;
    /// Time over which the share of a new worker grows to its full value, in milliseconds.
    warm_up_ms: u32 = 5_000;
    /// Service-level objective: share of requests that succeed in time, in percent.
    objective_percent: PerRank<f64> = PerRank { top: 99.9, middle: 99.5, bottom: 95.0 };
}

/// Condition on requests; every stated field must match.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Match {
    /// Service of the request.
    pub service: Option<Service>,
    /// Prefix of the request's path; it matches whole path segments.
    pub path: Option<String>,
    /// Method of the request, in upper case.
    pub method: Option<String>,
    /// Customer of the request.
    pub customer: Option<Customer>,
}

/// Request, or service as a whole, for which settings are resolved.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Service of the request.
    pub service: &'a Service,
    /// Path of the request; without one, no exception on a path matches.
    pub path: Option<&'a str>,
    /// Method of the request; without one, no exception on a method matches.
    pub method: Option<&'a str>,
    /// Customer of the request; without one, no exception on a customer matches.
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
                .is_none_or(|p| target.path.is_some_and(|t| has_path_prefix(t, p)))
            && self
                .method
                .as_deref()
                .is_none_or(|m| target.method == Some(m))
            && self
                .customer
                .as_ref()
                .is_none_or(|c| target.customer == Some(c))
    }

    /// Returns a sort key from general to specific: customer before path before method before service.
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

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'))
}

/// Deviation from the defaults for some requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Unique name of the exception.
    pub id: String,
    /// Why the exception is needed.
    pub reason: String,
    /// Requests to which the exception applies.
    #[serde(rename = "match", default)]
    pub on: Match,
    /// Settings that the exception replaces.
    pub set: Overrides,
}

/// Complete configuration of the fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Settings of all requests that no exception covers.
    pub defaults: Settings,
    /// Exceptions by id.
    pub exceptions: BTreeMap<String, Exception>,
}

/// Single edit of a [`Change`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Replaces the defaults that are present.
    SetDefaults(Overrides),
    /// Adds an exception, or replaces the one with the same id.
    PutException(Exception),
    /// Removes the exception with this id.
    RemoveException(String),
}

/// A change that an operator proposes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id that identifies a resend of the change.
    pub id: String,
    /// Name of the operator who proposes the change.
    pub author: String,
    /// Why the change is made.
    pub reason: String,
    /// Version on which the operator based the change; a mismatch is a conflict.
    pub expected: Version,
    /// Edits, applied in order and atomically.
    pub edits: Vec<Edit>,
}

impl Document {
    /// Returns the settings for a target: the defaults, overridden by the matching exceptions from general to specific.
    ///
    /// Exceptions of equal specificity apply in the order of their ids.
    #[must_use]
    pub fn resolve(&self, target: &Target<'_>) -> Settings {
        let mut matching: Vec<_> = self
            .exceptions
            .values()
            .filter(|e| e.on.covers(target))
            .collect();
        matching.sort_by_key(|e| e.on.specificity());
        let mut settings = self.defaults.clone();
        for exception in matching {
            settings.apply(&exception.set);
        }
        settings
    }

    /// Returns a copy with `edits` applied and validated.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] with the path of the first invalid field.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<Self, Invalid> {
        let mut document = self.clone();
        for edit in edits {
            document.apply(edit)?;
        }
        validate::document(&document)?;
        Ok(document)
    }

    /// Validates `edits` without applying them.
    ///
    /// The cost of edits of exceptions depends only on the exceptions that they name, not on the size of the document;
    /// a change of the defaults is validated against all exceptions.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] with the path of the first invalid field.
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
        validate::exception_count(others + edited.exceptions.len())
    }

    /// Validates `edits` and applies them in place; on an error the document is unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] under the same conditions as [`Document::check`].
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
                let missing = || Invalid::new("exceptions", id, "the id of an existing exception");
                self.exceptions.remove(id).ok_or_else(missing)?;
            }
        }
        Ok(())
    }

    /// Returns the edits that turn `self` into `target`.
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

    /// Returns a copy with the defaults and only those exceptions that can match one of `services`.
    #[must_use]
    pub fn restricted_to(&self, services: &[Service]) -> Self {
        let can_match = |e: &Exception| e.on.service.as_ref().is_none_or(|s| services.contains(s));
        let exceptions = self.exceptions.iter().filter(|(_, e)| can_match(e));
        let exceptions = exceptions.map(|(id, e)| (id.clone(), e.clone())).collect();
        Self {
            defaults: self.defaults.clone(),
            exceptions,
        }
    }
}
