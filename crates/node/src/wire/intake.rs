//! What was read from a connection and is not used yet, accounted as it grows.
//!
//! A connection has paid for two chunks when it was taken in: one to read into, one to keep. What grows
//! beyond that is reserved first; while there is no room, nothing more is read, and what the other side sends
//! backs up in its own buffers. Who was held up for too long is told so and loses the connection.
use super::socket::Socket;
use crate::memory::room::grow;
use corkbay_ledger::{Account, Purpose, Reservation};
use std::io;
use std::time::Duration;

/// Bytes that are read at a time, and that a connection may hold without a further reservation.
pub const CHUNK: usize = 4096;

/// The unused bytes of one connection.
pub struct Intake {
    bytes: Vec<u8>,
    held: Reservation,
    purpose: Purpose,
    /// What is held beside the bytes for the message that is read, such as its body.
    beside: usize,
}

impl Intake {
    /// Nothing yet, on the account of that purpose.
    pub fn new(account: &Account, purpose: Purpose) -> Self {
        Intake { bytes: Vec::new(), held: account.nothing(), purpose, beside: 0 }
    }

    /// What was read and not used.
    pub fn bytes(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Whether all was used.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads what has come, or waits for it; tells how many bytes that were. [`NO_ROOM`](crate::memory::room::NO_ROOM) where there was no
    /// room for more for too long.
    pub fn fill(&mut self, socket: &Socket, chunk: &mut [u8], within: Duration) -> io::Result<usize> {
        let size = socket.read(chunk, within)?;
        self.make_room(size)?;
        self.bytes.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// Counts what is held beside the bytes from now on.
    pub fn beside(&mut self, bytes: usize) -> io::Result<()> {
        self.beside = bytes;
        self.settle(self.bytes.capacity())
    }

    /// Room for more bytes; memory that was needed once is given back when all of it was used.
    fn make_room(&mut self, more: usize) -> io::Result<()> {
        if self.bytes.is_empty() && self.bytes.capacity() > CHUNK {
            self.bytes = Vec::new();
        }
        let needed = self.bytes.len() + more;
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let capacity = needed.next_power_of_two();
        self.settle(capacity)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn settle(&mut self, capacity: usize) -> io::Result<()> {
        grow(&mut self.held, self.purpose, (capacity + self.beside).saturating_sub(CHUNK))
    }
}

#[cfg(test)]
mod tests;
