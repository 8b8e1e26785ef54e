//! A plain HTTP client for loopback that keeps its connection alive.
use corkbay_node::wire::http::ResponseHead;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest response body that the client accepts.
const MAX_BODY_BYTES: usize = 64 << 20;
const READ_CHUNK_BYTES: usize = 16 << 10;

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Status line and headers.
    pub head: ResponseHead,
    /// The body.
    pub body: Vec<u8>,
}

/// An HTTP client. It connects on its first request and reconnects after a connection has ended.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    socket: Option<TcpStream>,
}

impl Client {
    /// Creates a client; `timeout` limits connecting and each read and write.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Client { address, timeout, socket: None }
    }

    /// Sends a request and waits for the response.
    pub fn send_request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Response> {
        let is_new_connection = self.socket.is_none();
        let result = self.exchange(method, path, headers, body);
        match result {
            // Retry: the server may have closed the idle connection just as it was reused, and no response was read.
            Err(error) if !is_new_connection && error.kind() == ErrorKind::ConnectionAborted => {
                self.socket = None;
                self.exchange(method, path, headers, body)
            }
            result => result,
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
            None => TcpStream::connect_timeout(&self.address, self.timeout)?,
        };
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(self.timeout))?;
        socket.set_write_timeout(Some(self.timeout))?;
        let as_aborted = |error: io::Error| match error.kind() {
            ErrorKind::BrokenPipe | ErrorKind::ConnectionReset => ErrorKind::ConnectionAborted.into(),
            _ => error,
        };
        socket.write_all(&request(method, path, headers, body)).map_err(as_aborted)?;
        let (mut raw, mut chunk) = (Vec::new(), vec![0; READ_CHUNK_BYTES]);
        let mut fill = |raw: &mut Vec<u8>| match socket.read(&mut chunk) {
            Ok(0) if raw.is_empty() => Err(ErrorKind::ConnectionAborted.into()),
            Ok(0) => Err(io::Error::from(ErrorKind::UnexpectedEof)),
            Ok(size) => {
                raw.extend_from_slice(&chunk[..size]);
                Ok(())
            }
            Err(error) if raw.is_empty() => Err(as_aborted(error)),
            Err(error) => Err(error),
        };
        let mut head = loop {
            match ResponseHead::decode(&mut raw).map_err(io::Error::other)? {
                Some(head) => break head,
                None => fill(&mut raw)?,
            }
        };
        let mut body = Vec::new();
        while !head.body.feed(&mut raw, &mut body, MAX_BODY_BYTES).map_err(io::Error::other)? {
            fill(&mut raw)?;
        }
        if head.headers.get("connection") != Some("close") {
            self.socket = Some(socket);
        }
        Ok(Response { status: head.status, head, body })
    }
}

/// Encodes a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: corkbay\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}
