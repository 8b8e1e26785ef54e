//! An emulated fleet and a load tool for corkbay. The load and the behaviour of the workers are drawn from a seed, so that
//! a run can be repeated.
//!
//! [`plan`] and [`verdict`] do no I/O; the other modules open sockets on loopback only, for a bounded time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod compare;
pub mod daemon;
pub mod fault_schedule;
pub mod faults;
pub mod fleet;
pub mod floods;
pub mod grow;
pub mod load;
pub mod plan;
pub mod report;
pub mod scale;
pub mod soak;
pub mod verdict;
