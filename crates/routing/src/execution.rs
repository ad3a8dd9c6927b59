//! Sole authority on whether a request was executed.

use chestnutvalve_model::error::Executed;

/// How far an attempt got, or what the worker said about it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// No byte of the request was written.
    NotSent,
    /// The worker's host refused the connection.
    ConnectRefused,
    /// The worker refused the stream before processing it (HTTP/2 `REFUSED_STREAM`, or above the last stream of a `GOAWAY`).
    StreamRefused,
    /// At least one byte of the request may have been written and no response head arrived.
    Sent,
    /// The worker answered that it did not execute the request.
    ShedByWorker,
    /// A response head arrived.
    Answered,
}

/// Returns what is known about execution after one attempt.
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

/// Returns what is known about execution after all attempts of a request.
///
/// One attempt of unknown outcome keeps the request from being reported as not executed, even when a later attempt
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
