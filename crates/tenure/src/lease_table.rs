//! The replicated table of leases.
use crate::{Owner, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The term of the current holder, or of the last one.
    pub term: Term,
    /// The current holder.
    pub holder: Option<Owner>,
    /// Number of renewals under this term, including the grant.
    pub renewals: u64,
}

/// A change of the table, which takes effect once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// An owner requests the lease.
    Take {
        /// The name of the lease.
        name: String,
        /// The owner that requests it.
        owner: Owner,
    },
    /// The holder renews the lease.
    Renew {
        /// The name of the lease.
        name: String,
        /// The holder.
        owner: Owner,
        /// The holder's term.
        term: Term,
    },
    /// The holder has stopped acting and releases the lease, so that it can be granted again at once.
    GiveBack {
        /// The name of the lease.
        name: String,
        /// The former holder.
        owner: Owner,
        /// The former holder's term.
        term: Term,
    },
    /// The monitor has seen no renewal for long enough. The command carries the renewal count that the monitor
    /// knew, so that a renewal committed first keeps the lease.
    Expire {
        /// The name of the lease.
        name: String,
        /// The term that expires.
        term: Term,
        /// The renewal count that the monitor knew.
        renewals: u64,
    },
}

impl Command {
    /// The name of the lease that the command changes.
    pub fn name(&self) -> &str {
        match self {
            Command::Take { name, .. }
            | Command::Renew { name, .. }
            | Command::GiveBack { name, .. }
            | Command::Expire { name, .. } => name,
        }
    }
}

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The owner holds the lease under this term, until its duration has passed.
    Held(Term),
    /// Another owner holds the lease.
    Taken {
        /// The current holder.
        by: Owner,
        /// The current holder's term.
        term: Term,
    },
    /// Nobody holds the lease.
    Free,
    /// Nothing was changed: the command's term is over, or the lease was renewed before it expired.
    Over,
}

/// The term of an operation is over, so the operation must not take place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stale {
    /// The newest term of the lease.
    pub newest: Term,
}

impl std::fmt::Display for Stale {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the term is over; the newest term is {}", self.newest.0)
    }
}

impl std::error::Error for Stale {}

/// All leases. The state depends only on the sequence of committed commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    leases: BTreeMap<String, Lease>,
}

impl LeaseTable {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Take { name, owner } => {
                let lease = self.leases.entry(name.clone()).or_default();
                match lease.holder {
                    Some(by) if by != *owner => return Reply::Taken { by, term: lease.term },
                    // The holder repeats its request because the reply was lost; it keeps its term.
                    Some(_) => lease.renewals += 1,
                    None => {
                        let term = Term(lease.term.0 + 1);
                        *lease = Lease { term, holder: Some(*owner), renewals: 1 };
                    }
                }
                Reply::Held(lease.term)
            }
            Command::Renew { name, owner, term } => match self.held_lease(name, *owner, *term) {
                Some(lease) => {
                    lease.renewals += 1;
                    Reply::Held(*term)
                }
                None => Reply::Over,
            },
            Command::GiveBack { name, owner, term } => match self.held_lease(name, *owner, *term) {
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

    fn held_lease(&mut self, name: &str, owner: Owner, term: Term) -> Option<&mut Lease> {
        self.leases.get_mut(name).filter(|lease| lease.holder == Some(owner) && lease.term == term)
    }

    /// The fencing check: whether an operation under that term may still take place. An expired term is
    /// rejected even while the lease has not been granted to another owner.
    ///
    /// # Errors
    /// [`Stale`] if another term has begun or this one is over.
    pub fn check_fence(&self, name: &str, owner: Owner, term: Term) -> Result<(), Stale> {
        let lease = self.lease(name);
        match lease.filter(|lease| lease.holder == Some(owner) && lease.term == term) {
            Some(_) => Ok(()),
            None => Err(Stale { newest: lease.map_or(Term(0), |lease| lease.term) }),
        }
    }

    /// Returns a lease by name, if it was ever granted.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Iterates over all leases that were ever granted, ordered by name.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.leases.iter().map(|(name, lease)| (name.as_str(), lease))
    }
}
