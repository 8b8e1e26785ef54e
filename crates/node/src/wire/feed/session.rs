//! A follower's connection and its send queue.
use crate::core::lock;
use crate::state::memory_wait;
use crate::state::record::Record;
use crate::wire::accept::Connection;
use crate::wire::framing::{self, FramingError};
use corkbay_feed::{CloseReason, ControlMessage};
use corkbay_ledger::Account;
use may::sync::Mutex;
use std::collections::VecDeque;
use std::net::Shutdown;
use std::sync::Arc;

/// Maximum number of waits for free memory in the account per message, and the length of each wait in milliseconds.
const MAX_MEMORY_WAITS: usize = 6;
const MEMORY_WAIT_MS: f64 = 500.0;

/// A queued operation on a connection.
enum QueuedOperation {
    Message(ControlMessage<Record>),
    Close(CloseReason),
}

#[derive(Default)]
struct Outbox {
    queue: VecDeque<QueuedOperation>,
    /// Whether a coroutine is processing the queue.
    is_writing: bool,
}

/// A follower's connection. Messages are queued in the outbox and sent by a writer coroutine that is started on demand, so
/// that a slow follower does not delay others.
pub struct Session {
    connection: Arc<Connection>,
    outbox: Mutex<Outbox>,
}

impl Session {
    /// Creates the session of a connection.
    pub fn new(connection: Arc<Connection>) -> Self {
        Session { connection, outbox: Mutex::default() }
    }

    /// Queues a message. Returns true if the caller must start a writer.
    pub fn queue(&self, message: ControlMessage<Record>) -> bool {
        self.push(QueuedOperation::Message(message))
    }

    /// Queues the end of the connection. Returns true if the caller must start a writer.
    pub fn queue_close(&self, reason: CloseReason) -> bool {
        self.push(QueuedOperation::Close(reason))
    }

    fn push(&self, operation: QueuedOperation) -> bool {
        let mut outbox = lock(&self.outbox);
        outbox.queue.push_back(operation);
        !std::mem::replace(&mut outbox.is_writing, true)
    }

    /// Processes the queue until it is empty and returns the number of bytes sent. After an error no further writer starts.
    pub fn write_queued(&self, account: &Account) -> Result<u64, FramingError> {
        let mut sent_bytes = 0;
        loop {
            let next = {
                let mut outbox = lock(&self.outbox);
                let next = outbox.queue.pop_front();
                outbox.is_writing = next.is_some();
                next
            };
            match next {
                None => return Ok(sent_bytes),
                Some(QueuedOperation::Message(message)) => sent_bytes += self.send(account, &message)? as u64,
                // Keeps the read side open so that the follower can still read the message that says so.
                Some(QueuedOperation::Close(CloseReason::Busy)) => self.connection.shut(Shutdown::Write),
                Some(QueuedOperation::Close(_)) => self.end(),
            }
        }
    }

    /// Shuts the connection down, which also ends its reader.
    pub fn end(&self) {
        self.connection.shut(Shutdown::Both);
    }

    fn send(&self, account: &Account, message: &ControlMessage<Record>) -> Result<usize, FramingError> {
        let mut waits = 0;
        loop {
            // Writes on the connection have their own timeout while the follower accepts no bytes.
            let mut socket = self.connection.with_read_timeout(super::server::WRITE_STALL);
            match framing::send(account, &mut socket, message) {
                Err(FramingError::Full(full)) if waits < MAX_MEMORY_WAITS => {
                    waits += 1;
                    memory_wait::wait_for_memory(&full.account, full.asked, MEMORY_WAIT_MS);
                }
                end => return end,
            }
        }
    }
}
