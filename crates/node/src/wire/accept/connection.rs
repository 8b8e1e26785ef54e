//! A client connection: its unanswered requests, and how it is answered, handed over and closed.
use super::slots::{Slot, SlotKind, Slots};
use super::SharedClientTable;
use crate::core::{lock, monotonic_ms};
use crate::state::clients::ClientState;
use crate::timers;
use crate::wire::connection_handover::{AnswerForwarder, HandedOverConnection, HandoverSender};
use crate::wire::receive_buffer::ReceiveBuffer;
use crate::wire::socket::Socket;
use corkbay::Ms;
use corkbay_ledger::Account;
use may::sync::{Mutex, Semphore};
use std::net::Shutdown;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of bytes that are discarded after the last answer, and the maximum total time for that, in multiples of the
/// timeout of one read.
const MAX_LINGER_BYTES: usize = 4 << 20;
const MAX_LINGER_WAITS: u32 = 4;

/// How long a connection beyond the limit keeps its slot without a request, in milliseconds. Bytes read in this time after
/// the accept may have arrived while the connection was queued.
const FIRST_READ_MS: Ms = 20.0;

/// Memory of a connection: the touched part of its coroutine's stack, a read chunk and its table entry.
pub const CONNECTION_BYTES: usize = 14 << 10;

/// A client connection with its entry in the table, which is removed on drop.
pub struct Connection {
    socket: Socket,
    number: u64,
    clients: SharedClientTable,
    /// Posted when a request ends while the connection is draining.
    ended: Semphore,
    /// Forwards answers after the connection was handed over. Locked while an answer is written.
    forwarder: Mutex<Option<AnswerForwarder>>,
    account: Account,
    slots: Arc<Slots>,
    kind: SlotKind,
    admitted_at: Ms,
    /// The earliest time at which the connection can have entered the accept queue.
    queued_since: Ms,
    /// Released when the connection is handed over or, as the last field, after the descriptor is closed.
    slot: Mutex<Option<Slot>>,
}

impl Connection {
    pub(super) fn new(
        socket: Socket,
        clients: &SharedClientTable,
        slot: Slot,
        queued_since: Ms,
    ) -> Arc<Self> {
        let slots = slot.slots.clone();
        let socket = socket.on_reader_waits(move || slots.note_change());
        Arc::new_cyclic(|connection| {
            let number = lock(clients).insert(connection.clone(), monotonic_ms());
            Connection {
                socket,
                number,
                clients: clients.clone(),
                ended: Semphore::new(0),
                forwarder: Mutex::new(None),
                account: slot.memory.account().clone(),
                slots: slot.slots.clone(),
                kind: slot.kind,
                admitted_at: monotonic_ms(),
                queued_since,
                slot: Mutex::new(Some(slot)),
            }
        })
    }

    /// Its number in the table of clients.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Counts a request as unanswered: the connection is not evicted until [`Connection::request_ended`].
    pub fn request_started(&self) {
        lock(&self.clients).opened(self.number);
        self.slots.note_change();
    }

    /// Counts a request as ended.
    pub fn request_ended(&self) {
        if lock(&self.clients).closed(self.number, monotonic_ms()) {
            self.ended.post();
        }
        if lock(&self.clients).leave(self.number) {
            // Its reader still handles the bytes that have arrived and then closes the connection.
            self.socket.shut(Shutdown::Read);
        }
        self.slots.note_change();
    }

