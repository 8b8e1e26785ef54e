//! Operators' commands and the reasons for which they fail.
use crate::state::roster::SuspensionError;
use corkbay_duty::Overrides;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Suspends a host: no more calls are sent to it.
    Suspend(String),
    /// Lifts the suspension of a host.
    Resume(String),
    /// Drains this invoker: it takes no more clients.
    Drain,
    /// Ends the drain: the invoker takes clients again.
    Activate,
}

impl OperatorCommand {
    /// Whether the command restricts service. Such a command takes effect before it is written to the file; one that
    /// lifts a restriction takes effect after.
    pub(super) fn restricts(&self) -> bool {
        matches!(self, OperatorCommand::Suspend(_) | OperatorCommand::Drain)
    }

    /// Changes the overrides as the command demands; `now_ms` is the monotonic time.
    pub(super) fn apply(&self, overrides: &mut Overrides, now_ms: f64) {
        match self {
            OperatorCommand::Suspend(name) => _ = overrides.host_overrides.suspend(name, now_ms),
            OperatorCommand::Resume(name) => _ = overrides.host_overrides.resume(name, now_ms),
            OperatorCommand::Drain => overrides.drained = true,
            OperatorCommand::Activate => overrides.drained = false,
        }
    }
}

/// Why a command was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The host was never in any list of workers.
    Unknown,
    /// There is no room for another suspended host.
    NoRoom,
    /// The process is shutting down.
    Ending,
    /// The command could not be written to the shared file in time. A restriction holds in this process all the same;
    /// the lifting of one has no effect.
    Unwritten,
}

impl From<SuspensionError> for CommandError {
    fn from(error: SuspensionError) -> Self {
        match error {
            SuspensionError::Unknown => CommandError::Unknown,
            SuspensionError::NoRoom => CommandError::NoRoom,
        }
    }
}
