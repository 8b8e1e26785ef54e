//! Leases with terms, which give work on behalf of the fleet one owner at a time. Decisions only, without I/O
//! and without a clock.
//!
//! Three parts coordinate through committed commands and durations on their own monotonic clocks, never through
//! the time of day:
//!
//! - [`LeaseTable`] is replicated: who holds which lease under which term. It knows no time, so every replica
//!   reaches the same state from the same commands.
//! - [`LeaseMonitor`] runs on the leader of the replicas and decides when the lease of a silent holder expires.
//! - [`Holder`] runs in each process that wants a lease: when to request it, when to renew it, when to stop by
//!   itself.
//!
//! A holder counts its lease from before its request, and shortens it by the maximum clock drift; the monitor
//! counts from after the renewal was committed, and lengthens it by the same margin. As long as no clock drifts
//! by more than [`LeaseTiming::max_drift_permille`], the holder has stopped before another is granted the
//! lease. Operations that it began before it stopped are fenced by their term: [`LeaseTable::check_fence`].
mod holder;
mod lease_monitor;
mod lease_table;

pub use holder::{Holder, ProposalId};
pub use lease_monitor::LeaseMonitor;
pub use lease_table::{Command, Lease, LeaseTable, Reply, Stale};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A reading of a process's own monotonic clock, as the duration since some fixed moment in that process.
pub type Instant = Duration;

/// A lease term: the number of times that a lease has been granted. It only increases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A process that may hold leases. A restarted node is another owner: it does not hold the leases of its
/// earlier incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Node id.
    pub node: u64,
    /// Process incarnation, unique for each start of the node.
    pub life: u64,
}

/// How long a lease lasts without renewal, and how much clocks may drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Duration of a lease.
    pub duration: Duration,
    /// Maximum drift of a clock in either direction, in thousandths.
    pub max_drift_permille: u32,
}

impl LeaseTiming {
    /// How long a holder may act, by its own clock, counted from the moment of its request.
    pub fn holder_validity(&self) -> Duration {
        self.duration * 1000u32.saturating_sub(self.max_drift_permille) / 1000
    }

    /// How long the monitor waits, by its own clock, counted from the moment at which it saw the renewal
    /// committed.
    pub fn expiry_timeout(&self) -> Duration {
        self.duration * (1000 + self.max_drift_permille) / 1000
    }
}
