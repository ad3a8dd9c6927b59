//! Validated names of services, instances, availability zones and customers, and process incarnations.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Max length of a name.
pub const MAX_NAME_BYTES: usize = 128;

/// Error for a name that is empty, too long or has a character outside the accepted set.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("{kind} name {name:?}: expected 1 to {MAX_NAME_BYTES} characters of a-z A-Z 0-9 . _ : -")]
pub struct Invalid {
    kind: &'static str,
    name: String,
}

fn validate(kind: &'static str, name: &str) -> Result<(), Invalid> {
    let accepted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(accepted) {
        let name = name.chars().take(MAX_NAME_BYTES).collect();
        return Err(Invalid { kind, name });
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Validates a name.
            ///
            /// # Errors
            ///
            /// Returns [`Invalid`] for a name that is empty, longer than [`MAX_NAME_BYTES`] or has a character outside
            /// the accepted set.
            pub fn new(name: &str) -> Result<Self, Invalid> {
                validate($kind, name)?;
                Ok(Self(name.into()))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = Invalid;

            fn try_from(name: String) -> Result<Self, Invalid> {
                Self::new(&name)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Name of a service, which is a group of interchangeable workers.
    Service,
    "service"
);
name!(
    /// Name of an entry instance.
    Entry,
    "entry"
);
name!(
    /// Name of a worker, which is one upstream process.
    Worker,
    "worker"
);
name!(
    /// Name of a control instance.
    Control,
    "control"
);
name!(
    /// Name of an availability zone.
    Zone,
    "availability zone"
);
name!(
    /// Name of a customer, as the caller states it.
    Customer,
    "customer"
);

/// Number that increases with each start of an instance and distinguishes a restarted process from its predecessor.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);
