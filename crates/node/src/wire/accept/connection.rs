//! A client's connection: what is owed on it, how it is answered, passed on and closed.
use super::slots::{Slot, SlotKind, Slots};
use super::Table;
use crate::core::{lock, monotonic_ms};
use crate::memory::clients::ClientState;
use crate::timers;
use crate::wire::passage::{Passage, Passed};
use crate::wire::socket::Socket;
use corkbay::Ms;
use corkbay_ledger::Account;
use may::sync::{Mutex, Semphore};
use std::net::Shutdown;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

/// Most bytes that are read and thrown away after the last answer, and how many of the longest waits for one that may take.
const LINGER_BYTES: usize = 4 << 20;
const LINGER_WAITS: u32 = 4;

/// How long a connection that is turned away keeps its slot though it asks nothing, in milliseconds.
const TURN_AWAY_MS: Ms = 20.0;

/// What a connection takes: the stack of its task as far as it is touched, a chunk, its entry.
pub const CONNECTION_BYTES: usize = 14 << 10;

/// A client's connection with its entry in the table, which it keeps until the descriptor is closed.
pub struct Connection {
    socket: Socket,
    number: u64,
    clients: Table,
    /// Posted when a request has come to its end on a connection that is drained.
    ended: Semphore,
    /// Where answers go once it was passed on. Held while one is written.
    passed: Mutex<Option<Passed>>,
    account: Account,
    slots: Arc<Slots>,
    kind: SlotKind,
    let_in: Ms,
    /// The earliest time at which it can have come to the listener's queue.
    queued_since: Ms,
    /// Given back when it is passed on, or last, after the descriptor.
    slot: Mutex<Option<Slot>>,
}

impl Connection {
    pub(super) fn new(socket: Socket, clients: &Table, slot: Slot, queued_since: Ms) -> Arc<Self> {
        let slots = slot.slots.clone();
        let socket = socket.on_reader_waits(move || slots.note_change());
        Arc::new_cyclic(|connection| {
            let number = lock(clients).insert(connection.clone(), monotonic_ms());
            Connection {
                socket,
                number,
                clients: clients.clone(),
                ended: Semphore::new(0),
                passed: Mutex::new(None),
                account: slot.memory.account().clone(),
                slots: slot.slots.clone(),
                kind: slot.kind,
                let_in: monotonic_ms(),
                queued_since,
                slot: Mutex::new(Some(slot)),
            }
        })
    }

    /// Its number in the table of clients.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// A request was taken on the connection: it keeps its slot until [`Connection::closed`].
    pub fn opened(&self) {
        lock(&self.clients).opened(self.number);
        self.slots.note_change();
    }

    /// A request on it has come to its end.
    pub fn closed(&self) {
        if lock(&self.clients).closed(self.number, monotonic_ms()) {
            self.ended.post();
        }
        if lock(&self.clients).leave(self.number) {
            // What came meanwhile is read and answered by its reader, which ends after that.
            self.socket.shut(Shutdown::Read);
        }
        self.slots.note_change();
    }

    /// Keeps the slot while a request is looked at and answered.
    pub fn keep(&self) -> Kept<'_> {
        self.opened();
        Kept(self)
    }

    /// Whether it was let in only to be told that there is no room for it.
    pub fn is_turned_away(&self) -> bool {
        self.kind == SlotKind::Spare
    }

    /// Whether it was let in to be turned away, and its reader may still be about to take what it asks.
    pub(super) fn is_being_turned_away(&self) -> bool {
        self.is_turned_away() && monotonic_ms() < self.let_in + TURN_AWAY_MS
    }

    /// The earliest time at which what is read on it now can have come.
    pub fn came_at(&self) -> Ms {
        let now = monotonic_ms();
        // What it brought along from the queue is read at once.
        if now < self.let_in + TURN_AWAY_MS {
            self.queued_since.min(now)
        } else {
            now
        }
    }

    /// Waits until a request has come to its end on the connection, which is drained, or for that long.
    pub fn wait_for_an_end(&self, within: Duration) {
        timers::wait_for_post(&self.ended, within);
    }

    /// Where what is read on the connection counts.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Writes an answer.
    pub fn answer(&self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write(bytes)?;
        lock(&self.clients).answered(self.number, monotonic_ms());
        Ok(())
    }

    /// Ends what is owed under that number, with these bytes or, where nobody waits any more, with none. `settle` strikes
    /// it out, and tells whether it was still owed; what is `held` for it is given back after, whichever process writes.
    pub fn end(&self, seqid: i32, bytes: Vec<u8>, settle: impl FnOnce() -> bool, held: impl Send + 'static) {
        // Not while the connection passes on: what is owed goes with it or is ended, never neither or both.
        let passed = lock(&self.passed);
        if !settle() {
            return;
        }
        if let Some(passed) = &*passed {
            return passed.end(seqid, bytes, Box::new(held));
        }
        if !bytes.is_empty() {
            // A client that can't be written to is seen by the reading side of its connection.
            let _ = self.answer(&bytes);
        }
        drop(passed);
        self.closed();
    }

    /// Passes the connection on, unless an answer is being written; told by its reader, which has read whole messages
    /// only and reads no more once it is true.
    pub fn pass(&self, passage: &Passage, owed: impl FnOnce() -> Vec<i32>) -> bool {
        let Ok(mut passed) = self.passed.try_lock() else { return false };
        if !passage.is_open() || !lock(&self.clients).hand_over(self.number) {
            return false;
        }
        let ours = passage.pass(|| self.socket.duplicate(), owed());
        if ours.is_none() {
            // It is left as any other.
            self.shut(Shutdown::Read);
            return false;
        }
        *passed = ours;
        lock(&self.clients).remove(self.number);
        drop(lock(&self.slot).take());
        true
    }

    /// Whether it is to be closed once nothing is owed on it.
    pub fn is_draining(&self) -> bool {
        lock(&self.clients).is_draining(self.number)
    }

    /// Whether its reader was told so: from then on an end of what is read tells nothing of the client.
    pub fn is_shut(&self) -> bool {
        lock(&self.clients).is_shut(self.number)
    }

    /// Whether another waits for its place, so that what has not come whole is not waited for.
    pub fn is_evicted(&self) -> bool {
        lock(&self.clients).is_evicted(self.number)
    }

    /// Lets the client read the last answer: a connection closed over bytes that were not read is reset, and
    /// the answer may be lost with it. `within` is for each wait, and [`LINGER_WAITS`] times that for all.
    pub fn linger(&self, within: Duration) {
        self.shut(Shutdown::Write);
        let end = monotonic_ms() + (within * LINGER_WAITS).as_secs_f64() * 1000.0;
        let (mut chunk, mut left) = ([0; 1024], LINGER_BYTES);
        while let Ok(size @ 1..) = self.read(&mut chunk, within) {
            left = left.saturating_sub(size);
            if left == 0 || monotonic_ms() > end {
                return;
            }
        }
    }

    /// What the connection is waiting for, and since when.
    pub fn state(&self) -> (ClientState, Ms) {
        lock(&self.clients).state(self.number)
    }
}

impl Deref for Connection {
    type Target = Socket;

    fn deref(&self) -> &Socket {
        &self.socket
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.clients).remove(self.number);
    }
}

/// A request that is being looked at on a connection.
pub struct Kept<'a>(&'a Connection);

impl Drop for Kept<'_> {
    fn drop(&mut self) {
        self.0.closed();
    }
}
