//! The state of one connection to a worker, apart from its socket: which exchanges are open on it and
//! how far each has come.
use std::collections::{HashMap, VecDeque};

/// Ids of ended exchanges that a connection remembers: a late or second answer to one must not be taken for
/// a later attempt's under the same id, which goes out on another connection.
const SPENT: usize = 256;

/// How far an exchange has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for its turn.
    Queued,
    /// Its first byte may have been written.
    Writing,
    /// Whole on the wire.
    Whole,
}

/// The exchanges of one connection; `W` is whoever waits for the end of one.
#[derive(Debug)]
pub struct Link<W> {
    open: HashMap<u64, (Stage, W)>,
    spent: VecDeque<u64>,
    streams: usize,
    closed: bool,
}

impl<W> Link<W> {
    /// A connection that carries so many exchanges at once.
    pub fn new(streams: usize) -> Self {
        Link { open: HashMap::new(), spent: VecDeque::new(), streams: streams.max(1), closed: false }
    }

    /// Whether an exchange with that id may be opened.
    pub fn admits(&self, id: u64) -> bool {
        !self.closed
            && self.open.len() < self.streams
            && !self.open.contains_key(&id)
            && !self.spent.contains(&id)
    }

    /// Opens an exchange where [`Link::admits`] allows it; gives the waiter back where not.
    pub fn open(&mut self, id: u64, waiter: W) -> Result<(), W> {
        if !self.admits(id) {
            return Err(waiter);
        }
        self.open.insert(id, (Stage::Queued, waiter));
        Ok(())
    }

    /// Its bytes are about to be written; false if it was given up meanwhile.
    pub fn begin(&mut self, id: u64) -> bool {
        match self.open.get_mut(&id) {
            Some((stage @ Stage::Queued, _)) => {
                *stage = Stage::Writing;
                true
            }
            _ => false,
        }
    }

    /// Its last byte was written.
    pub fn whole(&mut self, id: u64) {
        if let Some((stage @ Stage::Writing, _)) = self.open.get_mut(&id) {
            *stage = Stage::Whole;
        }
    }

    /// An answer came under that id; nobody may wait for it any more.
    pub fn answered(&mut self, id: u64) -> Option<W> {
        // An answer to what was never written is no answer.
        if self.open.get(&id).is_none_or(|entry| entry.0 == Stage::Queued) {
            return None;
        }
        let entry = self.open.remove(&id)?;
        self.spend(id);
        Some(entry.1)
    }

    fn spend(&mut self, id: u64) {
        self.spent.push_back(id);
        if self.spent.len() > SPENT {
            self.spent.pop_front();
        }
    }

    /// Gives an exchange up; tells how far it had come.
    pub fn give_up(&mut self, id: u64) -> Option<(Stage, W)> {
        let entry = self.open.remove(&id)?;
        if entry.0 != Stage::Queued {
            self.spend(id);
        }
        Some(entry)
    }

    /// Closes the connection if nothing is open on it; tells whether it is closed.
    pub fn close_idle(&mut self) -> bool {
        self.closed |= self.open.is_empty();
        self.closed
    }

    /// The connection ended; hands back all that was open.
    pub fn close(&mut self) -> Vec<(Stage, W)> {
        self.closed = true;
        self.open.drain().map(|entry| entry.1).collect()
    }

    /// Whether nothing is open on it.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed
    }
}
