//! Which processes serve at the clients' address, and what that means for each of them.
use crate::{Ms, Terms};

/// Another process of the same invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Other {
    /// It served before this one started: it will be told to end.
    Predecessor,
    /// It started later; `ready` once it serves.
    Successor {
        /// It has said so itself, more than once.
        ready: bool,
    },
}

/// What a look at the other seat shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nobody lives there.
    Empty,
    /// Somebody does, and says so much of itself.
    Taken {
        /// It serves.
        ready: bool,
    },
}

/// Whether this process is alone, followed from look to look.
#[derive(Clone, Copy, Debug, Default)]
pub struct Succession {
    other: Option<Other>,
    /// The look before this one said that the successor is ready: a seat may still show its last holder's word in
    /// the moment in which it is taken.
    said_ready: bool,
}

impl Succession {
    /// At the start: whoever lives already is the predecessor.
    pub fn new(seen: Seen) -> Self {
        let other = matches!(seen, Seen::Taken { .. }).then_some(Other::Predecessor);
        Succession { other, said_ready: false }
    }

    /// Takes a look in; true if this process is no longer alone, or alone again.
    pub fn look(&mut self, seen: Seen) -> bool {
        let before = self.other;
        self.other = match (self.other, seen) {
            (_, Seen::Empty) => None,
            (Some(Other::Predecessor), Seen::Taken { .. }) => Some(Other::Predecessor),
            (_, Seen::Taken { ready }) => Some(Other::Successor { ready: ready && self.said_ready }),
        };
        self.said_ready = seen == Seen::Taken { ready: true };
        before.is_some() != self.other.is_some()
    }

    /// The other process, if there is one.
    pub fn other(&self) -> Option<Other> {
        self.other
    }

    /// Into how many parts the limits of the invoker go.
    pub fn parts(&self) -> usize {
        1 + usize::from(self.other.is_some())
    }

    /// The times of this process's end: with a successor that serves, its clients are let go at once, since whoever
    /// comes again comes to the other. Until `refuse` it still takes what arrives on connections that are owed
    /// something.
    pub fn ending(&self, alone: Terms, refuse: Ms) -> Terms {
        match self.other {
            Some(Other::Successor { ready: true }) => Terms { let_go: 0.0, refuse, gone: None },
            _ => alone,
        }
    }

    /// Whether a successor serves.
    pub fn is_succeeded(&self) -> bool {
        self.other == Some(Other::Successor { ready: true })
    }
}

#[cfg(test)]
mod tests;
