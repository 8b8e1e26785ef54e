//! Messages of a connection handover between a process and its successor: sent one after the other, each a
//! header of 16 bytes and a body. The file descriptor of a connection is attached to the first byte of its
//! message.
//!
//! The replaced process sends [`Message::Connection`] and [`Message::End`]. Its successor sends [`Message::Greeting`]
//! at the start, and [`Message::Withdrawn`] if the connection message says that the other process reads it: earlier
//! versions only write. Messages of unknown kinds are ignored, so that a later version can add some.

/// Size of a header in bytes: kind (1), flags (1), unused (2), body length (4), connection number (8);
/// big-endian.
pub const HEADER_BYTES: usize = 16;
/// Longest body in bytes: an answer of 256 KiB with its framing, and room to spare.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Flag of a connection message: its sender reads [`Message::Withdrawn`].
const READS_WITHDRAWALS: u8 = 1;

/// One handover message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A connection, with the numbers of the requests on it that the sender has not answered yet.
    Connection {
        /// Number of the connection.
        number: u64,
        /// Ids of the unanswered requests on it.
        unanswered: Vec<i32>,
        /// Whether the sender reads [`Message::Withdrawn`].
        reads_withdrawals: bool,
    },
    /// The final answer to one of these requests.
    End {
        /// Number of the connection.
        number: u64,
        /// Id of the request (Thrift sequence id).
        seqid: i32,
        /// The answer to write to the client; empty if it no longer waits.
        bytes: Vec<u8>,
    },
    /// The client of one of these requests no longer waits: it has cancelled the request or left.
    Withdrawn {
        /// Number of the connection.
        number: u64,
        /// Id of the request (Thrift sequence id).
        seqid: i32,
    },
    /// The successor keeps the channel open for as long as it lives. Earlier versions may close it before, and don't send
    /// this.
    Greeting,
    /// A message of a later version.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Connection = 1,
    End = 2,
    Withdrawn = 3,
    Greeting = 4,
    Unknown,
}

/// The header of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader {
    kind: Kind,
    flags: u8,
    number: u64,
    length: usize,
}

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The body is too long, or has a length that its kind cannot have.
    #[error("invalid body length: {0} bytes")]
    Length(usize),
}

impl Message {
    /// Encodes the message. [`Message::Unknown`] has no encoding and yields no bytes.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Message::Connection { number, unanswered, reads_withdrawals } => {
                let flags = if *reads_withdrawals { READS_WITHDRAWALS } else { 0 };
                let body: Vec<u8> = unanswered.iter().flat_map(|seqid| seqid.to_be_bytes()).collect();
                encode(Kind::Connection, flags, *number, &body)
            }
            Message::End { number, seqid, bytes } => {
                encode(Kind::End, 0, *number, &[&seqid.to_be_bytes()[..], bytes].concat())
            }
            Message::Withdrawn { number, seqid } => encode(Kind::Withdrawn, 0, *number, &seqid.to_be_bytes()),
            Message::Greeting => encode(Kind::Greeting, 0, 0, &[]),
            Message::Unknown => Vec::new(),
        }
    }
}

fn encode(kind: Kind, flags: u8, number: u64, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_be_bytes();
    [&[kind as u8, flags, 0, 0][..], &length, &number.to_be_bytes(), body].concat()
}

impl MessageHeader {
    /// Decodes a header.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<MessageHeader, MessageError> {
        let [kind, flags, _, _, a, b, c, d, number @ ..] = *bytes;
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        let (kind, valid_length) = match kind {
            1 => (Kind::Connection, length.is_multiple_of(4)),
            2 => (Kind::End, length >= 4),
            3 => (Kind::Withdrawn, length == 4),
            4 => (Kind::Greeting, length == 0),
            _ => (Kind::Unknown, true),
        };
        if !valid_length || length > MAX_BODY_BYTES {
            return Err(MessageError::Length(length));
        }
        Ok(MessageHeader { kind, flags, number: u64::from_be_bytes(number), length })
    }

    /// Length of the body, in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Decodes the message with this body, which has the length given by the header.
    pub fn message(self, mut body: Vec<u8>) -> Message {
        let number = self.number;
        let mut words =
            body.chunks_exact(4).map(|word| i32::from_be_bytes([word[0], word[1], word[2], word[3]]));
        match self.kind {
            Kind::Connection => Message::Connection {
                number,
                unanswered: words.collect(),
                reads_withdrawals: self.flags & READS_WITHDRAWALS != 0,
            },
            Kind::End => {
                let seqid = words.next().unwrap_or_default();
                let bytes = body.split_off(body.len().min(4));
                Message::End { number, seqid, bytes }
            }
            Kind::Withdrawn => Message::Withdrawn { number, seqid: words.next().unwrap_or_default() },
            Kind::Greeting => Message::Greeting,
            Kind::Unknown => Message::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
