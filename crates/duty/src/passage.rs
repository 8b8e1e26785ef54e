//! What a process tells its successor about the connections of clients that it passes on: messages one after the other,
//! each a head of 16 bytes and a body. A connection's descriptor comes beside the first byte of its message.

/// Bytes of a head: kind, three unused, length of the body, number of the connection; big-endian.
pub const HEAD: usize = 16;
/// Longest body: an answer of 256 KiB with what goes round it, and room to spare.
pub const MOST_BODY: usize = 1 << 20;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A connection, under a number of the sender's, with the numbers of the requests that the sender still owes on it.
    Connection {
        /// The connection.
        number: u64,
        /// What is owed on it.
        owed: Vec<i32>,
    },
    /// The end of one of these.
    End {
        /// The connection.
        number: u64,
        /// The request.
        seqid: i32,
        /// What the client is to be told; nothing where it waits no longer.
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Connection = 1,
    End = 2,
}

/// The head of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    kind: Kind,
    number: u64,
    length: usize,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadMessage {
    /// Of no kind that is known.
    #[error("a message of kind {0}")]
    Kind(u8),
    /// Too long, or of a length that its kind can't have.
    #[error("a body of {0} bytes")]
    Length(usize),
}

impl Message {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, number, body) = match self {
            Message::Connection { number, owed } => {
                (Kind::Connection, number, owed.iter().flat_map(|seqid| seqid.to_be_bytes()).collect())
            }
            Message::End { number, seqid, bytes } => {
                (Kind::End, number, [&seqid.to_be_bytes()[..], bytes].concat())
            }
        };
        let length = (body.len() as u32).to_be_bytes();
        [&[kind as u8, 0, 0, 0][..], &length, &number.to_be_bytes(), &body].concat()
    }
}

impl Head {
    /// Reads a head.
    pub fn decode(bytes: &[u8; HEAD]) -> Result<Head, BadMessage> {
        let [kind, _, _, _, a, b, c, d, number @ ..] = *bytes;
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        let (kind, fits) = match kind {
            1 => (Kind::Connection, length.is_multiple_of(4)),
            2 => (Kind::End, length >= 4),
            odd => return Err(BadMessage::Kind(odd)),
        };
        if !fits || length > MOST_BODY {
            return Err(BadMessage::Length(length));
        }
        Ok(Head { kind, number: u64::from_be_bytes(number), length })
    }

    /// Bytes of the body.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The message with that body, which has the length told.
    pub fn message(self, mut body: Vec<u8>) -> Message {
        let mut words =
            body.chunks_exact(4).map(|word| i32::from_be_bytes([word[0], word[1], word[2], word[3]]));
        match self.kind {
            Kind::Connection => Message::Connection { number: self.number, owed: words.collect() },
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
