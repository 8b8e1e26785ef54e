//! The table of client connections: what each waits for, which are drained, and which is evicted when another client wants
//! its place.
use corkbay::Ms;
use std::collections::BTreeMap;

/// How often the place of a connection is wanted while something stands unread on it before its reader is taken for held up.
const READERS_TURNS: u32 = 5;

/// The connections of clients; `H` is what closes one.
#[derive(Debug)]
pub struct ClientTable<H> {
    next: u64,
    entries: BTreeMap<u64, Entry<H>>,
}

#[derive(Debug)]
struct Entry<H> {
    handle: H,
    /// Requests that are owed an answer on it.
    open: usize,
    /// It was given an answer.
    answered: bool,
    /// When it connected, or last had an answer or a request open.
    since: Ms,
    /// Its place was given to another: it is to end.
    evicted: bool,
    /// Its place was wanted while something stood unread on it: it ends once nothing is owed on it.
    leaving: bool,
    /// How often its place was wanted while something stood unread on it.
    unread_looks: u32,
    /// It is closed once nothing is owed on it, or passed on before.
    draining: bool,
    /// Its reading side is shut, or it was handed over.
    shut: bool,
}

/// What a client's connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// Something is owed on it.
    Busy,
    /// It was answered before and has nothing open.
    Idle,
    /// It never had an answer and has nothing open.
    Silent,
}

/// Why no connection gives way to a newcomer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoneIdle {
    /// Something stands unread on one that is owed nothing, whose reader has had no turn yet.
    Unread,
    /// All are owed something, or their readers are held up.
    Busy,
}

impl<H> Default for ClientTable<H> {
    fn default() -> Self {
        ClientTable { next: 0, entries: BTreeMap::new() }
    }
}

impl<H: Clone> ClientTable<H> {
    /// Takes a new connection in; tells its number.
    pub fn insert(&mut self, handle: H, now: Ms) -> u64 {
        self.next += 1;
        let entry = Entry {
            handle,
            open: 0,
            answered: false,
            since: now,
            evicted: false,
            leaving: false,
            unread_looks: 0,
            draining: false,
            shut: false,
        };
        self.entries.insert(self.next, entry);
        self.next
    }

    /// The connection has ended.
    pub fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
    }

    /// A request was taken on it.
    pub fn opened(&mut self, number: u64) {
        self.entries.entry(number).and_modify(|entry| entry.open += 1);
    }

    /// A request on it has come to its end; tells whether it is drained.
    pub fn closed(&mut self, number: u64, now: Ms) -> bool {
        self.entries.get_mut(&number).is_some_and(|entry| {
            (entry.open, entry.since) = (entry.open.saturating_sub(1), now);
            entry.draining
        })
    }

    /// An answer was written to it.
    pub fn answered(&mut self, number: u64, now: Ms) {
        self.entries.entry(number).and_modify(|entry| (entry.answered, entry.since) = (true, now));
    }

    /// What it is waiting for, and since when.
    pub fn state(&self, number: u64) -> (ClientState, Ms) {
        self.entries.get(&number).map_or((ClientState::Silent, 0.0), |entry| {
            let state = match (entry.open, entry.answered) {
                (1.., _) => ClientState::Busy,
                (0, true) => ClientState::Idle,
                (0, false) => ClientState::Silent,
            };
            (state, entry.since)
        })
    }

    /// Drains all: each is closed once nothing is owed on it. Names those on which nothing is owed and nothing stands
    /// unread, whose reading sides are to be shut, each once. The others are read on as before, so that their clients are
    /// seen to leave.
    pub fn drain(&mut self, mut has_unread: impl FnMut(&H) -> bool) -> Vec<H> {
        let mut idle = Vec::new();
        for entry in self.entries.values_mut() {
            entry.draining = true;
            if entry.shut || entry.open > 0 || has_unread(&entry.handle) {
                continue;
            }
            entry.shut = true;
            idle.push(entry.handle.clone());
        }
        idle
    }

    /// Whether the connection may be passed on; from then on it is nobody else's to close.
    pub fn hand_over(&mut self, number: u64) -> bool {
        let entry =
            self.entries.get_mut(&number).filter(|entry| entry.draining && !entry.shut && !entry.evicted);
        entry.map(|entry| (entry.shut, entry.evicted) = (true, true)).is_some()
    }

    /// Whether it is closed once nothing is owed on it.
    pub fn is_draining(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.draining)
    }

    /// Whether its reading side is shut.
    pub fn is_shut(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.shut)
    }

    /// Whether its place is given to another, or to be given.
    pub fn is_evicted(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.evicted || entry.leaving)
    }

    /// Whether its reading side is to be shut now, since its place was wanted and nothing is owed on it any more. True once.
    pub fn leave(&mut self, number: u64) -> bool {
        let entry =
            self.entries.get_mut(&number).filter(|entry| entry.leaving && entry.open == 0 && !entry.shut);
        let Some(entry) = entry else { return false };
        (entry.draining, entry.shut) = (true, true);
        true
    }

    /// Whose place is given to another: of those with nothing open and nothing unread one that never had an answer, else
    /// the one idle longest. Each is named once, and is to be closed: only what has come by then is owed. Those before it
    /// on which something stands unread are read and answered first, and leave after that. Before one of them that never had
    /// an answer was read, none of those that had one gives way.
    pub fn evict_idle(&mut self, mut has_unread: impl FnMut(&H) -> bool) -> Result<H, NoneIdle> {
        let mut idle: Vec<_> =
            self.entries.values_mut().filter(|entry| entry.open == 0 && !entry.evicted).collect();
        idle.sort_by(|a, b| a.answered.cmp(&b.answered).then(a.since.total_cmp(&b.since)));
        let (mut is_silent_unread, mut wants_readers_turn) = (false, false);
        for entry in idle {
            if entry.answered && is_silent_unread {
                break;
            }
            if has_unread(&entry.handle) {
                entry.leaving = true;
                entry.unread_looks = entry.unread_looks.saturating_add(1);
                wants_readers_turn |= entry.unread_looks < READERS_TURNS;
                is_silent_unread |= !entry.answered;
                continue;
            }
            (entry.evicted, entry.draining, entry.shut) = (true, true, true);
            return Ok(entry.handle.clone());
        }
        Err(if wants_readers_turn { NoneIdle::Unread } else { NoneIdle::Busy })
    }
}

#[cfg(test)]
mod tests;
