//! Validation of the configuration, and the difference between two sets of defaults.

use std::fmt::Display;

use super::{Document, Exception, Overrides, Settings};

/// Max exceptions of one document.
pub const MAX_EXCEPTIONS: usize = 200_000;
/// Max length of an id, reason or path.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// Error for an invalid value.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("{path}: {value:?} is not allowed; expected {expected}")]
pub struct Invalid {
    /// Path of the field within the document, such as `defaults.timeout_ms`.
    pub path: String,
    /// Value that was found.
    pub value: String,
    /// Description of the allowed values.
    pub expected: String,
}

impl Invalid {
    /// Creates the error for the field at `path`.
    pub fn new(path: impl Into<String>, value: impl Display, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            value: value.to_string(),
            expected: expected.into(),
        }
    }
}

/// Validates a whole document.
///
/// # Errors
///
/// Returns the first invalid field.
pub fn document(document: &Document) -> Result<(), Invalid> {
    settings("defaults", &document.defaults)?;
    exception_count(document.exceptions.len())?;
    for (key, exception) in &document.exceptions {
        check_exception(document, key, exception)?;
    }
    Ok(())
}

pub(super) fn exception_count(exceptions: usize) -> Result<(), Invalid> {
    if exceptions > MAX_EXCEPTIONS {
        let expected = format!("at most {MAX_EXCEPTIONS} exceptions");
        return Err(Invalid::new("exceptions", exceptions, expected));
    }
    Ok(())
}

fn check_exception(document: &Document, key: &str, exception: &Exception) -> Result<(), Invalid> {
    let path = format!("exceptions.{key}");
    if exception.id != *key {
        return Err(Invalid::new(
            format!("{path}.id"),
            &exception.id,
            format!("the key {key:?}"),
        ));
    }
    text(&format!("{path}.id"), &exception.id)?;
    text(&format!("{path}.reason"), &exception.reason)?;
    if let Some(prefix) = &exception.on.path {
        text(&format!("{path}.match.path"), prefix)?;
        if !prefix.starts_with('/') {
            let field = format!("{path}.match.path");
            return Err(Invalid::new(field, prefix, "a path that starts with /"));
        }
    }
    if exception.set.is_empty() {
        return Err(Invalid::new(
            format!("{path}.set"),
            "{}",
            "at least one setting",
        ));
    }
    check_scope(&path, exception)?;
    let mut effective = document.defaults.clone();
    effective.apply(&exception.set);
    settings(&format!("{path}.set"), &effective)
}

/// Rejects an exception on a path, method or customer that sets a service-wide setting, which can't depend on one
/// request.
fn check_scope(path: &str, exception: &Exception) -> Result<(), Invalid> {
    let on = &exception.on;
    if on.path.is_none() && on.method.is_none() && on.customer.is_none() {
        return Ok(());
    }
    let set = &exception.set;
    let service_wide = [
        ("floor_percent", set.floor_percent.is_some()),
        ("entries_per_service", set.entries_per_service.is_some()),
        ("queue_limit", set.queue_limit.is_some()),
        ("min_share_percent", set.min_share_percent.is_some()),
        ("address_ttl_ms", set.address_ttl_ms.is_some()),
        ("warm_up_ms", set.warm_up_ms.is_some()),
        ("objective_percent", set.objective_percent.is_some()),
    ];
    match service_wide.iter().find(|(_, is_set)| *is_set) {
        Some((name, _)) => {
            let expected = "a match on the service alone, because the setting is service-wide";
            Err(Invalid::new(format!("{path}.set.{name}"), name, expected))
        }
        None => Ok(()),
    }
}

fn text(path: &str, value: &str) -> Result<(), Invalid> {
    if value.trim().is_empty() || value.len() > MAX_TEXT_BYTES {
        return Err(Invalid::new(
            path,
            value,
            format!("1 to {MAX_TEXT_BYTES} bytes of text"),
        ));
    }
    Ok(())
}

fn settings(path: &str, s: &Settings) -> Result<(), Invalid> {
    let check_range = |name: &str, value: u64, lowest: u64, highest: u64| {
        if (lowest..=highest).contains(&value) {
            return Ok(());
        }
        Err(Invalid::new(
            format!("{path}.{name}"),
            value,
            format!("{lowest} to {highest}"),
        ))
    };
    check_range("timeout_ms", s.timeout_ms.into(), 10, 3_600_000)?;
    check_range("floor_percent", s.floor_percent.into(), 10, 100)?;
    check_range("entries_per_service", s.entries_per_service.into(), 2, 64)?;
    check_range("queue_limit", s.queue_limit.into(), 1, 100_000)?;
    check_range("retry_percent", s.retry_percent.into(), 0, 50)?;
    check_range("once_retention_s", s.once_retention_s.into(), 60, 604_800)?;
    // A request must end well before its claim expires, or a resend could run while the first request still runs.
    let max_timeout_ms = u64::from(s.once_retention_s) * 1_000 / 2;
    if !s.idempotent {
        check_range("timeout_ms", s.timeout_ms.into(), 10, max_timeout_ms)?;
    }
    check_range("address_ttl_ms", s.address_ttl_ms.into(), 100, 60_000)?;
    check_range("warm_up_ms", s.warm_up_ms.into(), 0, 600_000)?;
    let share = &s.min_share_percent;
    let sum = u64::from(share.top) + u64::from(share.middle) + u64::from(share.bottom);
    check_range("min_share_percent (sum)", sum, 0, 100)?;
    let objective = &s.objective_percent;
    for (name, value) in [
        ("top", objective.top),
        ("middle", objective.middle),
        ("bottom", objective.bottom),
    ] {
        if !(50.0..100.0).contains(&value) {
            let field = format!("{path}.objective_percent.{name}");
            return Err(Invalid::new(field, value, "50 or more and less than 100"));
        }
    }
    Ok(())
}

/// Returns the overrides that turn `from` into `to`.
#[must_use]
pub fn difference(from: &Settings, to: &Settings) -> Overrides {
    fn changed<T: Clone + PartialEq>(from: &T, to: &T) -> Option<T> {
        (from != to).then(|| to.clone())
    }
    Overrides {
        rank: changed(&from.rank, &to.rank),
        idempotent: changed(&from.idempotent, &to.idempotent),
        timeout_ms: changed(&from.timeout_ms, &to.timeout_ms),
        floor_percent: changed(&from.floor_percent, &to.floor_percent),
        entries_per_service: changed(&from.entries_per_service, &to.entries_per_service),
        queue_limit: changed(&from.queue_limit, &to.queue_limit),
        min_share_percent: changed(&from.min_share_percent, &to.min_share_percent),
        retry_percent: changed(&from.retry_percent, &to.retry_percent),
        once_retention_s: changed(&from.once_retention_s, &to.once_retention_s),
        address_ttl_ms: changed(&from.address_ttl_ms, &to.address_ttl_ms),
        warm_up_ms: changed(&from.warm_up_ms, &to.warm_up_ms),
        objective_percent: changed(&from.objective_percent, &to.objective_percent),
    }
}
