//! The table of client connections: the state of each, which ones are draining, and which one is evicted to make room for
//! a new connection.
use corkbay::Ms;
use std::collections::BTreeMap;

/// Number of eviction attempts that find unread data on a connection before its reader is considered stalled.
const MAX_UNREAD_ATTEMPTS: u32 = 5;

/// The client connections; `H` is a handle to close one.
#[derive(Debug)]
pub struct ClientTable<H> {
    last_number: u64,
    entries: BTreeMap<u64, Entry<H>>,
}

#[derive(Debug)]
struct Entry<H> {
    handle: H,
    /// Number of unanswered requests.
    open: usize,
    /// Whether an answer was ever written to it.
    answered: bool,
    /// When it connected, or when its last answer was written or its last request ended; on the monotonic clock in
    /// milliseconds.
    since: Ms,
    /// Whether it was chosen for eviction and is to be closed.
    evicted: bool,
    /// Whether an eviction attempt found unread data on it: it is closed once all its requests are answered.
    evict_when_answered: bool,
    /// Number of eviction attempts that found unread data on it.
    unread_attempts: u32,
    /// Whether it is draining: it is closed once all its requests are answered, or handed over before that.
    draining: bool,
    /// Whether its read side is shut down, or it was handed over.
    shut: bool,
}

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// It has unanswered requests.
    Busy,
    /// It was answered before and has no open request.
    Idle,
    /// It was never answered and has no open request.
    NeverAnswered,
}

/// Why no connection can be evicted to make room for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionError {
    /// A connection without open requests has unread data that its reader has not had the time to read yet.
    Unread,
    /// All connections have open requests or a stalled reader.
    Busy,
}

impl<H> Default for ClientTable<H> {
    fn default() -> Self {
        ClientTable { last_number: 0, entries: BTreeMap::new() }
    }
}

impl<H: Clone> ClientTable<H> {
    /// Adds a new connection; returns its number. `now` is on the monotonic clock in milliseconds, here and below.
    pub fn insert(&mut self, handle: H, now: Ms) -> u64 {
        self.last_number += 1;
        let entry = Entry {
            handle,
            open: 0,
            answered: false,
            since: now,
            evicted: false,
            evict_when_answered: false,
            unread_attempts: 0,
            draining: false,
            shut: false,
        };
        self.entries.insert(self.last_number, entry);
        self.last_number
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
    }

    /// Registers a request that was received on the connection.
    pub fn opened(&mut self, number: u64) {
        self.entries.entry(number).and_modify(|entry| entry.open += 1);
    }

    /// Registers the end of a request; returns whether the connection is draining.
    pub fn closed(&mut self, number: u64, now: Ms) -> bool {
        self.entries.get_mut(&number).is_some_and(|entry| {
            (entry.open, entry.since) = (entry.open.saturating_sub(1), now);
            entry.draining
        })
    }

    /// Registers an answer that was written to the connection.
    pub fn answered(&mut self, number: u64, now: Ms) {
        self.entries.entry(number).and_modify(|entry| (entry.answered, entry.since) = (true, now));
    }

    /// The state of a connection, and since when on the monotonic clock in milliseconds.
    pub fn state(&self, number: u64) -> (ClientState, Ms) {
        self.entries.get(&number).map_or((ClientState::NeverAnswered, 0.0), |entry| {
            let state = match (entry.open, entry.answered) {
                (1.., _) => ClientState::Busy,
                (0, true) => ClientState::Idle,
                (0, false) => ClientState::NeverAnswered,
            };
            (state, entry.since)
        })
    }

    /// Starts to drain all connections: each is closed once all its requests are answered. Returns the connections without
    /// open requests and without unread data; the caller shuts down their read sides. Each is returned once. The others
    /// are still read, so that a disconnect of their clients is noticed.
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

    /// Marks a draining connection as handed over to another process; false if it can't be handed over. From then on nothing
    /// else closes it.
    pub fn hand_over(&mut self, number: u64) -> bool {
        let entry =
            self.entries.get_mut(&number).filter(|entry| entry.draining && !entry.shut && !entry.evicted);
        entry.map(|entry| (entry.shut, entry.evicted) = (true, true)).is_some()
    }

    /// Whether the connection is draining.
    pub fn is_draining(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.draining)
    }

    /// Whether the read side of the connection is shut down.
    pub fn is_shut(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.shut)
    }

    /// Whether the connection is evicted, or will be once its requests are answered.
    pub fn is_evicted(&self, number: u64) -> bool {
        self.entries.get(&number).is_some_and(|entry| entry.evicted || entry.evict_when_answered)
    }

    /// Whether the read side is to be shut down now, as an eviction was deferred and all requests are answered. Returns true
    /// once.
    pub fn leave(&mut self, number: u64) -> bool {
        let entry = self
            .entries
            .get_mut(&number)
            .filter(|entry| entry.evict_when_answered && entry.open == 0 && !entry.shut);
        let Some(entry) = entry else { return false };
        (entry.draining, entry.shut) = (true, true);
        true
    }

    /// Chooses a connection to evict among those without open requests and without unread data: one that was never
    /// answered, else the one that is idle longest. Each is returned once and is to be closed; only requests received by
    /// then are still answered. Connections earlier in this order that have unread data are read and answered first, and
    /// closed after that. While a connection that was never answered has unread data, no answered one is evicted.
    pub fn evict_idle(&mut self, mut has_unread: impl FnMut(&H) -> bool) -> Result<H, EvictionError> {
        let mut idle: Vec<_> =
            self.entries.values_mut().filter(|entry| entry.open == 0 && !entry.evicted).collect();
        idle.sort_by(|a, b| a.answered.cmp(&b.answered).then(a.since.total_cmp(&b.since)));
        let (mut has_unread_silent, mut reader_may_catch_up) = (false, false);
        for entry in idle {
            if entry.answered && has_unread_silent {
                break;
            }
            if has_unread(&entry.handle) {
                entry.evict_when_answered = true;
                entry.unread_attempts = entry.unread_attempts.saturating_add(1);
                reader_may_catch_up |= entry.unread_attempts < MAX_UNREAD_ATTEMPTS;
                has_unread_silent |= !entry.answered;
                continue;
            }
            (entry.evicted, entry.draining, entry.shut) = (true, true, true);
            return Ok(entry.handle.clone());
        }
        Err(if reader_may_catch_up { EvictionError::Unread } else { EvictionError::Busy })
    }
}

#[cfg(test)]
mod tests;
