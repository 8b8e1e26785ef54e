//! How an attempt can fail, told by how far it had come, and what the decisions make of it.
use corkbay::Outcome;

/// Why nothing more is heard of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection broke.
    Broken,
    /// No answer came in time.
    Silent,
    /// The attempt was called off.
    GivenUp,
    /// The worker may be sent nothing more, no descriptor was left for it, or it would have gone out too late.
    Barred,
}

/// What a worker answers in place of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The model is not loaded there; not run.
    Miss,
    /// Not taken; not run.
    Full,
    /// An error; it may have run.
    Failed,
    /// The request was over already; not run.
    Over,
}

/// The end of an attempt that brought no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection came up.
    Unconnected,
    /// It was not whole on the wire: it never ran.
    Unfinished(Cause),
    /// It was whole on the wire: it may have run.
    Unanswered(Cause),
    /// The worker answered.
    Answered(Verdict),
}

impl AttemptError {
    /// The outcome that the decisions are told: the one place where errors become outcomes.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptError::Unconnected | AttemptError::Unfinished(Cause::Silent) => Outcome::ConnectFailed,
            // A connection that broke under other exchanges does not tell that its worker is out of reach.
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
