//! Errors of commands and their exit codes.

use chestnutvalve_model::config::Edit;
use chestnutvalve_model::version::Version;

/// Exit code of a command that failed.
pub const FAILED: u8 = 1;
/// Exit code for wrong usage, settings or documents, the same as that of the argument parser.
pub const USAGE: u8 = 2;
/// Exit code of a change that conflicts with another one.
pub const CONFLICT: u8 = 3;
/// Exit code of a change whose outcome, or whose effect everywhere, was not confirmed.
pub const UNCONFIRMED: u8 = 4;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command or its input is wrong; nothing was changed.
    #[error("{0}")]
    Usage(String),
    /// The command failed; nothing was changed.
    #[error("{0}")]
    Failed(String),
    /// Another change was accepted since the expected version; nothing was changed.
    #[error("{context}")]
    Conflict {
        /// What the control instance answered.
        context: String,
        /// Version of the last accepted change.
        current: Option<Version>,
        /// Edits since the expected version, while the control instances keep them.
        difference: Option<Vec<Edit>>,
    },
    /// It is not known whether the change was accepted, or not confirmed that it is in force everywhere.
    #[error("{0}")]
    Unconfirmed(String),
}

impl Error {
    /// Returns the exit code.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => USAGE,
            Self::Failed(_) => FAILED,
            Self::Conflict { .. } => CONFLICT,
            Self::Unconfirmed(_) => UNCONFIRMED,
        }
    }

    /// Names the group that a failed action was for.
    #[must_use]
    pub fn in_group(self, group: &str) -> Self {
        match self {
            Self::Usage(context) => Self::Usage(format!("{group}: {context}")),
            Self::Failed(context) => Self::Failed(format!("{group}: {context}")),
            Self::Unconfirmed(context) => Self::Unconfirmed(format!("{group}: {context}")),
            conflict @ Self::Conflict { .. } => conflict,
        }
    }
}
