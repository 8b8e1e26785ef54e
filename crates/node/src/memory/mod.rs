//! What is kept in memory: the roster, connection states, counters.
pub mod catalog;
pub mod counters;
pub mod invocations;
pub mod link;
pub mod log;
pub mod roster;
pub mod seats;
pub mod store;
