//! Parser and encoder of HTTP/1.1 messages with size limits; works on byte buffers without sockets.
use std::fmt::{self, Write};

/// Maximum size of a message's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;

/// Why bytes are not a message that this parser accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The head is not valid HTTP, or too long.
    Head,
    /// The length of the body is declared more than once, malformed or in an unsupported coding.
    Length,
    /// The chunked framing is broken.
    Chunk,
    /// The body exceeds the limit.
    Long,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::Head => "head is no HTTP",
            HttpError::Length => "length of the body is unclear",
            HttpError::Chunk => "chunked body is broken",
            HttpError::Long => "body is too long",
        })
    }
}

impl std::error::Error for HttpError {}

/// Headers in the order of the message; names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    fn read(parsed: &[httparse::Header<'_>]) -> Result<Self, HttpError> {
        let decode = |header: &httparse::Header<'_>| {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Head)?;
            Ok((header.name.to_ascii_lowercase(), value.trim().to_string()))
        };
        parsed.iter().map(decode).collect::<Result<_, _>>().map(Headers)
    }

    /// The first value of a header; `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
    }

    /// All preferences of `Prefer` headers, in lower case.
    pub fn preferences(&self) -> impl Iterator<Item = String> + '_ {
        let values = self.0.iter().filter(|header| header.0 == "prefer");
        values.flat_map(|header| header.1.split([',', ';'])).map(|one| one.trim().to_ascii_lowercase())
    }

    fn count(&self, name: &str) -> usize {
        self.0.iter().filter(|header| header.0 == name).count()
    }
}

/// Decoder state of a message's body: what remains of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// This many bytes.
    Length(usize),
    /// This many bytes of the current chunk; 0 when the header of a chunk comes next.
    Chunked(usize),
    /// The trailer after the last chunk.
    Trailer,
    /// All bytes until the connection ends.
    ToEnd,
    /// The body is complete.
    Done,
}

impl Body {
    fn of(headers: &Headers, default: Body) -> Result<Body, HttpError> {
        match (headers.get("transfer-encoding"), headers.get("content-length")) {
            // Both headers at once, or either one twice, allow request smuggling past a proxy.
            (Some(_), Some(_)) => Err(HttpError::Length),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Body::Chunked(0)),
            (Some(_), None) => Err(HttpError::Length),
            (None, Some(length)) if headers.count("content-length") == 1 => {
                let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
                length.parse().ok().filter(|_| digits).map(Body::Length).ok_or(HttpError::Length)
            }
            (None, Some(_)) => Err(HttpError::Length),
            (None, None) => Ok(default),
        }
    }

    /// Moves the bytes of the body from `input` to `body`, which may hold at most `max_bytes` bytes. True once the
    /// body is complete.
    pub fn feed(
        &mut self,
        input: &mut Vec<u8>,
        body: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<bool, HttpError> {
        loop {
            match *self {
                Body::Length(0) | Body::Done => {
                    *self = Body::Done;
                    return Ok(true);
                }
                Body::Length(remaining) => {
                    if body.len() + remaining > max_bytes {
                        return Err(HttpError::Long);
                    }
                    let size = remaining.min(input.len());
                    body.extend(input.drain(..size));
                    *self = Body::Length(remaining - size);
                    if size < remaining {
                        return Ok(false);
                    }
                }
                Body::Chunked(0) => {
                    // The line end of the previous chunk may precede the header of a chunk.
                    let skip = if input.starts_with(b"\r\n") { 2 } else { 0 };
                    match httparse::parse_chunk_size(&input[skip..]) {
                        Ok(httparse::Status::Complete((used, size))) => {
                            input.drain(..skip + used);
                            let size = usize::try_from(size).unwrap_or(usize::MAX);
                            if size > max_bytes.saturating_sub(body.len()) {
                                return Err(HttpError::Long);
                            }
                            *self = if size == 0 { Body::Trailer } else { Body::Chunked(size) };
                        }
                        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(false),
                        _ => return Err(HttpError::Chunk),
                    }
                }
                Body::Chunked(remaining) => {
                    let size = remaining.min(input.len());
                    body.extend(input.drain(..size));
                    *self = Body::Chunked(remaining - size);
                    if size < remaining {
                        return Ok(false);
                    }
                }
                Body::Trailer => match input.windows(2).position(|pair| pair == b"\r\n") {
                    Some(0) => {
                        input.drain(..2);
                        *self = Body::Done;
                    }
                    Some(end) => _ = input.drain(..end + 2),
                    None if input.len() <= MAX_HEAD_BYTES => return Ok(false),
                    None => return Err(HttpError::Chunk),
                },
                Body::ToEnd => {
                    if body.len() + input.len() > max_bytes {
                        return Err(HttpError::Long);
                    }
                    body.append(input);
                    return Ok(false);
                }
            }
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The headers.
    pub headers: Headers,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// How the body is framed.
    pub body: Body,
}

impl RequestHead {
    /// Removes a head from the front of `input`; `None` while it is incomplete.
    pub fn decode(input: &mut Vec<u8>) -> Result<Option<Self>, HttpError> {
        let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut parsed);
        let size = match request.parse(input) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(HttpError::Head),
        };
        let headers = Headers::read(request.headers)?;
        let path = request.path.unwrap_or_default();
        let close = headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let head = RequestHead {
            method: request.method.unwrap_or_default().to_string(),
            path: path.split('?').next().unwrap_or_default().to_string(),
            keep_alive: request.version == Some(1) && !close,
            body: Body::of(&headers, Body::Length(0))?,
            headers,
        };
        input.drain(..size);
        Ok(Some(head))
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// How the body is framed.
    pub body: Body,
}

impl ResponseHead {
    /// Removes a head from the front of `input`; `None` while it is incomplete. Interim responses (1xx) are skipped.
    pub fn decode(input: &mut Vec<u8>) -> Result<Option<Self>, HttpError> {
        loop {
            let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut parsed);
            let size = match response.parse(input) {
                Ok(httparse::Status::Complete(size)) => size,
                Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
                _ => return Err(HttpError::Head),
            };
            let status = response.code.unwrap_or(0);
            let headers = Headers::read(response.headers)?;
            input.drain(..size);
            if !(100..200).contains(&status) {
                let has_no_body = status == 204 || status == 304;
                let body = if has_no_body { Body::Done } else { Body::of(&headers, Body::ToEnd)? };
                return Ok(Some(ResponseHead { status, headers, body }));
            }
        }
    }
}

/// A response to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers except `Content-Length` and `Connection`, which are added on encoding.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with a body and its media type.
    pub fn new(status: u16, kind: &str, body: Vec<u8>) -> Self {
        Response { status, headers: vec![("Content-Type", kind.to_string())], body }
    }

    /// Creates a response without a body.
    pub fn bare(status: u16) -> Self {
        Response { status, headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Encodes the response.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if self.status != 204 {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        head.push_str(if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" });
        let mut bytes = head.into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// The standard reason phrase of a status code.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        507 => "Insufficient Storage",
        _ => "Unknown",
    }
}

#[cfg(test)]
mod tests;
