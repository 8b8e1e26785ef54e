//! Configuration, start-up, handover to a successor and shutdown.
pub mod accounts;
pub mod config;
pub mod deploy;
pub mod handover;
pub mod import;
pub mod logs;
pub mod platform;
pub mod roles;
pub mod service;

use crate::event_loop::TaskGuard;
use may::coroutine::JoinHandle;

/// Starts a coroutine.
pub fn spawn<T: Send + 'static>(task: impl FnOnce() -> T + Send + 'static) -> JoinHandle<T> {
    // SAFETY: a coroutine may resume on another thread, so it must hold no thread-local state across a
    // wait, and it must not overflow its fixed-size stack. No task here uses thread-locals of its own, none
    // recurses without a bound, and the stacks are larger than the deepest call path needs.
    unsafe {
        may::coroutine::spawn(move || {
            let _counted = TaskGuard::new();
            task()
        })
    }
}
