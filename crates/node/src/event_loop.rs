//! The event loop of the coroutine library as the daemon uses it: one thread that polls the kernel for events only
//! once its run queue is empty.
//!
//! | module | job |
//! | --- | --- |
//! | `poll_signal` | lets a task wait for the next poll of the kernel |
//! | `monitor` | measures the time until the next poll and the input handled between two of them |
mod monitor;
mod poll_signal;

pub use monitor::{check_pending_poll, probe_next_poll, report, watch_polls, LoopReport};
pub use monitor::{record_input_run, TaskGuard};
