//! Tracks which processes of this invoker serve at the clients' address, and what follows for each of them.
use crate::{LeaveSchedule, Ms};

/// Another process of the same invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcess {
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
pub enum SlotState {
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
    other: Option<PeerProcess>,
    /// The last observation said that the successor is ready. One is not enough: a slot may still show its
    /// last holder's report at the moment it is taken.
    reported_ready: bool,
}

impl Succession {
    /// Creates the state at startup: a process that is already live is the predecessor.
    pub fn new(seen: SlotState) -> Self {
        let other = matches!(seen, SlotState::Taken { .. }).then_some(PeerProcess::Predecessor);
        Succession { other, reported_ready: false }
    }

    /// Records an observation; true if this process is no longer alone, or is alone again.
    pub fn look(&mut self, seen: SlotState) -> bool {
        let before = self.other;
        self.other = match (self.other, seen) {
            (_, SlotState::Empty) => None,
            (Some(PeerProcess::Predecessor), SlotState::Taken { .. }) => Some(PeerProcess::Predecessor),
            (_, SlotState::Taken { ready }) => {
                Some(PeerProcess::Successor { ready: ready && self.reported_ready })
            }
        };
        self.reported_ready = seen == SlotState::Taken { ready: true };
        before.is_some() != self.other.is_some()
    }

    /// The other process, if there is one.
    pub fn other(&self) -> Option<PeerProcess> {
        self.other
    }

    /// Into how many parts the limits of the invoker are divided.
    pub fn parts(&self) -> usize {
        1 + usize::from(self.other.is_some())
    }

    /// The schedule for the end of this process. With a ready successor, connections are closed at once,
    /// since clients that reconnect reach the successor. Until `refuse` (in milliseconds) requests are still
    /// accepted on connections with unanswered requests.
    pub fn ending(&self, alone: LeaveSchedule, refuse: Ms) -> LeaveSchedule {
        match self.other {
            Some(PeerProcess::Successor { ready: true }) => {
                LeaveSchedule { close_connections_at: 0.0, refuse_requests_at: refuse, all_closed_by: None }
            }
            _ => alone,
        }
    }

    /// Whether a successor is serving.
    pub fn has_ready_successor(&self) -> bool {
        self.other == Some(PeerProcess::Successor { ready: true })
    }
}

#[cfg(test)]
mod tests;
