//! State that must not diverge between nodes, replicated by majority agreement.
//!
//! [`Replica`] is one node's Raft replica: a state machine without sockets, threads or clocks around the `raft`
//! crate. It takes ticks, messages and proposals, and outputs messages to send and committed changes. A change
//! is reported as applied only after a majority has it on disk. [`Registry`] is the replicated state: records,
//! jobs, and the leases of [`corkbay_tenure`], whose terms can fence writes to records. [`Disk`] stores a
//! replica's [`journal`].
pub mod disk;
pub mod journal;
mod raft_storage;
mod registry;
mod replica;

pub use disk::{Disk, FileDisk};
pub use registry::{job_lease_name, Answer, Change, Registry};
pub use replica::{
    Config, MembershipChange, OpenError, OperationId, Output, ProposeError, Replica, Start, Status,
};

/// Faults that tests inject, to verify that the simulation detects them.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// Messages are sent before the state that they acknowledge is durable.
    SendBeforeSync,
    /// Votes are not persisted.
    UnpersistedVote,
    /// Reads are answered without confirming leadership with a majority.
    LocalRead,
    /// Writes under a lease term are not fenced.
    NoFencing,
}
