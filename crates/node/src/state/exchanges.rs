//! The state of one connection to a worker, without its socket: which exchanges (a request and its response) are open
//! on it, and how far each request has been written.
use std::collections::{HashMap, VecDeque};

/// Number of ids of ended exchanges that a connection remembers and does not use again. A late or duplicate answer to one
/// must not be matched to a later attempt with the same id, which is sent on another connection.
const MAX_ENDED_IDS: usize = 256;

/// How far the request of an exchange has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Queued; nothing has been written.
    Queued,
    /// Its first bytes may have been written.
    Writing,
    /// Written completely.
    Written,
}

/// The exchanges of one connection; `W` is what waits for the end of an exchange.
#[derive(Debug)]
pub struct ConnectionExchanges<W> {
    open: HashMap<u64, (Stage, W)>,
    ended: VecDeque<u64>,
    streams: usize,
    closed: bool,
}

impl<W> ConnectionExchanges<W> {
    /// A connection that carries up to `streams` concurrent exchanges.
    pub fn new(streams: usize) -> Self {
        ConnectionExchanges {
            open: HashMap::new(),
            ended: VecDeque::new(),
            streams: streams.max(1),
            closed: false,
        }
    }

    /// Whether an exchange with this id may be opened.
    pub fn admits(&self, id: u64) -> bool {
        !self.closed
            && self.open.len() < self.streams
            && !self.open.contains_key(&id)
            && !self.ended.contains(&id)
    }

    /// Opens an exchange if [`ConnectionExchanges::admits`] allows it; otherwise returns the waiter.
    pub fn open(&mut self, id: u64, waiter: W) -> Result<(), W> {
        if !self.admits(id) {
            return Err(waiter);
        }
        self.open.insert(id, (Stage::Queued, waiter));
        Ok(())
    }

    /// Marks an exchange as being written; false if it is not queued any more, for example because it was abandoned.
    pub fn begin(&mut self, id: u64) -> bool {
        match self.open.get_mut(&id) {
            Some((stage @ Stage::Queued, _)) => {
                *stage = Stage::Writing;
                true
            }
            _ => false,
        }
    }

    /// Marks the request of an exchange as written completely.
    pub fn mark_written(&mut self, id: u64) {
        if let Some((stage @ Stage::Writing, _)) = self.open.get_mut(&id) {
            *stage = Stage::Written;
        }
    }

    /// Ends an exchange for which an answer was received; returns its waiter, or `None` if no such exchange is open.
    pub fn answered(&mut self, id: u64) -> Option<W> {
        // An answer to a request that was not written can't belong to it.
        if self.open.get(&id).is_none_or(|entry| entry.0 == Stage::Queued) {
            return None;
        }
        let entry = self.open.remove(&id)?;
        self.remember_ended(id);
        Some(entry.1)
    }

    fn remember_ended(&mut self, id: u64) {
        self.ended.push_back(id);
        if self.ended.len() > MAX_ENDED_IDS {
            self.ended.pop_front();
        }
    }

    /// Abandons an exchange; returns its stage and its waiter.
    pub fn give_up(&mut self, id: u64) -> Option<(Stage, W)> {
        let entry = self.open.remove(&id)?;
        if entry.0 != Stage::Queued {
            self.remember_ended(id);
        }
        Some(entry)
    }

    /// Marks the connection as closed if no exchange is open; returns whether it is closed.
    pub fn close_idle(&mut self) -> bool {
        self.closed |= self.open.is_empty();
        self.closed
    }

    /// Marks the connection as closed; returns the stages and waiters of all open exchanges.
    pub fn close(&mut self) -> Vec<(Stage, W)> {
        self.closed = true;
        self.open.drain().map(|entry| entry.1).collect()
    }

    /// Whether no exchange is open.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }
}
