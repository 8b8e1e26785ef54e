//! Operator commands on a running invoker, as decisions without I/O and without reading a clock.
//!
//! [`HostOverrides`] are the suspensions of hosts, kept separately from the directory of workers.
//! [`ServingState`] decides whether the invoker serves clients, whether it accepts requests, and when it
//! closes client connections.
//! [`Overrides`] is the part of this state that a process hands to its successor, [`Succession`] tracks which
//! of the two a process is, [`Message`] is sent along with client connections in a connection handover, and
//! [`ReconnectBackoff`] decides when a failed event source is connected to again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod handover;
mod host_overrides;
mod overrides;
mod reconnect_backoff;
mod serving_state;
mod succession;

pub use handover::{Message, MessageError, MessageHeader, HEADER_BYTES, MAX_BODY_BYTES};
pub use host_overrides::{HostOverride, HostOverrides};
pub use overrides::{compare_record, Clocks, Overrides, RecordAction, RecordError, MAX_RECORD_BYTES};
pub use reconnect_backoff::ReconnectBackoff;
pub use serving_state::{Leave, LeaveSchedule, ServingState};
pub use succession::{PeerProcess, SlotState, Succession};

/// Milliseconds: points in time on the process's monotonic clock, and durations.
pub type Ms = f64;
