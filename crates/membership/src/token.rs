//! Challenge tokens that the worker registry issues.

use std::fmt;
use std::str::FromStr;

use chestnutvalve_model::id::{Entry, Incarnation};

/// Challenge that identifies the instant at which a process issued it; a worker proves its liveness by returning it.
///
/// It names the issuing process, so that a token of another entry or of an earlier incarnation proves nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Entry that issued the token.
    pub entry: Entry,
    /// Start counter of the issuing process.
    pub incarnation: Incarnation,
    /// Sequence number of the token within the process.
    pub counter: u64,
}

/// Error for text that is not a valid token.
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
        let mut parse_hex = || {
            let part = parts.next().ok_or(Invalid)?;
            u64::from_str_radix(part, 16).map_err(|_| Invalid)
        };
        let (counter, incarnation) = (parse_hex()?, Incarnation(parse_hex()?));
        let entry = Entry::new(parts.next().ok_or(Invalid)?).map_err(|_| Invalid)?;
        Ok(Self {
            entry,
            incarnation,
            counter,
        })
    }
}
