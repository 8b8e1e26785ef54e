//! The binary frames between an invoker and a worker.
use std::fmt;

/// First byte of what an invoker sends.
pub const FROM_INVOKER: u8 = 254;
/// First byte of what a worker sends.
pub const FROM_WORKER: u8 = 253;

/// Codes of commands and answers.
pub mod code {
    /// A request with its body.
    pub const REQUEST: u8 = 32;
    /// Gives a request up.
    pub const GIVE_UP: u8 = 33;
    /// A probe.
    pub const PROBE: u8 = 34;
    /// An order to hold copies.
    pub const LOAD: u8 = 36;
    /// An order to unload idle copies.
    pub const EVICT: u8 = 38;
    /// Served, or standing.
    pub const OK: u8 = 128;
    /// Never ran: not loaded.
    pub const MISS: u8 = 130;
    /// Never ran: not taken.
    pub const FULL: u8 = 131;
    /// An error; it may have run.
    pub const ERROR: u8 = 132;
    /// Never ran: over already.
    pub const OVER: u8 = 133;
    /// A probe passed.
    pub const ALIVE: u8 = 134;
    /// A probe did not pass.
    pub const AILING: u8 = 135;
}

const HEAD: usize = 16;
const TAIL: usize = 4;
/// Largest body that is read: the next power of two above the longest answers that workers give (230,000 bytes).
pub const MAX_BODY: usize = 256 << 10;

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Who sends it.
    pub mark: u8,
    /// What it is.
    pub code: u8,
    /// What it belongs to.
    pub id: u64,
    /// `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Why bytes are no frame; the connection they came on is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadFrame {
    /// The first byte is not the other side's.
    Mark(u8),
    /// The body is longer than is read.
    Long(usize),
    /// The check does not fit.
    Check,
    /// The fields are no text.
    Fields,
}

impl fmt::Display for BadFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadFrame::Mark(mark) => write!(f, "frame begins with {mark}"),
            BadFrame::Long(size) => write!(f, "frame has a body of {size} bytes"),
            BadFrame::Check => write!(f, "check of a frame does not fit"),
            BadFrame::Fields => write!(f, "fields of a frame are no text"),
        }
    }
}

impl std::error::Error for BadFrame {}

impl Frame {
    /// A frame from the invoker.
    pub fn command(code: u8, id: u64, fields: String, body: Vec<u8>) -> Self {
        Frame { mark: FROM_INVOKER, code, id, fields, body }
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let fields = self.fields.as_bytes();
        let mut bytes = Vec::with_capacity(HEAD + fields.len() + self.body.len() + TAIL);
        bytes.extend([self.mark, self.code]);
        bytes.extend((fields.len() as u16).to_be_bytes());
        bytes.extend((self.body.len() as u32).to_be_bytes());
        bytes.extend(self.id.to_be_bytes());
        bytes.extend(fields);
        bytes.extend(&self.body);
        bytes.extend(crc32fast::hash(&bytes[HEAD..]).to_be_bytes());
        bytes
    }

    /// Takes one frame off the front of `buffer`; `None` while it is not whole.
    pub fn decode(buffer: &mut Vec<u8>, mark: u8) -> Result<Option<Frame>, BadFrame> {
        let Some(first) = buffer.first() else { return Ok(None) };
        if *first != mark {
            return Err(BadFrame::Mark(*first));
        }
        if buffer.len() < HEAD {
            return Ok(None);
        }
        let fields = usize::from(u16::from_be_bytes([buffer[2], buffer[3]]));
        let body = u32::from_be_bytes([buffer[4], buffer[5], buffer[6], buffer[7]]) as usize;
        if body > MAX_BODY {
            return Err(BadFrame::Long(body));
        }
        let end = HEAD + fields + body;
        if buffer.len() < end + TAIL {
            return Ok(None);
        }
        if crc32fast::hash(&buffer[HEAD..end]).to_be_bytes() != buffer[end..end + TAIL] {
            return Err(BadFrame::Check);
        }
        let id = buffer[8..HEAD].iter().fold(0u64, |id, byte| id << 8 | u64::from(*byte));
        let text = std::str::from_utf8(&buffer[HEAD..HEAD + fields]).map_err(|_| BadFrame::Fields)?;
        let frame = Frame {
            mark,
            code: buffer[1],
            id,
            fields: text.to_string(),
            body: buffer[HEAD + fields..end].to_vec(),
        };
        buffer.drain(..end + TAIL);
        Ok(Some(frame))
    }
}

#[cfg(test)]
mod tests;
