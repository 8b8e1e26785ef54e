//! Counts the open connections of a listener against its limit.
use crate::core::{lock, monotonic_ms, time_until};
use crate::timers;
use corkbay_ledger::Reservation;
use may::sync::{Condvar, Mutex};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of connections beyond the limit, whose requests are refused.
pub(super) const MAX_SPARE_SLOTS: usize = 4;

/// The slots of a listener, one per open connection.
pub(super) struct Slots {
    counts: Mutex<SlotCounts>,
    limit: AtomicUsize,
    changed: Condvar,
}

#[derive(Default)]
struct SlotCounts {
    regular: usize,
    /// Connections beyond the limit.
    spare: usize,
    /// Number of events after which a new connection may be admitted: released slots, requests that started or ended, and
    /// readers that began to wait.
    changes: u64,
}

impl Slots {
    pub(super) fn new(limit: usize) -> Self {
        Slots { counts: Mutex::default(), limit: AtomicUsize::new(limit.max(1)), changed: Condvar::new() }
    }

    fn is_full(&self, counts: &SlotCounts) -> bool {
        counts.regular >= self.limit.load(Ordering::Acquire)
    }

    /// Takes a slot if one is free.
    pub(super) fn take(&self) -> bool {
        let mut counts = lock(&self.counts);
        let free = !self.is_full(&counts);
        counts.regular += usize::from(free);
        free
    }

    /// Takes a slot beyond the limit if one is free.
    pub(super) fn take_spare(&self) -> bool {
        let mut counts = lock(&self.counts);
        let free = counts.spare < MAX_SPARE_SLOTS;
        counts.spare += usize::from(free);
        free
    }

    pub(super) fn release(&self, kind: SlotKind) {
        let mut counts = lock(&self.counts);
        match kind {
            SlotKind::Regular => counts.regular -= 1,
            SlotKind::Spare => counts.spare -= 1,
        }
        counts.changes += 1;
        self.changed.notify_all();
    }

    /// Takes a slot regardless of the limit.
    pub(super) fn take_over(&self) {
        lock(&self.counts).regular += 1;
    }

    /// Number of open connections, including those beyond the limit.
    pub(super) fn open_connections(&self) -> usize {
        let counts = lock(&self.counts);
        counts.regular + counts.spare
    }

    /// Changes the limit; at least one connection is always allowed.
    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.store(limit.max(1), Ordering::Release);
    }

    /// Wakes waiters because a connection may have become idle.
    pub(super) fn note_change(&self) {
        lock(&self.counts).changes += 1;
        self.changed.notify_all();
    }

    /// Current value of the change counter, for [`Slots::wait_for_change`].
    pub(super) fn changes(&self) -> u64 {
        lock(&self.counts).changes
    }

    /// Waits until a slot is free, for `within` at most.
    pub(super) fn wait_for_free(&self, within: Duration) {
        let end = monotonic_ms() + within.as_secs_f64() * 1000.0;
        let mut counts = lock(&self.counts);
        while self.is_full(&counts) && monotonic_ms() < end {
            counts = timers::wait(&self.changed, counts, time_until(end));
        }
    }

    /// Waits until the change counter differs from `seen`, for `within` at most.
    pub(super) fn wait_for_change(&self, seen: u64, within: Duration) {
        let counts = lock(&self.counts);
        if counts.changes == seen {
            drop(timers::wait(&self.changed, counts, within));
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotKind {
    Regular,
    /// Beyond the limit: requests on the connection are refused.
    Spare,
}

/// The slot and memory of a connection, released on drop.
pub(super) struct Slot {
    pub(super) slots: Arc<Slots>,
    pub(super) kind: SlotKind,
    pub(super) memory: Reservation,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release(self.kind);
    }
}
