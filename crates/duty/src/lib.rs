//! What operators ask of a running invoker, as decisions without I/O and without a clock.
//!
//! [`Bans`] are their word on hosts, which stands beside the directory's. [`Duty`] tells whether the invoker wants
//! clients, whether it takes requests, and when it lets the connections of clients go. [`Overrides`] is what of this passes
//! from a process to its successor, [`Succession`] which of the two this one is, [`Message`] what passes with the
//! connections of clients, and [`Redial`] when a source of news that failed is called again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bans;
mod duty;
mod overrides;
mod passage;
mod redial;
mod succession;

pub use bans::{Bans, Stay};
pub use duty::{Duty, Leave, Terms};
pub use overrides::{look, BadRecord, Clocks, Look, Overrides, MOST};
pub use passage::{BadMessage, Head, Message, HEAD, MOST_BODY};
pub use redial::Redial;
pub use succession::{Other, Seen, Succession};

/// Milliseconds: points in time on the process's monotonic clock, and spans.
pub type Ms = f64;
