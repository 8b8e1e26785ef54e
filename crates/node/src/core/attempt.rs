//! How an attempt failed, by how much of it had been sent, and the outcome that the dispatcher is given for
//! it.
use corkbay::Outcome;

/// Why an attempt ended without an answer from its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// The connection broke.
    ConnectionLost,
    /// The time limit passed without an answer.
    TimedOut,
    /// The attempt was cancelled.
    Cancelled,
    /// Sending was not allowed: the worker accepts no more attempts, no file descriptor was free for it, or
    /// its send deadline had passed.
    SendNotAllowed,
}

/// An answer of a worker other than a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRefusal {
    /// The model is not loaded on the worker; the call did not run.
    NotLoaded,
    /// The worker is at capacity; the call did not run.
    Full,
    /// The call failed; it may have run.
    Failed,
    /// The request had already ended; the call did not run.
    RequestEnded,
}

/// The end of an attempt that produced no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection could be established.
    ConnectFailed,
    /// The attempt was not sent completely, so it cannot have run.
    NotFullySent(AbortReason),
    /// The attempt was sent completely, so it may have run.
    Unanswered(AbortReason),
    /// The worker answered without a result.
    Answered(WorkerRefusal),
}

impl AttemptError {
    /// The outcome reported to the dispatcher. Attempt errors are mapped to outcomes only here.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptError::ConnectFailed | AttemptError::NotFullySent(AbortReason::TimedOut) => {
                Outcome::ConnectFailed
            }
            // A connection that broke while it carried other exchanges does not show that its worker is
            // unreachable.
            AttemptError::NotFullySent(
                AbortReason::ConnectionLost | AbortReason::Cancelled | AbortReason::SendNotAllowed,
            ) => Outcome::Moot,
            AttemptError::Unanswered(AbortReason::ConnectionLost) => Outcome::Reset,
            AttemptError::Unanswered(AbortReason::TimedOut) => Outcome::Timeout,
            AttemptError::Unanswered(AbortReason::Cancelled | AbortReason::SendNotAllowed) => {
                Outcome::Cancelled
            }
            AttemptError::Answered(WorkerRefusal::NotLoaded) => Outcome::Miss,
            AttemptError::Answered(WorkerRefusal::Full) => Outcome::Full,
            AttemptError::Answered(WorkerRefusal::Failed) => Outcome::Error,
            AttemptError::Answered(WorkerRefusal::RequestEnded) => Outcome::Moot,
        }
    }
}

#[cfg(test)]
mod tests;
