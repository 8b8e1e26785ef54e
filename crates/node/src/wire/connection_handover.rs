//! Hands client connections over from a process to its successor under load, through a Unix socket in a directory that both
//! share.
//!
//! The process that is replaced sends the descriptor of a connection with the sequence numbers of its unanswered requests,
//! and later their answers. From then on only the successor reads from and writes to the client. What it learns of these
//! requests, a cancel or the end of the connection, it sends back. If the successor ends first, the replaced process
//! answers its clients itself.
//!
//! Invariant: the process that answers a request knows whether its client still waits.
//!
//! Each side uses threads: descriptors are ancillary data (`SCM_RIGHTS`), which coroutines can't wait for.
//!
//! | module | side |
//! | --- | --- |
//! | `sender` | the process that is replaced |
//! | `receiver` | its successor |
mod receiver;
mod sender;
#[cfg(test)]
mod tests;

pub use receiver::{listen, ReceivedConnection, WithdrawalSender};
pub use sender::{AnswerForwarder, HandedOverConnection, HandoverSender};

use corkbay_duty::{Message, MessageHeader, HEADER_BYTES};
use std::fs::File;
use std::io::{self, Read};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

/// Stack size of a thread, in bytes of address space.
const STACK_BYTES: usize = 256 << 10;

/// Path of the socket of a slot. It goes through `/proc/self/fd` because socket paths are limited in length and that of the
/// directory may be long.
fn socket_path(directory: &File, slot: usize) -> PathBuf {
    format!("/proc/self/fd/{}/passage-{slot}", directory.as_raw_fd()).into()
}

/// Reads the rest of a message of which the first `size` bytes of the header have been read.
fn read_message(mut stream: &UnixStream, mut head: [u8; HEADER_BYTES], size: usize) -> io::Result<Message> {
    stream.read_exact(&mut head[size..])?;
    let head = MessageHeader::decode(&head).map_err(io::Error::other)?;
    let mut body = vec![0; head.length()];
    stream.read_exact(&mut body)?;
    Ok(head.message(body))
}
