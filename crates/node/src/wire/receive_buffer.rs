//! Receive buffer of a connection: bytes that were read and not consumed yet. Its memory is reserved as it grows.
//!
//! Two chunks are reserved when a connection is accepted: one to read into and one for unconsumed bytes. Growth
//! beyond that is reserved first. While there is no room nothing more is read, so that the data backs up at the
//! peer (backpressure). When the wait for room takes too long, the read fails and the connection is closed.
use super::socket::Socket;
use crate::state::memory_wait::resize_or_wait;
use corkbay_ledger::{Account, Purpose, Reservation};
use std::io;
use std::time::Duration;

/// Size of one read, in bytes, and of the unconsumed data that a connection may hold without a further reservation.
pub const CHUNK: usize = 4096;

/// Receive buffer of one connection.
pub struct ReceiveBuffer {
    bytes: Vec<u8>,
    held: Reservation,
    purpose: Purpose,
    /// Bytes held elsewhere for the message that is being read, such as its body.
    beside: usize,
}

impl ReceiveBuffer {
    /// Creates an empty buffer, charged to the account of the given purpose.
    pub fn new(account: &Account, purpose: Purpose) -> Self {
        ReceiveBuffer { bytes: Vec::new(), held: account.empty_reservation(), purpose, beside: 0 }
    }

    /// The unconsumed bytes.
    pub fn bytes(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads received bytes, or waits for some; returns their number. Fails with
    /// [`OUT_OF_MEMORY_KIND`](crate::state::memory_wait::OUT_OF_MEMORY_KIND) when there was no room for them for too long.
    pub fn fill(&mut self, socket: &Socket, chunk: &mut [u8], within: Duration) -> io::Result<usize> {
        let size = socket.read(chunk, within)?;
        self.make_room(size)?;
        self.bytes.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// Sets the number of bytes held elsewhere for the current message, and reserves them.
    pub fn beside(&mut self, bytes: usize) -> io::Result<()> {
        self.beside = bytes;
        self.adjust_reservation(self.bytes.capacity())
    }

    /// Makes room for `more` bytes. Memory beyond one chunk is released once the buffer is empty.
    fn make_room(&mut self, more: usize) -> io::Result<()> {
        if self.bytes.is_empty() && self.bytes.capacity() > CHUNK {
            self.bytes = Vec::new();
        }
        let needed = self.bytes.len() + more;
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let capacity = needed.next_power_of_two();
        self.adjust_reservation(capacity)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn adjust_reservation(&mut self, capacity: usize) -> io::Result<()> {
        resize_or_wait(&mut self.held, self.purpose, (capacity + self.beside).saturating_sub(CHUNK))
    }
}

#[cfg(test)]
mod tests;
