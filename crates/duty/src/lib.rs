//! What operators ask of a running invoker, as decisions without I/O and without a clock.
//!
//! [`Bans`] are their word on hosts, which stands beside the directory's. [`Duty`] tells whether the invoker wants
//! clients, whether it takes requests, and when it lets the connections of clients go.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bans;
mod duty;

pub use bans::{Bans, Stay};
pub use duty::{Duty, Leave, Terms};

/// Milliseconds: points in time on the Unix clock, and spans.
pub type Ms = f64;
