//! The subset of Thrift's strict binary protocol over framed transport that the Thrift front uses.
use std::collections::BTreeMap;
use std::fmt;

/// Maximum size of a frame in bytes. Frames are buffered whole; a larger one closes the connection.
pub const MAX_FRAME_BYTES: usize = 64 << 10;
/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
const MAX_MAP_ENTRIES: usize = 64;
const MAX_STRING_BYTES: usize = 4096;
const MAX_NESTING: u32 = 8;
const VERSION: u32 = 0x8001_0000;

const CALL: u8 = 1;
const REPLY: u8 = 2;
const EXCEPTION: u8 = 3;
const ONEWAY: u8 = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// The string map of a request or an answer.
pub type Fields = BTreeMap<String, String>;

/// A message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request for a call of a model.
    Dispatch {
        /// Its sequence number.
        seqid: i32,
        /// Its fields.
        fields: Fields,
        /// Its body.
        body: Vec<u8>,
    },
    /// Cancels a request; the client no longer waits for its answer.
    Cancel {
        /// Sequence number of the request to cancel.
        seqid: i32,
    },
    /// Asks whether this invoker is ready.
    Alive {
        /// Its sequence number.
        seqid: i32,
    },
}

/// Why a message can't be parsed, with its sequence number and method where they are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Sequence number and method, if the message is a call that expects a reply.
    pub call: Option<(i32, String)>,
    /// The parse error.
    pub what: &'static str,
    /// Whether the error is an unknown method.
    pub unknown_method: bool,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed message: {}", self.what)
    }
}

impl std::error::Error for Malformed {}

/// A reply to a `dispatch` or `alive` call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The result struct `Answer`.
    Answer {
        /// Its body.
        body: Vec<u8>,
        /// The call succeeded or, for `alive`, this invoker is ready.
        is_success: bool,
    },
    /// The exception `Rejected`, with the retry delay in milliseconds under `cooldown`.
    Rejected(Fields),
    /// The exception `Crashed`.
    Crashed(Fields),
}

type ReadResult<T> = Result<T, &'static str>;

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, size: usize) -> ReadResult<&'a [u8]> {
        if size > self.0.len() {
            return Err("cut short");
        }
        let (head, rest) = self.0.split_at(size);
        self.0 = rest;
        Ok(head)
    }

    fn u8(&mut self) -> ReadResult<u8> {
        Ok(self.take(1)?[0])
    }

    fn i32(&mut self) -> ReadResult<i32> {
        let bytes = self.take(4)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn bytes(&mut self) -> ReadResult<&'a [u8]> {
        let size = usize::try_from(self.i32()?).map_err(|_| "negative length")?;
        self.take(size)
    }

    fn text(&mut self) -> ReadResult<String> {
        let bytes = self.bytes()?;
        if bytes.len() > MAX_STRING_BYTES {
            return Err("text too long");
        }
        std::str::from_utf8(bytes).map(str::to_string).map_err(|_| "text is no UTF-8")
    }

    fn map(&mut self) -> ReadResult<Fields> {
        let kinds = (self.u8()?, self.u8()?);
        let size = usize::try_from(self.i32()?).map_err(|_| "negative size")?;
        if size > MAX_MAP_ENTRIES {
            return Err("too many fields");
        }
        if size > 0 && kinds != (STRING, STRING) {
            return Err("fields are no texts");
        }
        (0..size).map(|_| Ok((self.text()?, self.text()?))).collect()
    }

    /// Reads the fields of a struct. `each` reads a field with the given type and id, or returns false to have it skipped.
    fn fields(&mut self, mut each: impl FnMut(&mut Self, u8, i16) -> ReadResult<bool>) -> ReadResult<()> {
        loop {
            let kind = self.u8()?;
            if kind == STOP {
                return Ok(());
            }
            let bytes = self.take(2)?;
            if !each(self, kind, i16::from_be_bytes([bytes[0], bytes[1]]))? {
                self.skip(kind, 0)?;
            }
        }
    }

    fn skip(&mut self, kind: u8, depth: u32) -> ReadResult<()> {
        if depth > MAX_NESTING {
            return Err("nested too deep");
        }
        // Types without a constant: 3 byte, 4 double, 6 i16, 10 i64, 14 set, 15 list.
        match kind {
            BOOL | 3 => self.take(1).map(|_| ()),
            6 => self.take(2).map(|_| ()),
            I32 => self.take(4).map(|_| ()),
            4 | 10 => self.take(8).map(|_| ()),
            STRING => self.bytes().map(|_| ()),
            STRUCT => loop {
                let kind = self.u8()?;
                if kind == STOP {
                    return Ok(());
                }
                self.take(2)?;
                self.skip(kind, depth + 1)?;
            },
            MAP => {
                let (key, value) = (self.u8()?, self.u8()?);
                for _ in 0..self.i32()? {
                    self.skip(key, depth + 1)?;
                    self.skip(value, depth + 1)?;
                }
                Ok(())
            }
            14 | 15 => {
                let kind = self.u8()?;
                for _ in 0..self.i32()? {
                    self.skip(kind, depth + 1)?;
                }
                Ok(())
            }
            _ => Err("unknown type"),
        }
    }
}

/// Length of the size that precedes the content of a frame.
const FRAME_SIZE_BYTES: usize = 4;

/// Size in bytes of the frame that `buffer` starts with, including the size itself; `None` before that has arrived.
pub fn frame_size(buffer: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(head) = buffer.first_chunk::<FRAME_SIZE_BYTES>() else { return Ok(None) };
    let size = u32::from_be_bytes(*head) as usize;
    if size > MAX_FRAME_BYTES {
        return Err(Malformed { call: None, what: "frame too long", unknown_method: false });
    }
    Ok(Some(FRAME_SIZE_BYTES + size))
}

