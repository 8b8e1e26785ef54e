//! How many connections are held at a time, and what each gives back at its end.
use crate::core::{lock, monotonic_ms, until};
use crate::timers;
use corkbay_ledger::Reservation;
use may::sync::{Condvar, Mutex};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Connections beyond the limit that may be held at once to be turned away.
pub(super) const SPARE_SLOTS: usize = 4;

/// How many connections are held, and how many may be.
pub(super) struct Slots {
    held: Mutex<Held>,
    most: AtomicUsize,
    changed: Condvar,
}

#[derive(Default)]
struct Held {
    regular: usize,
    /// Beyond the limit, to be turned away.
    spare: usize,
    /// Counts what may let a newcomer in: slots given back, and requests that have come to their end.
    changes: u64,
}

impl Slots {
    pub(super) fn new(most: usize) -> Self {
        Slots { held: Mutex::default(), most: AtomicUsize::new(most.max(1)), changed: Condvar::new() }
    }

    fn is_full(&self, held: &Held) -> bool {
        held.regular >= self.most.load(Ordering::Acquire)
    }

    /// Takes a slot if one is free.
    pub(super) fn take(&self) -> bool {
        let mut held = lock(&self.held);
        let free = !self.is_full(&held);
        held.regular += usize::from(free);
        free
    }

    /// Takes a slot beyond the limit if one is free.
    pub(super) fn take_spare(&self) -> bool {
        let mut held = lock(&self.held);
        let free = held.spare < SPARE_SLOTS;
        held.spare += usize::from(free);
        free
    }

    pub(super) fn give_back(&self, kind: SlotKind) {
        let mut held = lock(&self.held);
        match kind {
            SlotKind::Regular => held.regular -= 1,
            SlotKind::Spare => held.spare -= 1,
        }
        held.changes += 1;
        self.changed.notify_all();
    }

    /// Takes a slot whether one is free or not.
    pub(super) fn take_over(&self) {
        lock(&self.held).regular += 1;
    }

    /// Connections that are held, those beyond the limit included.
    pub(super) fn held(&self) -> usize {
        let held = lock(&self.held);
        held.regular + held.spare
    }

    /// Sets how many may be held from now on, at least one.
    pub(super) fn set_most(&self, most: usize) {
        self.most.store(most.max(1), Ordering::Release);
    }

    /// A connection may have become idle.
    pub(super) fn note_change(&self) {
        lock(&self.held).changes += 1;
        self.changed.notify_all();
    }

    pub(super) fn changes(&self) -> u64 {
        lock(&self.held).changes
    }

    /// Waits until a slot is free, for that long at most.
    pub(super) fn wait_for_free(&self, within: Duration) {
        let end = monotonic_ms() + within.as_secs_f64() * 1000.0;
        let mut held = lock(&self.held);
        while self.is_full(&held) && monotonic_ms() < end {
            held = timers::wait(&self.changed, held, until(end));
        }
    }

    /// Waits until there are other changes than those that were seen, for that long at most.
    pub(super) fn wait_for_change(&self, seen: u64, within: Duration) {
        let held = lock(&self.held);
        if held.changes == seen {
            drop(timers::wait(&self.changed, held, within));
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotKind {
    Regular,
    /// Beyond the limit: what is asked on the connection is refused.
    Spare,
}

/// A client's slot and memory, given back however its task ends.
pub(super) struct Slot {
    pub(super) slots: Arc<Slots>,
    pub(super) kind: SlotKind,
    pub(super) memory: Reservation,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.give_back(self.kind);
    }
}
