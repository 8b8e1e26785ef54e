//! A plain HTTP client on one connection that is kept, for loopback.
use corkbay_node::wire::http::ResponseHead;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest body of a response that is read.
const LARGEST: usize = 64 << 20;
const CHUNK: usize = 16 << 10;

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The head, with its headers.
    pub head: ResponseHead,
    /// The body.
    pub body: Vec<u8>,
}

/// A client; it connects when it first asks, and again after a connection has ended.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    patience: Duration,
    socket: Option<TcpStream>,
}

impl Client {
    /// A client of a server that answers within that time, or not at all.
    pub fn new(address: SocketAddr, patience: Duration) -> Self {
        Client { address, patience, socket: None }
    }

    /// Asks and waits for the answer.
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Response> {
        let fresh = self.socket.is_none();
        let end = self.exchange(method, path, headers, body);
        match end {
            // The server may close a connection that was kept just as it is used again; nothing was read.
            Err(error) if !fresh && error.kind() == ErrorKind::ConnectionAborted => {
                self.socket = None;
                self.exchange(method, path, headers, body)
            }
            end => end,
        }
        .inspect_err(|_| self.socket = None)
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Response> {
        let mut socket = match self.socket.take() {
            Some(socket) => socket,
            None => TcpStream::connect_timeout(&self.address, self.patience)?,
        };
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(self.patience))?;
        socket.set_write_timeout(Some(self.patience))?;
        let gone = |error: io::Error| match error.kind() {
            ErrorKind::BrokenPipe | ErrorKind::ConnectionReset => ErrorKind::ConnectionAborted.into(),
            _ => error,
        };
        socket.write_all(&request(method, path, headers, body)).map_err(gone)?;
        let (mut raw, mut chunk) = (Vec::new(), vec![0; CHUNK]);
        let mut fill = |raw: &mut Vec<u8>| match socket.read(&mut chunk) {
            Ok(0) if raw.is_empty() => Err(ErrorKind::ConnectionAborted.into()),
            Ok(0) => Err(io::Error::from(ErrorKind::UnexpectedEof)),
            Ok(size) => {
                raw.extend_from_slice(&chunk[..size]);
                Ok(())
            }
            Err(error) if raw.is_empty() => Err(gone(error)),
            Err(error) => Err(error),
        };
        let mut head = loop {
            match ResponseHead::decode(&mut raw).map_err(io::Error::other)? {
                Some(head) => break head,
                None => fill(&mut raw)?,
            }
        };
        let mut body = Vec::new();
        while !head.body.feed(&mut raw, &mut body, LARGEST).map_err(io::Error::other)? {
            fill(&mut raw)?;
        }
        if head.headers.get("connection") != Some("close") {
            self.socket = Some(socket);
        }
        Ok(Response { status: head.status, head, body })
    }
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: corkbay\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}
