//! What must not diverge between nodes, agreed by a majority of them.
//!
//! [`Replica`] is one node's part in it: a state machine without sockets, threads or clocks round the `raft` crate. It is
//! told of ticks, messages and proposals, and tells what is to be sent and what was agreed. A change is told as applied
//! only after a majority had it on disk. [`Registry`] is what is agreed on: records, and the leases of
//! [`corkbay_tenure`], under whose terms records can be fenced. [`Disk`] is where a replica's [`journal`] stands.
pub mod disk;
pub mod journal;
mod registry;
mod replica;
mod shelf;

pub use disk::{Disk, FileDisk};
pub use registry::{lease_of, Answer, Change, Registry};
pub use replica::{Config, Member, NotProposed, OpenError, Output, Replica, Standing, Start, Ticket};

/// Parts that can be left out, to see that simulation and model find it.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    /// Nothing is left out.
    #[default]
    Nothing,
    /// Messages go out before what they promise is on disk.
    SendsBeforeSync,
    /// A vote is not written down.
    ForgetsVotes,
    /// Reads are answered without asking a majority who leads.
    ReadsLocally,
    /// Writes under a term are not fenced.
    NoFence,
}
