//! corkbay makes the decisions of one invoker: which worker gets each call of a small model, where a
//! missing model is loaded, and which idle models are evicted. It does no I/O, has no clock of its own
//! and starts no threads: the host passes [`Event`]s in and carries out the resulting [`Action`]s.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fleet;
mod interface;
mod location;
mod policy;
mod preferred_workers;
mod settings;
mod state;
mod zones;

pub use interface::*;
pub use policy::Dispatcher;
pub use settings::{position, Names};
pub use state::TableSizes;
pub use zones::ZoneTable;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
