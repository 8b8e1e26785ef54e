//! What is kept in memory: the roster, connection states, counters.
pub mod counters;
pub mod link;
pub mod roster;
