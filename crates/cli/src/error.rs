//! Command errors and their exit codes.

use chestnutvalve_model::config::Edit;
use chestnutvalve_model::version::Version;

/// Exit code of a failed command that changed nothing.
pub const FAILED: u8 = 1;
/// Exit code for invalid arguments, settings or documents. The argument parser uses the same code.
pub const USAGE: u8 = 2;
/// Exit code of a change that conflicts with a change accepted before it.
pub const CONFLICT: u8 = 3;
/// Exit code of a change that is not confirmed as accepted, or as in force at all entries.
pub const UNCONFIRMED: u8 = 4;

/// Error of a command, classified by its exit code.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command or its input is invalid; nothing was changed.
    #[error("{0}")]
    Usage(String),
    /// The command failed; nothing was changed.
    #[error("{0}")]
    Failed(String),
    /// Another change was accepted since the expected version; nothing was changed.
    #[error("{context}")]
    Conflict {
        /// Error text of the control instance.
        context: String,
        /// Version of the last accepted change.
        current: Option<Version>,
        /// Edits since the expected version; `None` if the control instances no longer keep them.
        difference: Option<Vec<Edit>>,
    },
    /// The change may or may not have been accepted, or it is accepted but not confirmed as in force everywhere.
    #[error("{0}")]
    Unconfirmed(String),
}

impl Error {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => USAGE,
            Self::Failed(_) => FAILED,
            Self::Conflict { .. } => CONFLICT,
            Self::Unconfirmed(_) => UNCONFIRMED,
        }
    }

    /// Prefixes the message with the group that the action applied to. Conflicts stay as they are.
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
