//! Encodes and decodes the platform's Thrift messages for a client, independently of the daemon's own codec.
use super::records::RequestOutcome;
use std::io::{self, Read};

fn length_prefixed(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes(), bytes].concat()
}

fn message(kind: u8, method: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let head =
        [&[0x80, 1, 0, kind][..], &length_prefixed(method.as_bytes()), &seqid.to_be_bytes(), arguments]
            .concat();
    length_prefixed(&head)
}

/// Encodes a request.
pub fn dispatch(seqid: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![13, 0, 1, 11, 11];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        arguments.extend([length_prefixed(name.as_bytes()), length_prefixed(value.as_bytes())].concat());
    }
    arguments.extend([&[11, 0, 2][..], &length_prefixed(body), &[0]].concat());
    message(1, "dispatch", seqid, &arguments)
}

/// Encodes the cancellation of a request.
pub fn cancel(seqid: i32) -> Vec<u8> {
    message(4, "cancelRequest", 0, &[&[8, 0, 1][..], &seqid.to_be_bytes(), &[0]].concat())
}

/// Encodes a health check.
pub fn alive(seqid: i32) -> Vec<u8> {
    message(1, "alive", seqid, &[2, 0, 1, 1, 0])
}

/// Encodes a call of a method that does not exist.
pub fn unknown_method(seqid: i32) -> Vec<u8> {
    message(1, "nothing", seqid, &[0])
}

/// Reads the next reply. Returns the sequence number of its request and the outcome.
pub fn receive(socket: &mut impl Read) -> io::Result<(i32, RequestOutcome)> {
    let mut size = [0; 4];
    socket.read_exact(&mut size)?;
    let mut bytes = vec![0; u32::from_be_bytes(size) as usize];
    socket.read_exact(&mut bytes)?;
    let malformed = || io::Error::other("malformed Thrift reply");
    let read_u32 = |offset: usize| -> io::Result<u32> {
        let four =
            bytes.get(offset..offset + 4).and_then(|four| four.try_into().ok()).ok_or_else(malformed)?;
        Ok(u32::from_be_bytes(four))
    };
    let after_name = 8 + read_u32(4)? as usize;
    let seqid = read_u32(after_name)? as i32;
    let (kind, field) = (bytes.get(3), bytes.get(after_name + 6));
    let end = match (kind.ok_or_else(malformed)?, field.ok_or_else(malformed)?) {
        (2, 0) => RequestOutcome::Served,
        (2, 1) => RequestOutcome::Refused,
        _ => RequestOutcome::Failed,
    };
    Ok((seqid, end))
}
