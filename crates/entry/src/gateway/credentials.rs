//! Authentication of callers by the API keys of the route table, and the headers that state the customer to workers.

use std::fmt;
use std::sync::Arc;

use chestnutvalve_model::account::{Account, Registry};
use http::{HeaderMap, HeaderName, HeaderValue};

use super::dialect::Dialect;

/// Why a request has no account. It contains nothing that the caller sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// There is no header with a key.
    Missing,
    /// There are several headers with keys.
    Duplicate,
    /// The header does not have the form that the dialect states.
    Malformed,
    /// No customer has the key.
    Unknown,
}

impl Rejection {
    /// Returns the lower-case name used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Duplicate => "duplicate",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "no API key",
            Self::Duplicate => "more than one API key",
            Self::Malformed => "a malformed API key",
            Self::Unknown => "an API key that no customer has",
        })
    }
}

/// Returns the account on whose behalf a request is made. Without accounts there is none. A request on a public route is accepted
/// without a valid key too, and then has none.
///
/// # Errors
///
/// Rejects a request without exactly one valid key on a route that is not public.
pub fn authenticate(
    accounts: &Registry,
    is_public: bool,
    dialect: &Dialect,
    headers: &HeaderMap,
) -> Result<Option<Arc<Account>>, Rejection> {
    if accounts.is_empty() {
        return Ok(None);
    }
    match find_account(accounts, dialect, headers) {
        Ok(account) => Ok(Some(Arc::clone(account))),
        Err(_) if is_public => Ok(None),
        Err(rejection) => Err(rejection),
    }
}

fn find_account<'a>(
    accounts: &'a Registry,
    dialect: &Dialect,
    headers: &HeaderMap,
) -> Result<&'a Arc<Account>, Rejection> {
    let mut sent = headers.get_all(&dialect.credentials).iter();
    let header = sent.next().ok_or(Rejection::Missing)?;
    if sent.next().is_some() {
        return Err(Rejection::Duplicate);
    }
    let key = parse_key(dialect.scheme, header).ok_or(Rejection::Malformed)?;
    accounts.of_key(key).ok_or(Rejection::Unknown)
}

/// Returns the key of a header of the form `SCHEME KEY`. The scheme is case-insensitive, as in all HTTP authentication.
fn parse_key<'a>(scheme: &str, header: &'a HeaderValue) -> Option<&'a str> {
    // Keys may have characters outside ASCII, which `HeaderValue::to_str` refuses.
    let text = std::str::from_utf8(header.as_bytes()).ok()?;
    let (found, key) = text.split_once(' ')?;
    let key = key.trim_matches(' ');
    (found.eq_ignore_ascii_case(scheme) && !key.is_empty()).then_some(key)
}

/// Replaces the caller's credentials and customer headers by the name of the account's customer. The headers that apply to a single
/// connection must have been removed before, because a caller may name any header as one of them.
pub fn replace(headers: &mut HeaderMap, dialect: &Dialect, account: Option<&Account>) {
    let replaced = [&dialect.credentials, &dialect.customer];
    let names = headers.keys();
    let names = names.filter(|name| replaced.iter().any(|wanted| is_same(name, wanted)));
    let names: Vec<HeaderName> = names.cloned().collect();
    for name in names {
        headers.remove(name);
    }
    // The characters of a customer's name are valid in a header.
    let name = account.and_then(|a| HeaderValue::from_str(a.customer.as_str()).ok());
    if let Some(name) = name {
        headers.insert(&dialect.customer, name);
    }
}

/// Returns whether a worker may take a header for another one: servers that pass headers as variables don't tell `_` from `-`.
fn is_same(name: &HeaderName, wanted: &HeaderName) -> bool {
    let name = name.as_str().bytes();
    let name = name.map(|byte| if byte == b'_' { b'-' } else { byte });
    name.eq(wanted.as_str().bytes())
}
