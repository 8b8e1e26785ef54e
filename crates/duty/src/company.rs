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
pub struct Company {
    other: Option<Other>,
    /// The look before this one said that the successor is ready: a seat may still show its last holder's word in
    /// the moment in which it is taken.
    said_ready: bool,
}

impl Company {
    /// At the start: whoever lives already is the predecessor.
    pub fn new(seen: Seen) -> Self {
        let other = matches!(seen, Seen::Taken { .. }).then_some(Other::Predecessor);
        Company { other, said_ready: false }
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
mod tests {
    use super::*;

    const READY: Seen = Seen::Taken { ready: true };
    const STARTING: Seen = Seen::Taken { ready: false };

    #[test]
    fn a_successor_is_followed_from_its_start_to_its_readiness() {
        let mut company = Company::new(Seen::Empty);
        assert_eq!((company.other(), company.parts()), (None, 1));
        assert!(!company.look(Seen::Empty));
        assert!(company.look(STARTING));
        assert_eq!((company.is_succeeded(), company.parts()), (false, 2));
        assert!(!company.look(READY));
        assert!(!company.is_succeeded(), "one look may show the last holder's word");
        company.look(READY);
        assert!(company.is_succeeded());
    }

    /// Guards the old process where the new one fails to start, or dies later: it goes on as if nothing had been.
    #[test]
    fn a_successor_that_dies_leaves_its_predecessor_alone() {
        let alone = Terms { let_go: 700.0, refuse: 700.0, gone: None };
        let mut company = Company::new(Seen::Empty);
        for seen in [STARTING, READY, READY] {
            company.look(seen);
        }
        assert_eq!(company.ending(alone, 2000.0).let_go, 0.0);
        assert!(company.look(Seen::Empty));
        assert_eq!((company.parts(), company.ending(alone, 2000.0)), (1, alone));
        company.look(READY);
        assert!(!company.is_succeeded(), "the next one is judged afresh");
    }

    #[test]
    fn whoever_was_there_first_is_the_predecessor_until_it_ends() {
        let mut company = Company::new(READY);
        for _ in 0..3 {
            company.look(READY);
            assert_eq!((company.other(), company.is_succeeded()), (Some(Other::Predecessor), false));
        }
        assert!(company.look(Seen::Empty));
        company.look(STARTING);
        assert_eq!(company.other(), Some(Other::Successor { ready: false }));
    }
}
