//! Derives whether a worker executed a request. All code that reports this uses this module.

use chestnutvalve_model::error::Executed;

/// Progress of an attempt, or the worker's statement about it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// No byte of the request was written.
    NotSent,
    /// The worker's host refused the connection.
    ConnectRefused,
    /// The worker refused the stream before processing it (HTTP/2 `REFUSED_STREAM`, or a stream above the last one in a
    /// `GOAWAY`).
    StreamRefused,
    /// At least one byte of the request may have been written, and no response head was received.
    Sent,
    /// The worker responded that it didn't execute the request.
    ShedByWorker,
    /// A response head was received.
    Answered,
}

/// Returns whether a request was executed in one attempt at this stage.
#[must_use]
pub fn executed(stage: &Stage) -> Executed {
    match stage {
        Stage::NotSent | Stage::ConnectRefused | Stage::StreamRefused | Stage::ShedByWorker => {
            Executed::No
        }
        Stage::Sent => Executed::Unknown,
        Stage::Answered => Executed::Yes,
    }
}

/// Returns whether a request was executed in any of its attempts.
///
/// One attempt with an unknown outcome keeps the request from being reported as not executed, even if a later attempt
/// was refused.
pub fn executed_in_any<'a>(stages: impl IntoIterator<Item = &'a Stage>) -> Executed {
    let mut result = Executed::No;
    for stage in stages {
        match executed(stage) {
            Executed::Yes => return Executed::Yes,
            Executed::Unknown => result = Executed::Unknown,
            Executed::No => {}
        }
    }
    result
}
