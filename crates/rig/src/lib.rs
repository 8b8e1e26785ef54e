//! An emulated fleet and a load tool for corkbay: what a day offers and how workers behave follow from a
//! seed, so that a day can be run again.
//!
//! [`plan`] and [`verdict`] decide and do no I/O; the rest opens sockets on loopback only, for a bounded time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod compare;
pub mod daemon;
pub mod fault_schedule;
pub mod faults;
pub mod fleet;
pub mod grow;
pub mod load;
pub mod plan;
pub mod report;
pub mod scale;
pub mod soak;
pub mod verdict;
