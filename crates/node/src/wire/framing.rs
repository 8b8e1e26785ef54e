//! Framed messages between nodes: a head of eight bytes, then JSON text.
//!
//! The head holds the length of the text and its CRC32, both big-endian. What is read and written is reserved in an
//! account first, so a peer can't make a node hold more than the account allows.
use corkbay_ledger::{Account, Full, Reservation};
use serde::{de::DeserializeOwned, Serialize};
use std::io::{self, ErrorKind, Read, Write};

/// Largest text of a message.
pub const MAX_MESSAGE: usize = 32 << 20;
/// Length of the head.
pub const HEAD: usize = 8;

/// A head as it goes over the wire.
pub type Head = [u8; HEAD];

/// Why a message was not sent or received.
#[derive(Debug, thiserror::Error)]
pub enum FramingError {
    /// The connection.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The head announces more than a message may hold.
    #[error("message of {bytes} bytes, {most} at most")]
    TooLong {
        /// What it would take.
        bytes: usize,
        /// What it may take.
        most: usize,
    },
    /// The text does not match its checksum.
    #[error("damaged message")]
    Checksum,
    /// The text is no message of the protocol.
    #[error("unknown message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The account has no room for it.
    #[error("no room for a message: {0}")]
    Full(#[from] Full),
}

impl FramingError {
    /// Whether the other side ended the connection between two messages.
    pub fn is_closed(&self) -> bool {
        matches!(self, FramingError::Io(error) if error.kind() == ErrorKind::UnexpectedEof)
    }

    /// Whether nothing came in the time given.
    pub fn is_timeout(&self) -> bool {
        let silent = [ErrorKind::TimedOut, ErrorKind::WouldBlock];
        matches!(self, FramingError::Io(error) if silent.contains(&error.kind()))
    }
}

/// A received message.
#[derive(Debug)]
pub struct Received<T> {
    /// The message itself.
    pub message: T,
    /// Bytes that it took on the wire.
    pub bytes: usize,
    /// Room for its text, which is about what its parts take.
    pub held: Reservation,
}

/// Sends a message; returns the bytes that it took on the wire.
pub fn send(
    account: &Account,
    socket: &mut impl Write,
    message: &impl Serialize,
) -> Result<usize, FramingError> {
    let frame = encode(account, message)?;
    socket.write_all(&frame.bytes)?;
    Ok(frame.bytes.len())
}

/// Receives a message with a text of `most` bytes at most.
pub fn receive<T: DeserializeOwned>(
    account: &Account,
    socket: &mut impl Read,
    most: usize,
) -> Result<Received<T>, FramingError> {
    let mut head = Head::default();
    socket.read_exact(&mut head)?;
    receive_after(account, socket, head, most)
}

/// Receives the rest of a message whose head was read before.
pub fn receive_after<T: DeserializeOwned>(
    account: &Account,
    socket: &mut impl Read,
    head: Head,
    most: usize,
) -> Result<Received<T>, FramingError> {
    let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let checksum = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
    if size > most {
        return Err(FramingError::TooLong { bytes: size, most });
    }
    // Memory follows what has come, not what was promised.
    let mut text = AccountedBytes::new(account);
    io::copy(&mut socket.take(size as u64), &mut text).map_err(full_or_io)?;
    if text.bytes.len() < size {
        return Err(io::Error::from(ErrorKind::UnexpectedEof).into());
    }
    if crc32fast::hash(&text.bytes) != checksum {
        return Err(FramingError::Checksum);
    }
    let message = serde_json::from_slice(&text.bytes)?;
    Ok(Received { message, bytes: HEAD + size, held: text.held })
}

/// A message as it goes over the wire.
fn encode(account: &Account, message: &impl Serialize) -> Result<AccountedBytes, FramingError> {
    let mut frame = AccountedBytes::new(account);
    frame.write_all(&[0; HEAD]).map_err(full_or_io)?;
    if let Err(error) = serde_json::to_writer(&mut frame, message) {
        if error.is_io() {
            return Err(full_or_io(error.into()));
        }
        return Err(error.into());
    }
    let text = &frame.bytes[HEAD..];
    if text.len() > MAX_MESSAGE {
        return Err(FramingError::TooLong { bytes: text.len(), most: MAX_MESSAGE });
    }
    let size = (text.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(text).to_be_bytes();
    frame.bytes[..4].copy_from_slice(&size);
    frame.bytes[4..HEAD].copy_from_slice(&checksum);
    Ok(frame)
}

/// Tells a full account from an error of the connection.
fn full_or_io(error: io::Error) -> FramingError {
    let is_full = error.get_ref().is_some_and(|inner| inner.is::<Full>());
    if !is_full {
        return FramingError::Io(error);
    }
    match error.into_inner().and_then(|inner| inner.downcast::<Full>().ok()) {
        Some(full) => FramingError::Full(*full),
        None => FramingError::Io(ErrorKind::OutOfMemory.into()),
    }
}

/// Bytes that are reserved before they are held.
struct AccountedBytes {
    bytes: Vec<u8>,
    held: Reservation,
}

impl AccountedBytes {
    fn new(account: &Account) -> Self {
        AccountedBytes { bytes: Vec::new(), held: account.nothing() }
    }
}

impl Write for AccountedBytes {
    fn write(&mut self, more: &[u8]) -> io::Result<usize> {
        let needed = self.bytes.len() + more.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.next_power_of_two();
            self.held.resize(capacity).map_err(io::Error::other)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(more);
        Ok(more.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
