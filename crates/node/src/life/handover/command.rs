//! What operators may ask for, and why it is not done.
use crate::memory::roster::BanError;
use corkbay_duty::Overrides;

/// What operators may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Nothing more to that host.
    Suspend(String),
    /// That host may serve again.
    Resume(String),
    /// No more clients.
    Drain,
    /// Clients again.
    Activate,
}

impl OperatorCommand {
    /// Whether it holds something back: that takes effect before it is written, and what lifts something after.
    pub(super) fn holds_back(&self) -> bool {
        matches!(self, OperatorCommand::Suspend(_) | OperatorCommand::Drain)
    }

    pub(super) fn apply(&self, overrides: &mut Overrides, now: f64) {
        match self {
            OperatorCommand::Suspend(name) => _ = overrides.bans.suspend(name, now),
            OperatorCommand::Resume(name) => _ = overrides.bans.resume(name, now),
            OperatorCommand::Drain => overrides.drained = true,
            OperatorCommand::Activate => overrides.drained = false,
        }
    }
}

/// Why what was asked for is not so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// No list ever named the host.
    Unknown,
    /// There is no room for one more name.
    NoRoom,
    /// The process is about to end.
    Ending,
    /// It could not be written, or not in time: what is held back is held back here, what was to be lifted is not.
    Unwritten,
}

impl From<BanError> for CommandError {
    fn from(error: BanError) -> Self {
        match error {
            BanError::Unknown => CommandError::Unknown,
            BanError::NoRoom => CommandError::NoRoom,
        }
    }
}