    /// Keeps the connection from being evicted while a request is handled; ends with the returned guard.
    pub fn hold_request(&self) -> Kept<'_> {
        self.request_started();
        Kept(self)
    }

    /// Reserves memory for a message that is being read. The connection is not idle meanwhile, so it is not evicted to make
    /// room for others.
    pub fn while_busy<T>(&self, reserve: impl FnOnce() -> T) -> T {
        let _guard = self.hold_request();
        reserve()
    }

    /// Reads into a buffer, which waits for memory if it has to grow; see [`ReceiveBuffer::fill`].
    pub fn fill(
        &self,
        buffer: &mut ReceiveBuffer,
        chunk: &mut [u8],
        within: Duration,
    ) -> std::io::Result<usize> {
        if buffer.is_full() {
            self.while_busy(|| buffer.grow())?;
        }
        buffer.fill(&self.socket, chunk, within)
    }

    /// Whether it was accepted beyond the limit, so that its requests are refused.
    pub fn is_beyond_limit(&self) -> bool {
        self.kind == SlotKind::Spare
    }

    /// Whether it was accepted beyond the limit and its first request may still be about to be read.
    pub(super) fn is_awaiting_refused_request(&self) -> bool {
        self.is_beyond_limit() && monotonic_ms() < self.admitted_at + FIRST_READ_MS
    }

    /// The earliest time at which the bytes of the last read can have arrived.
    pub fn earliest_arrival(&self) -> Ms {
        let arrived_at = self.socket.last_read_arrival();
        // Bytes that were there when the connection was admitted may have arrived while it was queued.
        if arrived_at <= self.admitted_at {
            self.queued_since.min(arrived_at)
        } else {
            arrived_at
        }
    }

    /// Waits until a request ends on this draining connection, for `within` at most.
    pub fn wait_for_an_end(&self, within: Duration) {
        timers::wait_for_post(&self.ended, within);
    }

    /// The account that bytes read from the connection are charged to.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Writes an answer.
    pub fn answer(&self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write(bytes)?;
        lock(&self.clients).answered(self.number, monotonic_ms());
        Ok(())
    }

    /// Ends the request with that sequence number and writes its encoded answer; `bytes` is empty if the client no longer
    /// waits. `settle` removes the request and returns whether it was still unanswered. `held` is released after the answer
    /// is written, whichever process writes it.
    pub fn finish_request(
        &self,
        seqid: i32,
        bytes: Vec<u8>,
        settle: impl FnOnce() -> bool,
        held: impl Send + 'static,
    ) {
        // Excludes a concurrent handover: each request is either handed over or ended here, never both or neither.
        let forwarder = lock(&self.forwarder);
        if !settle() {
            return;
        }
        if let Some(forwarder) = &*forwarder {
            return forwarder.forward(seqid, bytes, Box::new(held));
        }
        if !bytes.is_empty() {
            // Write errors are ignored: the read loop detects a broken connection.
            let _ = self.answer(&bytes);
        }
        drop(forwarder);
        self.request_ended();
    }

    /// Hands the connection over to the successor, unless an answer is being written. Called by the reader when no incomplete
    /// message is buffered; it must not read any more if this returns true.
    pub fn hand_over(
        &self,
        handover: &HandoverSender,
        unanswered: impl FnOnce() -> Vec<i32>,
        handed_over: impl FnOnce() -> Arc<dyn HandedOverConnection>,
    ) -> bool {
        let Ok(mut forwarder_slot) = self.forwarder.try_lock() else { return false };
        if !handover.is_open() || !lock(&self.clients).hand_over(self.number) {
            return false;
        }
        let forwarder = handover.pass(|| self.socket.duplicate(), unanswered(), handed_over());
        if forwarder.is_none() {
            // The handover failed: the connection is drained as usual.
            self.shut(Shutdown::Read);
            return false;
        }
        *forwarder_slot = forwarder;
        lock(&self.clients).remove(self.number);
        drop(lock(&self.slot).take());
        true
    }

    /// Waits until an answer that is being written has been written.
    pub fn finish_writing(&self) {
        drop(lock(&self.forwarder));
    }

    /// Takes the connection back from a successor that has ended: this process writes its answers again.
    pub fn take_back(&self) {
        *lock(&self.forwarder) = None;
    }

    /// Whether it is closed once all requests are answered.
    pub fn is_draining(&self) -> bool {
        lock(&self.clients).is_draining(self.number)
    }

    /// Whether the read side was shut down by this process. From then on an end of the stream doesn't mean that the client
    /// disconnected.
    pub fn is_shut(&self) -> bool {
        lock(&self.clients).is_shut(self.number)
    }

    /// Whether another connection waits for its slot, so that the rest of an incomplete message is not waited for.
    pub fn is_evicted(&self) -> bool {
        lock(&self.clients).is_evicted(self.number)
    }

    /// Lets the client read the last answer: closing a connection with unread bytes resets it, and the answer may be lost.
    /// `within` is the timeout of each read; [`MAX_LINGER_WAITS`] times that is the limit in total.
    pub fn linger(&self, within: Duration) {
        self.shut(Shutdown::Write);
        let end = monotonic_ms() + (within * MAX_LINGER_WAITS).as_secs_f64() * 1000.0;
        let (mut chunk, mut remaining_bytes) = ([0; 1024], MAX_LINGER_BYTES);
        while let Ok(size @ 1..) = self.read(&mut chunk, within) {
            remaining_bytes = remaining_bytes.saturating_sub(size);
            if remaining_bytes == 0 || monotonic_ms() > end {
                return;
            }
        }
    }

    /// The state of the connection, and since when in milliseconds.
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

/// Guard that counts a request as unanswered while it is handled.
pub struct Kept<'a>(&'a Connection);

impl Drop for Kept<'_> {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}
