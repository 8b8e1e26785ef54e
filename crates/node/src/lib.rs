//! The corkbay daemon: a core that knows requests, attempts and outcomes, with fronts before it and
//! worker connections behind it. The decisions are the `corkbay` library's.
#![deny(unsafe_op_in_unsafe_fn)]
#![warn(missing_docs)]

pub mod clock;
pub mod core;
pub mod life;
pub mod memory;
pub mod timers;
pub mod wire;