/// Removes one frame from the start of `buffer` and returns its content; `None` while the frame is incomplete.
pub fn unframe(buffer: &mut Vec<u8>) -> Result<Option<Vec<u8>>, Malformed> {
    let Some(size) = frame_size(buffer)?.filter(|size| *size <= buffer.len()) else { return Ok(None) };
    let message = buffer[FRAME_SIZE_BYTES..size].to_vec();
    buffer.drain(..size);
    Ok(Some(message))
}

/// The sequence number of the request in the frame that `buffer` starts with, of which the end may be missing.
pub fn begun_request(buffer: &[u8]) -> Option<i32> {
    let (kind, name, seqid) = message_head(&mut Reader(buffer.get(FRAME_SIZE_BYTES..)?)).ok()?;
    (kind == CALL && name == "dispatch").then_some(seqid)
}

/// Reads the kind of a message, the name of its method and its sequence number.
fn message_head(reader: &mut Reader) -> ReadResult<(u8, String, i32)> {
    let version = reader.i32()? as u32;
    if version & 0xffff_0000 != VERSION {
        return Err("not the strict binary protocol");
    }
    Ok((version as u8, reader.text()?, reader.i32()?))
}

/// Parses a message from a client.
pub fn parse_message(message: &[u8]) -> Result<Message, Malformed> {
    let mut reader = Reader(message);
    let head = message_head(&mut reader);
    let (kind, name, seqid) = head.map_err(|what| Malformed { call: None, what, unknown_method: false })?;
    let call = (kind == CALL).then(|| (seqid, name.clone()));
    if kind != CALL && kind != ONEWAY {
        return Err(Malformed { call, what: "neither a call nor a oneway", unknown_method: false });
    }
    let (mut fields, mut body, mut number) = (None, None, None);
    let arguments = reader.fields(|reader, kind, id| {
        match (name.as_str(), id, kind) {
            ("dispatch", 1, MAP) => fields = Some(reader.map()?),
            ("dispatch", 2, STRING) => body = Some(reader.bytes()?.to_vec()),
            ("cancelRequest", 1, I32) => number = Some(reader.i32()?),
            _ => return Ok(false),
        }
        Ok(true)
    });
    let malformed = |what| Malformed { call: call.clone(), what, unknown_method: false };
    arguments.map_err(malformed)?;
    match name.as_str() {
        "dispatch" if kind == CALL => {
            let fields = fields.ok_or_else(|| malformed("no fields"))?;
            Ok(Message::Dispatch { seqid, fields, body: body.unwrap_or_default() })
        }
        "cancelRequest" => {
            Ok(Message::Cancel { seqid: number.ok_or_else(|| malformed("no sequence number"))? })
        }
        "alive" if kind == CALL => Ok(Message::Alive { seqid }),
        _ => Err(Malformed { call: call.clone(), what: "unknown method", unknown_method: true }),
    }
}

struct Writer(Vec<u8>);

impl Writer {
    fn message(kind: u8, name: &str, seqid: i32) -> Self {
        let mut writer = Writer(vec![0; 4]);
        writer.0.extend((VERSION | u32::from(kind)).to_be_bytes());
        writer.bytes(name.as_bytes());
        writer.0.extend(seqid.to_be_bytes());
        writer
    }

    fn field(&mut self, kind: u8, id: i16) {
        self.0.push(kind);
        self.0.extend(id.to_be_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend((bytes.len() as u32).to_be_bytes());
        self.0.extend(bytes);
    }

    fn map(&mut self, fields: &Fields) {
        self.0.extend([STRING, STRING]);
        self.0.extend((fields.len() as u32).to_be_bytes());
        for (name, value) in fields {
            self.bytes(name.as_bytes());
            self.bytes(value.as_bytes());
        }
    }

    fn frame(mut self) -> Vec<u8> {
        let size = (self.0.len() - 4) as u32;
        self.0[..4].copy_from_slice(&size.to_be_bytes());
        self.0
    }
}

/// Upper bound for the encoded size of an answer without its body.
const REPLY_OVERHEAD_BYTES: usize = 64;

/// Encodes the framed reply to a call of `method`. The body is freed on return, before the frame is written to the client.
pub fn reply(method: &str, seqid: i32, reply: Reply) -> Vec<u8> {
    let mut writer = Writer::message(REPLY, method, seqid);
    match &reply {
        Reply::Answer { body, is_success } => {
            // Growth by doubling could allocate twice the size of a long answer.
            writer.0.reserve_exact(body.len() + REPLY_OVERHEAD_BYTES);
            writer.field(STRUCT, 0);
            writer.field(STRING, 1);
            writer.bytes(body);
            writer.field(MAP, 2);
            writer.map(&Fields::new());
            writer.field(BOOL, 3);
            writer.0.push(u8::from(*is_success));
        }
        Reply::Rejected(fields) | Reply::Crashed(fields) => {
            writer.field(STRUCT, if matches!(&reply, Reply::Rejected(_)) { 1 } else { 2 });
            writer.field(MAP, 1);
            writer.map(fields);
        }
    }
    writer.0.extend([STOP, STOP]);
    writer.frame()
}

/// Encodes the framed application exception that answers a malformed call.
pub fn exception(method: &str, seqid: i32, unknown_method: bool, what: &str) -> Vec<u8> {
    let mut writer = Writer::message(EXCEPTION, method, seqid);
    writer.field(STRING, 1);
    writer.bytes(what.as_bytes());
    writer.field(I32, 2);
    // `TApplicationException` types: 1 is unknown method, 7 is protocol error.
    writer.0.extend(if unknown_method { 1i32 } else { 7 }.to_be_bytes());
    writer.0.push(STOP);
    writer.frame()
}

#[cfg(test)]
mod tests;
