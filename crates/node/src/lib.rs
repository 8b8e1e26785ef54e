//! The corkbay daemon: a core that handles requests, attempts and outcomes, fronts that accept calls from
//! clients, and connections to workers. Dispatch decisions are made by the `corkbay` library.
#![deny(unsafe_op_in_unsafe_fn)]
#![warn(missing_docs)]

pub mod clock;
pub mod core;
pub mod event_loop;
pub mod lifecycle;
pub mod state;
pub mod timers;
pub mod wire;
