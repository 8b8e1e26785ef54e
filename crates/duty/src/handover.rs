//! Messages of a connection handover, from a process to its successor: sent one after the other, each a
//! header of 16 bytes and a body. The file descriptor of a connection is attached to the first byte of its
//! message.

/// Size of a header in bytes: kind (1), unused (3), body length (4), connection number (8); big-endian.
pub const HEADER_BYTES: usize = 16;
/// Longest body in bytes: an answer of 256 KiB with its framing, and room to spare.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// One handover message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A connection, with the numbers of the requests on it that the sender has not answered yet.
    Connection {
        /// Number of the connection.
        number: u64,
        /// Ids of the unanswered requests on it.
        unanswered: Vec<i32>,
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
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Connection = 1,
    End = 2,
}

/// The header of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader {
    kind: Kind,
    number: u64,
    length: usize,
}

/// Why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The kind is unknown.
    #[error("unknown message kind {0}")]
    Kind(u8),
    /// The body is too long, or has a length that its kind cannot have.
    #[error("invalid body length: {0} bytes")]
    Length(usize),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, number, body) = match self {
            Message::Connection { number, unanswered } => {
                (Kind::Connection, number, unanswered.iter().flat_map(|seqid| seqid.to_be_bytes()).collect())
            }
            Message::End { number, seqid, bytes } => {
                (Kind::End, number, [&seqid.to_be_bytes()[..], bytes].concat())
            }
        };
        let length = (body.len() as u32).to_be_bytes();
        [&[kind as u8, 0, 0, 0][..], &length, &number.to_be_bytes(), &body].concat()
    }
}

impl MessageHeader {
    /// Decodes a header.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<MessageHeader, MessageError> {
        let [kind, _, _, _, a, b, c, d, number @ ..] = *bytes;
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        let (kind, valid_length) = match kind {
            1 => (Kind::Connection, length.is_multiple_of(4)),
            2 => (Kind::End, length >= 4),
            unknown => return Err(MessageError::Kind(unknown)),
        };
        if !valid_length || length > MAX_BODY_BYTES {
            return Err(MessageError::Length(length));
        }
        Ok(MessageHeader { kind, number: u64::from_be_bytes(number), length })
    }

    /// Length of the body, in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Decodes the message with this body, which has the length given by the header.
    pub fn message(self, mut body: Vec<u8>) -> Message {
        let mut words =
            body.chunks_exact(4).map(|word| i32::from_be_bytes([word[0], word[1], word[2], word[3]]));
        match self.kind {
            Kind::Connection => Message::Connection { number: self.number, unanswered: words.collect() },
            Kind::End => {
                let seqid = words.next().unwrap_or_default();
                let bytes = body.split_off(body.len().min(4));
                Message::End { number: self.number, seqid, bytes }
            }
        }
    }
}

#[cfg(test)]
mod tests;
