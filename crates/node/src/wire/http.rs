//! HTTP/1.1 messages as bytes in and messages out, bounded; no sockets.
use std::fmt::{self, Write};

/// Largest head of a message.
pub const MAX_HEAD: usize = 16 << 10;
const MAX_HEADERS: usize = 64;

/// Why bytes are no message that is read here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadHttp {
    /// The head is no HTTP or too long.
    Head,
    /// The length of the body is told twice, oddly or not in a form that is read.
    Length,
    /// The chunked framing is broken.
    Chunk,
    /// The body is longer than is read.
    Long,
}

impl fmt::Display for BadHttp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadHttp::Head => "head is no HTTP",
            BadHttp::Length => "length of the body is unclear",
            BadHttp::Chunk => "chunked body is broken",
            BadHttp::Long => "body is too long",
        })
    }
}

impl std::error::Error for BadHttp {}

/// Headers in the order they came; names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    fn read(parsed: &[httparse::Header<'_>]) -> Result<Self, BadHttp> {
        let text = |header: &httparse::Header<'_>| {
            let value = std::str::from_utf8(header.value).map_err(|_| BadHttp::Head)?;
            Ok((header.name.to_ascii_lowercase(), value.trim().to_string()))
        };
        parsed.iter().map(text).collect::<Result<_, _>>().map(Headers)
    }

    /// The first value of a header, its name in lower case.
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

/// What is left of a message's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes.
    Length(usize),
    /// So many bytes of the present chunk; 0 where a chunk's head is due.
    Chunked(usize),
    /// The trailer after the last chunk.
    Trailer,
    /// Until the connection ends.
    ToEnd,
    /// Nothing.
    Done,
}

impl Body {
    fn of(headers: &Headers, otherwise: Body) -> Result<Body, BadHttp> {
        match (headers.get("transfer-encoding"), headers.get("content-length")) {
            // Both at once, or either twice, is how requests are smuggled past a front.
            (Some(_), Some(_)) => Err(BadHttp::Length),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Body::Chunked(0)),
            (Some(_), None) => Err(BadHttp::Length),
            (None, Some(length)) if headers.count("content-length") == 1 => {
                let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
                length.parse().ok().filter(|_| digits).map(Body::Length).ok_or(BadHttp::Length)
            }
            (None, Some(_)) => Err(BadHttp::Length),
            (None, None) => Ok(otherwise),
        }
    }

    /// Moves what belongs to the body from `raw` to `body`; true once it is whole. No more than `most`
    /// bytes may stand in `body`.
    pub fn feed(&mut self, raw: &mut Vec<u8>, body: &mut Vec<u8>, most: usize) -> Result<bool, BadHttp> {
        loop {
            match *self {
                Body::Length(0) | Body::Done => {
                    *self = Body::Done;
                    return Ok(true);
                }
                Body::Length(left) => {
                    if body.len() + left > most {
                        return Err(BadHttp::Long);
                    }
                    let size = left.min(raw.len());
                    body.extend(raw.drain(..size));
                    *self = Body::Length(left - size);
                    if size < left {
                        return Ok(false);
                    }
                }
                Body::Chunked(0) => {
                    // A chunk's head may follow the line end of the chunk before it.
                    let skip = if raw.starts_with(b"\r\n") { 2 } else { 0 };
                    match httparse::parse_chunk_size(&raw[skip..]) {
                        Ok(httparse::Status::Complete((used, size))) => {
                            raw.drain(..skip + used);
                            let size = usize::try_from(size).unwrap_or(usize::MAX);
                            if size > most.saturating_sub(body.len()) {
                                return Err(BadHttp::Long);
                            }
                            *self = if size == 0 { Body::Trailer } else { Body::Chunked(size) };
                        }
                        Ok(httparse::Status::Partial) if raw.len() <= MAX_HEAD => return Ok(false),
                        _ => return Err(BadHttp::Chunk),
                    }
                }
                Body::Chunked(left) => {
                    let size = left.min(raw.len());
                    body.extend(raw.drain(..size));
                    *self = Body::Chunked(left - size);
                    if size < left {
                        return Ok(false);
                    }
                }
                Body::Trailer => match raw.windows(2).position(|pair| pair == b"\r\n") {
                    Some(0) => {
                        raw.drain(..2);
                        *self = Body::Done;
                    }
                    Some(end) => _ = raw.drain(..end + 2),
                    None if raw.len() <= MAX_HEAD => return Ok(false),
                    None => return Err(BadHttp::Chunk),
                },
                Body::ToEnd => {
                    if body.len() + raw.len() > most {
                        return Err(BadHttp::Long);
                    }
                    body.append(raw);
                    return Ok(false);
                }
            }
        }
    }
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The headers.
    pub headers: Headers,
    /// The connection stays open after the answer.
    pub keep_alive: bool,
    /// The form of its body.
    pub body: Body,
}

impl RequestHead {
    /// Takes a head off the front of `raw`; `None` while it is not whole.
    pub fn decode(raw: &mut Vec<u8>) -> Result<Option<Self>, BadHttp> {
        let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut parsed);
        let size = match request.parse(raw) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if raw.len() <= MAX_HEAD => return Ok(None),
            _ => return Err(BadHttp::Head),
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
        raw.drain(..size);
        Ok(Some(head))
    }
}

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The form of its body.
    pub body: Body,
}

impl ResponseHead {
    /// Takes a head off the front of `raw`; `None` while it is not whole. Interim responses are passed over.
    pub fn decode(raw: &mut Vec<u8>) -> Result<Option<Self>, BadHttp> {
        loop {
            let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut parsed);
            let size = match response.parse(raw) {
                Ok(httparse::Status::Complete(size)) => size,
                Ok(httparse::Status::Partial) if raw.len() <= MAX_HEAD => return Ok(None),
                _ => return Err(BadHttp::Head),
            };
            let status = response.code.unwrap_or(0);
            let headers = Headers::read(response.headers)?;
            raw.drain(..size);
            if !(100..200).contains(&status) {
                let bare = status == 204 || status == 304;
                let body = if bare { Body::Done } else { Body::of(&headers, Body::ToEnd)? };
                return Ok(Some(ResponseHead { status, headers, body }));
            }
        }
    }
}

/// A response to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers but for the length and the connection.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with a body of a type.
    pub fn new(status: u16, kind: &str, body: Vec<u8>) -> Self {
        Response { status, headers: vec![("Content-Type", kind.to_string())], body }
    }

    /// A response with no body.
    pub fn bare(status: u16) -> Self {
        Response { status, headers: Vec::new(), body: Vec::new() }
    }

    /// The same with one more header.
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Its bytes.
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

/// The usual phrase of a status.
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
