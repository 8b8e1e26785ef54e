//! Operator commands on a running invoker, as decisions without I/O and without reading a clock.
//!
//! [`Bans`] are the suspensions of hosts, kept separately from the directory of workers. [`Duty`] decides
//! whether the invoker serves clients, whether it accepts requests, and when it closes client connections.
//! [`Overrides`] is the part of this state that a process hands to its successor, [`Succession`] tracks which
//! of the two a process is, [`Message`] is sent along with client connections in a connection handover, and
//! [`Redial`] decides when a failed event source is connected to again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod duty;
mod handover;
mod host_overrides;
mod overrides;
mod redial;
mod succession;

pub use duty::{Duty, Leave, Terms};
pub use handover::{BadMessage, Head, Message, HEAD, MOST_BODY};
pub use host_overrides::{Bans, HostOverride};
pub use overrides::{look, BadRecord, Clocks, Look, Overrides, MOST};
pub use redial::Redial;
pub use succession::{Other, Seen, Succession};

/// Milliseconds: points in time on the process's monotonic clock, and durations.
pub type Ms = f64;
