//! The binary frames between an invoker and a worker.
use std::fmt;

/// First byte of a frame from an invoker.
pub const FROM_INVOKER: u8 = 254;
/// First byte of a frame from a worker.
pub const FROM_WORKER: u8 = 253;

/// Numeric codes of commands and answers.
pub mod code {
    /// A call with its body.
    pub const REQUEST: u8 = 32;
    /// Cancels a request.
    pub const GIVE_UP: u8 = 33;
    /// A probe.
    pub const PROBE: u8 = 34;
    /// An order to keep a number of copies of a model loaded.
    pub const LOAD: u8 = 36;
    /// An order to unload idle copies.
    pub const EVICT: u8 = 38;
    /// The request was served, or the ordered copies are loaded.
    pub const OK: u8 = 128;
    /// The request did not run: the model is not loaded.
    pub const MISS: u8 = 130;
    /// The request did not run: the worker did not accept it.
    pub const FULL: u8 = 131;
    /// The request failed; it may have run.
    pub const ERROR: u8 = 132;
    /// The request did not run: its deadline had passed.
    pub const OVER: u8 = 133;
    /// Answer to a probe: the worker is healthy.
    pub const ALIVE: u8 = 134;
    /// Answer to a probe: the worker is unhealthy.
    pub const AILING: u8 = 135;
}

/// Length of the header: mark, code, length of the fields, length of the body, id.
const HEADER_BYTES: usize = 16;
/// Length of the CRC32 that follows the body.
const CHECKSUM_BYTES: usize = 4;
/// Maximum size of a body that is read, in bytes: the next power of two above the longest answers of workers
/// (230,000 bytes).
pub const MAX_BODY: usize = 256 << 10;

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The sender: [`FROM_INVOKER`] or [`FROM_WORKER`].
    pub mark: u8,
    /// Command or answer, one of [`code`].
    pub code: u8,
    /// Id of the exchange; the model's id in an order to unload.
    pub id: u64,
    /// Parameters as `name=value,name=value`.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Why bytes are not a valid frame. The connection that they arrived on can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The first byte is not the mark of the peer.
    Mark(u8),
    /// The body exceeds [`MAX_BODY`]; its announced size in bytes.
    Long(usize),
    /// The checksum does not match.
    Check,
    /// The fields are not valid UTF-8.
    Fields,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Mark(mark) => write!(f, "frame begins with the unexpected byte {mark}"),
            FrameError::Long(size) => write!(f, "frame body of {size} bytes exceeds the limit of {MAX_BODY}"),
            FrameError::Check => write!(f, "frame checksum does not match"),
            FrameError::Fields => write!(f, "frame fields are not valid UTF-8"),
        }
    }
}

impl std::error::Error for FrameError {}

impl Frame {
    /// Creates a frame that the invoker sends.
    pub fn command(code: u8, id: u64, fields: String, body: Vec<u8>) -> Self {
        Frame { mark: FROM_INVOKER, code, id, fields, body }
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        let fields = self.fields.as_bytes();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + fields.len() + self.body.len() + CHECKSUM_BYTES);
        bytes.extend([self.mark, self.code]);
        bytes.extend((fields.len() as u16).to_be_bytes());
        bytes.extend((self.body.len() as u32).to_be_bytes());
        bytes.extend(self.id.to_be_bytes());
        bytes.extend(fields);
        bytes.extend(&self.body);
        bytes.extend(crc32fast::hash(&bytes[HEADER_BYTES..]).to_be_bytes());
        bytes
    }

    /// Size in bytes of the frame that `buffer` starts with; `None` before its header has arrived.
    pub fn size(buffer: &[u8]) -> Option<usize> {
        let header = buffer.first_chunk::<HEADER_BYTES>()?;
        let fields = usize::from(u16::from_be_bytes([header[2], header[3]]));
        let body = u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize;
        Some(HEADER_BYTES + fields + body + CHECKSUM_BYTES)
    }

    /// Removes one frame from the front of `buffer`; `None` while it is incomplete.
    pub fn decode(buffer: &mut Vec<u8>, mark: u8) -> Result<Option<Frame>, FrameError> {
        let Some(first) = buffer.first() else { return Ok(None) };
        if *first != mark {
            return Err(FrameError::Mark(*first));
        }
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let fields = usize::from(u16::from_be_bytes([buffer[2], buffer[3]]));
        let body = u32::from_be_bytes([buffer[4], buffer[5], buffer[6], buffer[7]]) as usize;
        if body > MAX_BODY {
            return Err(FrameError::Long(body));
        }
        let end = HEADER_BYTES + fields + body;
        if buffer.len() < end + CHECKSUM_BYTES {
            return Ok(None);
        }
        if crc32fast::hash(&buffer[HEADER_BYTES..end]).to_be_bytes() != buffer[end..end + CHECKSUM_BYTES] {
            return Err(FrameError::Check);
        }
        let id = buffer[8..HEADER_BYTES].iter().fold(0u64, |id, byte| id << 8 | u64::from(*byte));
        let text = std::str::from_utf8(&buffer[HEADER_BYTES..HEADER_BYTES + fields])
            .map_err(|_| FrameError::Fields)?;
        let frame = Frame {
            mark,
            code: buffer[1],
            id,
            fields: text.to_string(),
            body: buffer[HEADER_BYTES + fields..end].to_vec(),
        };
        buffer.drain(..end + CHECKSUM_BYTES);
        Ok(Some(frame))
    }
}

#[cfg(test)]
mod tests;
