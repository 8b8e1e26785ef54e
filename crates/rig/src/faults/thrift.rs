//! The platform's Thrift messages as a client writes and reads them, apart from the daemon's own codec.
use super::records::End;
use std::io::{self, Read};

fn text(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes(), bytes].concat()
}

fn message(kind: u8, method: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let head = [&[0x80, 1, 0, kind][..], &text(method.as_bytes()), &seqid.to_be_bytes(), arguments].concat();
    text(&head)
}

/// A request.
pub fn dispatch(seqid: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![13, 0, 1, 11, 11];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        arguments.extend([text(name.as_bytes()), text(value.as_bytes())].concat());
    }
    arguments.extend([&[11, 0, 2][..], &text(body), &[0]].concat());
    message(1, "dispatch", seqid, &arguments)
}

/// Takes a request back.
pub fn cancel(seqid: i32) -> Vec<u8> {
    message(4, "cancelRequest", 0, &[&[8, 0, 1][..], &seqid.to_be_bytes(), &[0]].concat())
}

/// The next reply: which request ended, and how.
pub fn receive(socket: &mut impl Read) -> io::Result<(i32, End)> {
    let mut size = [0; 4];
    socket.read_exact(&mut size)?;
    let mut bytes = vec![0; u32::from_be_bytes(size) as usize];
    socket.read_exact(&mut bytes)?;
    let odd = || io::Error::other("a reply that can't be read");
    let word = |at: usize| -> io::Result<u32> {
        let four = bytes.get(at..at + 4).and_then(|four| four.try_into().ok()).ok_or_else(odd)?;
        Ok(u32::from_be_bytes(four))
    };
    let after_name = 8 + word(4)? as usize;
    let seqid = word(after_name)? as i32;
    let (kind, field) = (bytes.get(3), bytes.get(after_name + 6));
    let end = match (kind.ok_or_else(odd)?, field.ok_or_else(odd)?) {
        (2, 0) => End::Served,
        (2, 1) => End::Refused,
        _ => End::Failed,
    };
    Ok((seqid, end))
}
