//! Receive buffer of a connection: bytes that were read and not consumed yet. Its memory is reserved as it grows.
//!
//! Two chunks are reserved when a connection is accepted: one to read into and one for unconsumed bytes. Growth
//! beyond that is reserved before more is read. While there is no room nothing is read, so that the data backs up at
//! the peer (backpressure). When the wait for room takes too long, [`ReceiveBuffer::fill`] fails and has read nothing.
//!
//! Invariant: memory beyond the first chunk is held only while the buffer contains more unconsumed bytes than that, or
//! while bytes of the current message are held elsewhere. It is released by the call that consumes the bytes, so a
//! connection that waits for its next message holds none.
use super::socket::Socket;
use crate::state::memory_wait::resize_or_wait_longer;
use corkbay::Ms;
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
    /// Size of the message that is being read, in bytes; 0 if it is unknown.
    expected: usize,
    /// How long the current message has waited for memory, in milliseconds.
    waited: Ms,
}

impl ReceiveBuffer {
    /// Creates an empty buffer, charged to the account of the given purpose.
    pub fn new(account: &Account, purpose: Purpose) -> Self {
        let (bytes, held) = (Vec::new(), account.empty_reservation());
        ReceiveBuffer { bytes, held, purpose, beside: 0, expected: 0, waited: 0.0 }
    }

    /// The unconsumed bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Has `decode` remove bytes from the front of the buffer, and releases the memory that is no longer needed.
    pub fn consume<T>(&mut self, decode: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let decoded = decode(&mut self.bytes);
        self.release_unused();
        decoded
    }

    /// Discards the unconsumed bytes.
    pub fn clear(&mut self) {
        self.consume(Vec::clear);
    }

    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Ends the current message: nothing is held elsewhere for it, and the next one may wait for memory for the whole
    /// time again.
    pub fn end_message(&mut self) {
        (self.beside, self.expected, self.waited) = (0, 0, 0.0);
        self.release_unused();
    }

    /// Sets the size of the message whose first bytes are buffered. The buffer doesn't grow beyond it, but still grows
    /// in steps: a peer that announces a long message and sends little of it takes little memory.
    pub fn expect(&mut self, bytes: usize) {
        self.expected = bytes;
    }

    /// Reads received bytes, or waits for some; returns their number. Fails with
    /// [`OUT_OF_MEMORY_KIND`](crate::state::memory_wait::OUT_OF_MEMORY_KIND) when there was no room for them for too long.
    pub fn fill(&mut self, socket: &Socket, chunk: &mut [u8], within: Duration) -> io::Result<usize> {
        if self.is_full() {
            self.grow()?;
        }
        let space = (self.bytes.capacity().max(CHUNK) - self.bytes.len()).min(chunk.len());
        let size = socket.read(&mut chunk[..space], within)?;
        self.append(&chunk[..size]);
        Ok(size)
    }

    /// Sets the number of bytes held elsewhere for the current message, and reserves them.
    pub fn beside(&mut self, bytes: usize) -> io::Result<()> {
        self.reserve(self.bytes.capacity(), bytes)?;
        self.beside = bytes;
        Ok(())
    }

    /// Whether it has to grow before more can be read.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.bytes.capacity().max(CHUNK)
    }

    /// Grows a full buffer; waits for memory and fails like [`ReceiveBuffer::fill`].
    pub fn grow(&mut self) -> io::Result<()> {
        let (size, doubled) = (self.bytes.len(), 2 * self.bytes.len());
        let capacity = if self.expected > size { doubled.min(self.expected) } else { doubled };
        self.reserve(capacity, self.beside)?;
        self.bytes.reserve_exact(capacity - size);
        Ok(())
    }

    /// Adds bytes that fit the free space; a buffer within the first chunk takes as much memory as it needs.
    fn append(&mut self, bytes: &[u8]) {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            self.bytes.reserve_exact(needed.next_power_of_two() - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Releases the capacity that the unconsumed bytes don't need.
    fn release_unused(&mut self) {
        if self.bytes.is_empty() && self.bytes.capacity() > CHUNK {
            self.bytes = Vec::new();
        } else if self.bytes.len() <= CHUNK && self.bytes.capacity() > CHUNK {
            self.bytes.shrink_to(CHUNK);
        }
        self.held.shrink_to(reserved_bytes(self.bytes.capacity(), self.beside));
    }

    fn reserve(&mut self, capacity: usize, beside: usize) -> io::Result<()> {
        let bytes = reserved_bytes(capacity, beside);
        resize_or_wait_longer(&mut self.held, self.purpose, bytes, &mut self.waited)
    }
}

/// The bytes to reserve for a buffer of that capacity and what is held beside it.
fn reserved_bytes(capacity: usize, beside: usize) -> usize {
    (capacity + beside).saturating_sub(CHUNK)
}

#[cfg(test)]
mod tests;
