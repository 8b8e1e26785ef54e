//! corkbay decides, for one front end, where each call of a small model goes: which worker gets
//! it, where a missing model is loaded, and which idle models give way. It does no I/O, owns no
//! clock and starts no thread: the host feeds [`Event`]s in and carries [`Action`]s out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fleet;
mod homes;
mod interface;
mod policy;
mod settings;
mod state;

pub use interface::*;
pub use policy::Dispatcher;
pub use settings::{position, Names};
pub use state::Tables;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
