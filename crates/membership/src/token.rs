//! Challenge tokens of the worker registry.

use std::fmt;
use std::str::FromStr;

use chestnutvalve_model::id::{Entry, Incarnation};

/// Challenge that stands for the instant at which this process issued it.
///
/// It names the issuing process, so that a token of another entry or of an earlier run proves nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Issuing entry.
    pub entry: Entry,
    /// Start counter of the issuing process.
    pub incarnation: Incarnation,
    /// Number of the token within the process.
    pub counter: u64,
}

/// Text that is not a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Invalid;

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:x}/{:x}/{}",
            self.counter, self.incarnation.0, self.entry
        )
    }
}

impl FromStr for Token {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let mut parts = text.splitn(3, '/');
        let mut number = || {
            let part = parts.next().ok_or(Invalid)?;
            u64::from_str_radix(part, 16).map_err(|_| Invalid)
        };
        let (counter, incarnation) = (number()?, Incarnation(number()?));
        let entry = Entry::new(parts.next().ok_or(Invalid)?).map_err(|_| Invalid)?;
        Ok(Self {
            entry,
            incarnation,
            counter,
        })
    }
}
