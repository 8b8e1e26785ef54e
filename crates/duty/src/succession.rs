//! Tracks which processes of this invoker serve at the clients' address, and what follows for each of them.
use crate::{Ms, Terms};

/// Another process of the same invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Other {
    /// It served before this process started and will be told to end.
    Predecessor,
    /// It started later; `ready` once it serves.
    Successor {
        /// It has reported this itself, in two observations in a row.
        ready: bool,
    },
}

/// What one observation of the other process's slot shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// No process holds it.
    Empty,
    /// A live process holds it and reports its state.
    Taken {
        /// It serves.
        ready: bool,
    },
}

/// Whether this process is alone, tracked from observation to observation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Succession {
    other: Option<Other>,
    /// The last observation said that the successor is ready. One is not enough: a slot may still show its
    /// last holder's report at the moment it is taken.
    reported_ready: bool,
}

impl Succession {
    /// Creates the state at startup: a process that is already live is the predecessor.
    pub fn new(seen: Seen) -> Self {
        let other = matches!(seen, Seen::Taken { .. }).then_some(Other::Predecessor);
        Succession { other, reported_ready: false }
    }

    /// Records an observation; true if this process is no longer alone, or is alone again.
    pub fn look(&mut self, seen: Seen) -> bool {
        let before = self.other;
        self.other = match (self.other, seen) {
            (_, Seen::Empty) => None,
            (Some(Other::Predecessor), Seen::Taken { .. }) => Some(Other::Predecessor),
            (_, Seen::Taken { ready }) => Some(Other::Successor { ready: ready && self.reported_ready }),
        };
        self.reported_ready = seen == Seen::Taken { ready: true };
        before.is_some() != self.other.is_some()
    }

    /// The other process, if there is one.
    pub fn other(&self) -> Option<Other> {
        self.other
    }

    /// Into how many parts the limits of the invoker are divided.
    pub fn parts(&self) -> usize {
        1 + usize::from(self.other.is_some())
    }

    /// The schedule for the end of this process. With a ready successor, connections are closed at once,
    /// since clients that reconnect reach the successor. Until `refuse` (in milliseconds) requests are still
    /// accepted on connections with unanswered requests.
    pub fn ending(&self, alone: Terms, refuse: Ms) -> Terms {
        match self.other {
            Some(Other::Successor { ready: true }) => Terms { let_go: 0.0, refuse, gone: None },
            _ => alone,
        }
    }

    /// Whether a successor is serving.
    pub fn is_succeeded(&self) -> bool {
        self.other == Some(Other::Successor { ready: true })
    }
}

#[cfg(test)]
mod tests;
