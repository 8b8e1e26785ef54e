//! One owner at a time for work on behalf of the fleet: leases with terms, as decisions without I/O and without a
//! clock.
//!
//! Three parts agree by what is committed and by spans of their own monotonic clocks, never by the time of day:
//!
//! - [`Book`] is replicated: who holds what under which term. It knows no time, so that every replica comes to the
//!   same from the same commands.
//! - [`Watch`] stands at whoever leads the replicas and tells when a silent holder may be taken for gone.
//! - [`Holder`] stands at whoever wants a lease: when to ask, when to renew, when to stop by itself.
//!
//! A holder counts its lease from before it asked, and by a slower clock than its own; the watch counts from after the
//! renewal was committed, and by a faster one. As long as no clock drifts by more than [`Span::drift`], the holder has
//! stopped before anybody else is granted the lease. What it began before it stopped is fenced by its term:
//! [`Book::admits`].
mod book;
mod holder;
mod watch;

pub use book::{Book, Command, Lease, Reply, Stale};
pub use holder::{Holder, Ticket};
pub use watch::Watch;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A reading of a process's own monotonic clock, as the span since some fixed moment of that process.
pub type Instant = Duration;

/// Counts the holders that a name has had. It only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A process that may hold leases. A node that starts again is another owner: what its earlier life held is not its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: u64,
    /// Its life, new with every start.
    pub life: u64,
}

/// How long a lease lasts without renewal, and how far clocks are trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Span {
    /// Length of a lease.
    pub length: Duration,
    /// The most by which a clock runs fast or slow, in thousandths.
    pub drift: u32,
}

impl Span {
    /// For how long a holder may act, by its own clock, from the moment at which it asked.
    pub fn held(&self) -> Duration {
        self.length * 1000u32.saturating_sub(self.drift) / 1000
    }

    /// How long the watch waits, by its own clock, from the moment at which it saw the renewal committed.
    pub fn watched(&self) -> Duration {
        self.length * (1000 + self.drift) / 1000
    }
}
