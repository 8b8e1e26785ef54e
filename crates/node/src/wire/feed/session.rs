//! One follower's connection and what is on its way to it.
use crate::core::lock;
use crate::memory::record::Record;
use crate::memory::room;
use crate::wire::accept::Connection;
use crate::wire::framing::{self, FramingError};
use corkbay_feed::{CloseReason, ControlMessage};
use corkbay_ledger::Account;
use may::sync::Mutex;
use std::collections::VecDeque;
use std::net::Shutdown;
use std::sync::Arc;

/// How often, and for how long each time in milliseconds, a message waits for room in the account.
const ROOM_WAITS: usize = 6;
const ROOM_WAIT_MS: f64 = 500.0;

/// What is to be done with a connection, in order.
enum Outgoing {
    Message(ControlMessage<Record>),
    Close(CloseReason),
}

#[derive(Default)]
struct Outbox {
    queue: VecDeque<Outgoing>,
    /// A coroutine is writing what is in the queue.
    is_writing: bool,
}

/// A follower's connection. Whoever has something for it leaves that in the outbox, and starts a writer if there is none:
/// a follower that reads slowly keeps nobody else waiting.
pub struct Session {
    connection: Arc<Connection>,
    outbox: Mutex<Outbox>,
}

impl Session {
    /// The session of a connection.
    pub fn new(connection: Arc<Connection>) -> Self {
        Session { connection, outbox: Mutex::default() }
    }

    /// Queues a message. True where a writer is to be started.
    pub fn queue(&self, message: ControlMessage<Record>) -> bool {
        self.push(Outgoing::Message(message))
    }

    /// Queues the end of the connection. True where a writer is to be started.
    pub fn queue_close(&self, reason: CloseReason) -> bool {
        self.push(Outgoing::Close(reason))
    }

    fn push(&self, outgoing: Outgoing) -> bool {
        let mut outbox = lock(&self.outbox);
        outbox.queue.push_back(outgoing);
        !std::mem::replace(&mut outbox.is_writing, true)
    }

    /// Writes what is queued, until nothing is; returns the bytes sent. After an error nothing is written any more.
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
                Some(Outgoing::Message(message)) => sent_bytes += self.send(account, &message)? as u64,
                // The message that says so is still to be read.
                Some(Outgoing::Close(CloseReason::Busy)) => self.connection.shut(Shutdown::Write),
                Some(Outgoing::Close(_)) => self.end(),
            }
        }
    }

    /// Ends the connection; whoever reads on it goes on.
    pub fn end(&self) {
        self.connection.shut(Shutdown::Both);
    }

    fn send(&self, account: &Account, message: &ControlMessage<Record>) -> Result<usize, FramingError> {
        let mut waits = 0;
        loop {
            // A write on the connection waits for the follower by itself.
            let mut socket = self.connection.patient(super::server::WRITE_STALL);
            match framing::send(account, &mut socket, message) {
                Err(FramingError::Full(full)) if waits < ROOM_WAITS => {
                    waits += 1;
                    room::wait(&full.account, full.asked, ROOM_WAIT_MS);
                }
                end => return end,
            }
        }
    }
}
