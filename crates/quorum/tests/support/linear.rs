//! Checks whether a client history of one register is linearizable: some order of the calls, each between its
//! begin and its end, explains every result. A call without an end may take effect at any time after its begin,
//! or never.
//!
//! The search remembers the states it has visited (Wing and Gong's algorithm with Lowe's improvement). The
//! checker of `stateright` does not, and takes hours if a dozen calls have no end.
use std::collections::HashSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Write(u32),
    Read,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    call: Call,
    /// The value that a read returned.
    value: u32,
    begin: u64,
    end: Option<u64>,
}

/// Calls and their ends, in the order in which they happened.
#[derive(Default)]
pub struct History {
    entries: Vec<Entry>,
    clock: u64,
}

/// Maximum number of calls that one search can handle.
pub const MAX_CALLS: usize = 128;

impl History {
    /// Records the begin of a call and returns its number.
    pub fn begin(&mut self, call: Call) -> usize {
        self.clock += 1;
        self.entries.push(Entry { call, value: 0, begin: self.clock, end: None });
        self.entries.len() - 1
    }

    /// Records the end of a call; `value` is what a read returned.
    pub fn end(&mut self, number: usize, value: u32) {
        self.clock += 1;
        let entry = &mut self.entries[number];
        (entry.value, entry.end) = (value, Some(self.clock));
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether some order explains all results, for a register that is initially 0.
    pub fn is_linearizable(&self) -> bool {
        // A read without an end returned nothing to any client.
        let has_effect = |entry: &&Entry| entry.end.is_some() || entry.call != Call::Read;
        let entries: Vec<Entry> = self.entries.iter().filter(has_effect).copied().collect();
        assert!(entries.len() <= MAX_CALLS, "the history is too long");
        let ended =
            (0..entries.len()).filter(|at| entries[*at].end.is_some()).fold(0u128, |all, at| all | 1 << at);
        let (mut open, mut seen) = (vec![(0u128, 0u32)], HashSet::new());
        while let Some((done, value)) = open.pop() {
            if done & ended == ended {
                return true;
            }
            let left = || entries.iter().enumerate().filter(|(at, _)| done >> at & 1 == 0);
            let first_end = left().filter_map(|(_, entry)| entry.end).min().unwrap_or(u64::MAX);
            for (at, entry) in left().filter(|(_, entry)| entry.begin < first_end) {
                let next = match entry.call {
                    Call::Write(written) => written,
                    Call::Read if entry.value == value => value,
                    Call::Read => continue,
                };
                if seen.insert((done | 1 << at, next)) {
                    open.push((done | 1 << at, next));
                }
            }
        }
        false
    }
}
