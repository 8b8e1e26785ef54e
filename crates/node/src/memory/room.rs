//! Waiting for room in an account, on the coroutine library's own timers.
use crate::clock::monotonic_ms;
use crate::timers;
use corkbay::Ms;
use corkbay_ledger::pressure::{decide, Case, Decision};
use corkbay_ledger::{Account, Purpose, Reservation};
use may::sync::mpsc;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// The kind of error of what found no room.
pub const NO_ROOM: ErrorKind = ErrorKind::OutOfMemory;

/// Resizes a reservation; waits for room as long as its purpose allows, and fails with [`NO_ROOM`] then.
pub fn grow(held: &mut Reservation, purpose: Purpose, bytes: usize) -> io::Result<()> {
    let began = monotonic_ms();
    loop {
        let Err(full) = held.resize(bytes) else { return Ok(()) };
        let (asked, cap, waited) = (full.asked, full.cap, monotonic_ms() - began);
        match decide(&Case { purpose, asked, cap, idle: 0, frees_in: None, waited }) {
            Decision::Wait { at_most } => wait(&full.account, asked, at_most),
            Decision::Evict { .. } | Decision::Refuse { .. } => return Err(NO_ROOM.into()),
        }
    }
}

/// Waits until so many bytes may fit, for so long at most.
pub fn wait(account: &Account, bytes: usize, at_most: Ms) {
    let (sender, room) = mpsc::channel();
    let _turn = account.when_room(bytes, move || _ = sender.send(()));
    let _ = timers::receive(&room, Duration::from_secs_f64(at_most.max(1.0) / 1000.0));
}
