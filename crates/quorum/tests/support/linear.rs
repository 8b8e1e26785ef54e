//! Whether what clients were told of one register is linearizable: some order of the calls, each between its begin and
//! its end, explains every answer. Calls without an end may take effect at any time after their begin, or never.
//!
//! The search remembers where it has been (Wing and Gong's, as Lowe improved it). That of `stateright` does not, and
//! takes hours where a dozen calls have no end.
use std::collections::HashSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Write(u32),
    Read,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    call: Call,
    /// What a read brought.
    value: u32,
    begin: u64,
    end: Option<u64>,
}

/// Calls and their ends, in the order in which they came about.
#[derive(Default)]
pub struct History {
    entries: Vec<Entry>,
    moment: u64,
}

/// As many calls as one search can hold.
pub const MOST: usize = 128;

impl History {
    /// A call begins; its number.
    pub fn begin(&mut self, call: Call) -> usize {
        self.moment += 1;
        self.entries.push(Entry { call, value: 0, begin: self.moment, end: None });
        self.entries.len() - 1
    }

    /// A call ends; `value` is what a read brought.
    pub fn end(&mut self, number: usize, value: u32) {
        self.moment += 1;
        let entry = &mut self.entries[number];
        (entry.value, entry.end) = (value, Some(self.moment));
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether some order explains all, for a register that begins at 0.
    pub fn is_linearizable(&self) -> bool {
        // A read without an end told nobody anything.
        let told = |entry: &&Entry| entry.end.is_some() || entry.call != Call::Read;
        let entries: Vec<Entry> = self.entries.iter().filter(told).copied().collect();
        assert!(entries.len() <= MOST, "too long a history");
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
