//! Waiting for free memory in an account, with the coroutine library's timers.
use crate::clock::monotonic_ms;
use crate::timers;
use corkbay::Ms;
use corkbay_ledger::pressure::{decide_at_cap, Decision, FullAccount};
use corkbay_ledger::{Account, Purpose, Reservation};
use may::sync::mpsc;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// The kind of the I/O error for a reservation that did not fit in its account.
pub const OUT_OF_MEMORY_KIND: ErrorKind = ErrorKind::OutOfMemory;

/// Resizes a reservation to `bytes`. If the account is full, waits as long as the purpose allows, then fails with
/// [`OUT_OF_MEMORY_KIND`].
pub fn resize_or_wait(held: &mut Reservation, purpose: Purpose, bytes: usize) -> io::Result<()> {
    let started = monotonic_ms();
    loop {
        let Err(full) = held.resize(bytes) else { return Ok(()) };
        let (asked, cap, waited) = (full.asked, full.cap, monotonic_ms() - started);
        match decide_at_cap(&FullAccount { purpose, asked, cap, idle: 0, frees_in: None, waited }) {
            Decision::Wait { at_most } => wait_for_memory(&full.account, asked, at_most),
            Decision::Evict { .. } | Decision::Refuse { .. } => return Err(OUT_OF_MEMORY_KIND.into()),
        }
    }
}

/// Waits until `bytes` may fit in the account, at most `at_most` milliseconds.
pub fn wait_for_memory(account: &Account, bytes: usize, at_most: Ms) {
    let (sender, free_memory) = mpsc::channel();
    let _waiter = account.notify_when_free(bytes, move || _ = sender.send(()));
    let _ = timers::receive(&free_memory, Duration::from_secs_f64(at_most.max(1.0) / 1000.0));
}
