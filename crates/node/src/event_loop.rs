//! The event loop of the coroutine library as the daemon uses it: one thread that polls the kernel for events only
//! once its run queue is empty.
//!
//! | module | job |
//! | --- | --- |
//! | `poll_signal` | lets a task wait for the next poll of the kernel |
//! | `turns` | has all readers take turns between two polls |
//! | `monitor` | measures the time until the next poll and the input handled between two of them |
mod monitor;
mod poll_signal;
mod turns;

use std::io;

pub use monitor::{check_pending_poll, probe_next_poll, report, LoopReport, TaskGuard};
pub use turns::{wait_for_poll, InputKind, Turn, TurnStart};

/// Creates the descriptors of this module and starts its tasks. Has to be called once the coroutine library is set up and
/// before descriptors can be scarce.
pub fn start() -> io::Result<()> {
    turns::start()?;
    monitor::start_probe()
}
