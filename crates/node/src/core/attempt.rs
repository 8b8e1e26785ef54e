//! How an attempt failed, by how much of it had been sent, and the outcome that the dispatcher is given for
//! it.
use corkbay::Outcome;

/// Why an attempt ended without an answer from its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection broke.
    Broken,
    /// The time limit passed without an answer.
    Silent,
    /// The attempt was cancelled.
    GivenUp,
    /// Sending was not allowed: the worker accepts no more attempts, no file descriptor was free for it, or
    /// its send deadline had passed.
    Barred,
}

/// An answer of a worker other than a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The model is not loaded on the worker; the call did not run.
    Miss,
    /// The worker is at capacity; the call did not run.
    Full,
    /// The call failed; it may have run.
    Failed,
    /// The request had already ended; the call did not run.
    Over,
}

/// The end of an attempt that produced no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection could be established.
    Unconnected,
    /// The attempt was not sent completely, so it cannot have run.
    Unfinished(Cause),
    /// The attempt was sent completely, so it may have run.
    Unanswered(Cause),
    /// The worker answered without a result.
    Answered(Verdict),
}

impl AttemptError {
    /// The outcome reported to the dispatcher. Attempt errors are mapped to outcomes only here.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptError::Unconnected | AttemptError::Unfinished(Cause::Silent) => Outcome::ConnectFailed,
            // A connection that broke while it carried other exchanges does not show that its worker is
            // unreachable.
            AttemptError::Unfinished(Cause::Broken | Cause::GivenUp | Cause::Barred) => Outcome::Moot,
            AttemptError::Unanswered(Cause::Broken) => Outcome::Reset,
            AttemptError::Unanswered(Cause::Silent) => Outcome::Timeout,
            AttemptError::Unanswered(Cause::GivenUp | Cause::Barred) => Outcome::Cancelled,
            AttemptError::Answered(Verdict::Miss) => Outcome::Miss,
            AttemptError::Answered(Verdict::Full) => Outcome::Full,
            AttemptError::Answered(Verdict::Failed) => Outcome::Error,
            AttemptError::Answered(Verdict::Over) => Outcome::Moot,
        }
    }
}

#[cfg(test)]
mod tests;
