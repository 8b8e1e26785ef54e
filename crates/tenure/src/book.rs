//! The replicated record of leases.
use crate::{Owner, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who holds a name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The term of the present holder, or of the last one.
    pub term: Term,
    /// The present holder.
    pub holder: Option<Owner>,
    /// Renewals under this term, the grant included.
    pub renewals: u64,
}

/// A change of the record; it takes effect when it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The owner wants the name.
    Take {
        /// The name.
        name: String,
        /// Who wants it.
        owner: Owner,
    },
    /// The holder goes on.
    Renew {
        /// The name.
        name: String,
        /// Who holds it.
        owner: Owner,
        /// Its term.
        term: Term,
    },
    /// The holder has stopped and hands the name back: the next may have it at once.
    GiveBack {
        /// The name.
        name: String,
        /// Who held it.
        owner: Owner,
        /// Its term.
        term: Term,
    },
    /// The watch heard of no renewal for long enough. It names the last one that it knew of, so that one which is
    /// committed first keeps the lease.
    Expire {
        /// The name.
        name: String,
        /// The term.
        term: Term,
        /// Renewals that the watch knew of.
        renewals: u64,
    },
}

impl Command {
    /// The name that it is about.
    pub fn name(&self) -> &str {
        match self {
            Command::Take { name, .. }
            | Command::Renew { name, .. }
            | Command::GiveBack { name, .. }
            | Command::Expire { name, .. } => name,
        }
    }
}

/// What became of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The owner holds the name under this term, until its span is over.
    Held(Term),
    /// Another holds it.
    Taken {
        /// Who.
        by: Owner,
        /// Under which term.
        term: Term,
    },
    /// The name is free.
    Free,
    /// The term is over; nothing was changed.
    Over,
}

/// A term is over: what was to be done under it must not be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stale {
    /// The newest term of the name.
    pub newest: Term,
}

impl std::fmt::Display for Stale {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the term is over; the newest is {}", self.newest.0)
    }
}

impl std::error::Error for Stale {}

/// All leases. A pure function of the commands committed, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Book {
    leases: BTreeMap<String, Lease>,
}

impl Book {
    /// Carries a committed command out.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Take { name, owner } => {
                let lease = self.leases.entry(name.clone()).or_default();
                match lease.holder {
                    Some(by) if by != *owner => return Reply::Taken { by, term: lease.term },
                    // Asked twice, for an answer was lost: one grant.
                    Some(_) => lease.renewals += 1,
                    None => {
                        let term = Term(lease.term.0 + 1);
                        *lease = Lease { term, holder: Some(*owner), renewals: 1 };
                    }
                }
                Reply::Held(lease.term)
            }
            Command::Renew { name, owner, term } => match self.held(name, *owner, *term) {
                Some(lease) => {
                    lease.renewals += 1;
                    Reply::Held(*term)
                }
                None => Reply::Over,
            },
            Command::GiveBack { name, owner, term } => match self.held(name, *owner, *term) {
                Some(lease) => {
                    lease.holder = None;
                    Reply::Free
                }
                None => Reply::Over,
            },
            Command::Expire { name, term, renewals } => match self.leases.get_mut(name) {
                Some(lease) if lease.term == *term && lease.renewals == *renewals => {
                    lease.holder = None;
                    Reply::Free
                }
                _ => Reply::Over,
            },
        }
    }

    fn held(&mut self, name: &str, owner: Owner, term: Term) -> Option<&mut Lease> {
        self.leases.get_mut(name).filter(|lease| lease.holder == Some(owner) && lease.term == term)
    }

    /// The fence: whether an effect under that term may still take place. An expired term is over even while nobody
    /// else has been granted the name.
    ///
    /// # Errors
    /// [`Stale`] where another term has begun or this one is over.
    pub fn admits(&self, name: &str, owner: Owner, term: Term) -> Result<(), Stale> {
        let lease = self.lease(name);
        match lease.filter(|lease| lease.holder == Some(owner) && lease.term == term) {
            Some(_) => Ok(()),
            None => Err(Stale { newest: lease.map_or(Term(0), |lease| lease.term) }),
        }
    }

    /// A name's lease, if it ever had one.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// All names that ever had a holder, with their leases.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.leases.iter().map(|(name, lease)| (name.as_str(), lease))
    }
}
