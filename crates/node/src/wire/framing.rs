//! Framed messages between nodes: a header of eight bytes, then JSON text.
//!
//! The header holds the length of the text in bytes and its CRC32, both big-endian. Memory for a message is
//! reserved in an account before it is read or written, so a peer can't make a node hold more than the account
//! allows.
use corkbay_ledger::{Account, CapExceeded, Reservation};
use serde::{de::DeserializeOwned, Serialize};
use std::io::{self, ErrorKind, Read, Write};

/// Maximum length of a message's text, in bytes.
pub const MAX_MESSAGE: usize = 32 << 20;
/// Length of the header.
pub const HEADER_BYTES: usize = 8;

/// An encoded header.
pub type Head = [u8; HEADER_BYTES];

/// Why a message was not sent or received.
#[derive(Debug, thiserror::Error)]
pub enum FramingError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The text is longer than the limit.
    #[error("message of {bytes} bytes exceeds the limit of {max_bytes}")]
    TooLong {
        /// Length of the text, in bytes.
        bytes: usize,
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// The text does not match its checksum.
    #[error("checksum of the message does not match")]
    Checksum,
    /// The text is not a valid message of the protocol.
    #[error("malformed message: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The account has no room for the message.
    #[error("no room for a message: {0}")]
    Full(#[from] CapExceeded),
}

impl FramingError {
    /// Whether the peer closed the connection.
    pub fn is_closed(&self) -> bool {
        matches!(self, FramingError::Io(error) if error.kind() == ErrorKind::UnexpectedEof)
    }

    /// Whether a read timed out.
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
    /// Size on the wire, in bytes.
    pub bytes: usize,
    /// Reservation for the length of the text, which approximates the memory that the decoded message takes.
    pub held: Reservation,
}

/// Sends a message; returns its size on the wire, in bytes.
pub fn send(
    account: &Account,
    socket: &mut impl Write,
    message: &impl Serialize,
) -> Result<usize, FramingError> {
    let frame = encode(account, message)?;
    socket.write_all(&frame.bytes)?;
    Ok(frame.bytes.len())
}

/// Receives a message whose text has `max_bytes` bytes at most.
pub fn receive<T: DeserializeOwned>(
    account: &Account,
    socket: &mut impl Read,
    max_bytes: usize,
) -> Result<Received<T>, FramingError> {
    let mut head = Head::default();
    socket.read_exact(&mut head)?;
    receive_after(account, socket, head, max_bytes)
}

/// Receives the rest of a message whose header has been read already.
pub fn receive_after<T: DeserializeOwned>(
    account: &Account,
    socket: &mut impl Read,
    head: Head,
    max_bytes: usize,
) -> Result<Received<T>, FramingError> {
    let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let checksum = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
    if size > max_bytes {
        return Err(FramingError::TooLong { bytes: size, max_bytes });
    }
    // The buffer grows with the bytes received, not with the announced length.
    let mut text = AccountedBytes::new(account);
    io::copy(&mut socket.take(size as u64), &mut text).map_err(framing_error_of)?;
    if text.bytes.len() < size {
        return Err(io::Error::from(ErrorKind::UnexpectedEof).into());
    }
    if crc32fast::hash(&text.bytes) != checksum {
        return Err(FramingError::Checksum);
    }
    let message = serde_json::from_slice(&text.bytes)?;
    Ok(Received { message, bytes: HEADER_BYTES + size, held: text.held })
}

/// Encodes a message with its header.
fn encode(account: &Account, message: &impl Serialize) -> Result<AccountedBytes, FramingError> {
    let mut frame = AccountedBytes::new(account);
    frame.write_all(&[0; HEADER_BYTES]).map_err(framing_error_of)?;
    if let Err(error) = serde_json::to_writer(&mut frame, message) {
        if error.is_io() {
            return Err(framing_error_of(error.into()));
        }
        return Err(error.into());
    }
    let text = &frame.bytes[HEADER_BYTES..];
    if text.len() > MAX_MESSAGE {
        return Err(FramingError::TooLong { bytes: text.len(), max_bytes: MAX_MESSAGE });
    }
    let size = (text.len() as u32).to_be_bytes();
    let checksum = crc32fast::hash(text).to_be_bytes();
    frame.bytes[..4].copy_from_slice(&size);
    frame.bytes[4..HEADER_BYTES].copy_from_slice(&checksum);
    Ok(frame)
}

/// Distinguishes a full account from an error of the connection.
fn framing_error_of(error: io::Error) -> FramingError {
    let is_full = error.get_ref().is_some_and(|inner| inner.is::<CapExceeded>());
    if !is_full {
        return FramingError::Io(error);
    }
    match error.into_inner().and_then(|inner| inner.downcast::<CapExceeded>().ok()) {
        Some(full) => FramingError::Full(*full),
        None => FramingError::Io(ErrorKind::OutOfMemory.into()),
    }
}

/// A byte buffer that reserves memory in an account before it grows.
struct AccountedBytes {
    bytes: Vec<u8>,
    held: Reservation,
}

impl AccountedBytes {
    fn new(account: &Account) -> Self {
        AccountedBytes { bytes: Vec::new(), held: account.empty_reservation() }
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
