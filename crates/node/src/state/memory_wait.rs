//! Waiting for free memory in an account, with the coroutine library's timers.
//!
//! Invariant: a task waits for memory only while the owners of idle memory in the same account are asked to release it,
//! at the start of the wait and again at intervals, since what is in use now may be idle then.
use crate::clock::{monotonic_ms, time_until};
use crate::timers;
use corkbay::Ms;
use corkbay_ledger::pressure::{decide_at_cap, Decision, FullAccount};
use corkbay_ledger::{Account, Purpose, Reservation};
use may::sync::mpsc;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// The kind of the I/O error for a reservation that did not fit in its account.
pub const OUT_OF_MEMORY_KIND: ErrorKind = ErrorKind::OutOfMemory;

/// Interval at which the owners of idle memory are asked to release it while a task waits.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// Resizes a reservation to `bytes`. If the account is full, waits as long as the purpose allows, then fails with
/// [`OUT_OF_MEMORY_KIND`].
pub fn resize_or_wait(held: &mut Reservation, purpose: Purpose, bytes: usize) -> io::Result<()> {
    resize_or_wait_longer(held, purpose, bytes, &mut 0.0)
}

/// Like [`resize_or_wait`] for a reservation that grows in steps: `waited`, in milliseconds, is what earlier steps have
/// waited; it counts towards the longest wait, and this wait is added to it.
pub fn resize_or_wait_longer(
    held: &mut Reservation,
    purpose: Purpose,
    bytes: usize,
    waited: &mut Ms,
) -> io::Result<()> {
    loop {
        let Err(full) = held.resize(bytes) else { return Ok(()) };
        let case = FullAccount {
            purpose,
            asked: full.asked,
            cap: full.cap,
            idle: 0,
            frees_in: None,
            waited: *waited,
        };
        match decide_at_cap(&case) {
            Decision::Wait { at_most } => {
                let started = monotonic_ms();
                wait_and_reclaim(held.account(), &full.account, full.asked, at_most);
                *waited += monotonic_ms() - started;
            }
            Decision::Evict { .. } | Decision::Refuse { .. } => return Err(OUT_OF_MEMORY_KIND.into()),
        }
    }
}

/// Waits until `bytes` may fit in the account, at most `at_most` milliseconds.
pub fn wait_for_memory(account: &Account, bytes: usize, at_most: Ms) {
    wait_and_reclaim(account, account, bytes, at_most);
}

/// Like [`wait_for_memory`] for a caller that has had idle memory released itself.
pub fn wait_for_release(account: &Account, bytes: usize, at_most: Ms) {
    let (sender, free_memory) = mpsc::channel();
    let _waiter = account.notify_when_free(bytes, move || _ = sender.send(()));
    let _ = timers::receive(&free_memory, Duration::from_secs_f64(at_most.max(1.0) / 1000.0));
}

/// Waits until `bytes` may fit in the `full` account, which is `own` or one that it is part of, while idle memory of
/// `own` is released.
fn wait_and_reclaim(own: &Account, full: &Account, bytes: usize, at_most: Ms) {
    let end = monotonic_ms() + at_most.max(1.0);
    let (sender, free_memory) = mpsc::channel();
    let _waiter = full.notify_when_free(bytes, move || _ = sender.send(()));
    loop {
        let missing = bytes.saturating_sub(full.free());
        if missing > 0 {
            own.reclaim(missing);
        }
        let is_free = timers::receive(&free_memory, time_until(end).min(RECLAIM_INTERVAL)).is_ok();
        if is_free || monotonic_ms() >= end {
            return;
        }
    }
}
