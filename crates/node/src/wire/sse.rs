//! Parser of HTTP responses that carry server-sent events; works on byte buffers without sockets.
use super::http::{Body, HttpError, ResponseHead};
use std::fmt;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The last `id` field received, possibly with an earlier event.
    pub id: Option<String>,
    /// The values of its `data` fields, joined by line feeds.
    pub data: String,
}

/// Why a response can't be parsed any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventStreamError {
    /// It is not valid HTTP.
    Http(HttpError),
    /// The status is not 200.
    Status(u16),
    /// A line or an event is too long.
    Long,
}

impl fmt::Display for EventStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventStreamError::Http(error) => write!(f, "{error}"),
            EventStreamError::Status(status) => write!(f, "unexpected status {status}"),
            EventStreamError::Long => write!(f, "event exceeds {MAX_EVENT_BYTES} bytes"),
        }
    }
}

impl std::error::Error for EventStreamError {}

impl From<HttpError> for EventStreamError {
    fn from(error: HttpError) -> Self {
        EventStreamError::Http(error)
    }
}

/// Incremental parser of one response.
#[derive(Default)]
pub struct Stream {
    body: Option<Body>,
    input: Vec<u8>,
    text: Vec<u8>,
    /// Number of bytes at the start of the text that are known to contain no line end.
    searched_bytes: usize,
    event: Event,
    has_data: bool,
}

impl Stream {
    /// Parses more bytes; returns the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventStreamError> {
        self.input.extend(bytes);
        if self.body.is_none() {
            let Some(head) = ResponseHead::decode(&mut self.input)? else { return Ok(Vec::new()) };
            if head.status != 200 {
                return Err(EventStreamError::Status(head.status));
            }
            self.body = Some(head.body);
        }
        if let Some(body) = &mut self.body {
            body.feed(&mut self.input, &mut self.text, MAX_EVENT_BYTES)?;
        }
        let mut events = Vec::new();
        let text = std::mem::take(&mut self.text);
        let mut begin = 0;
        while let Some(size) = text[self.searched_bytes..].iter().position(|byte| *byte == b'\n') {
            let end = self.searched_bytes + size;
            let line = String::from_utf8_lossy(&text[begin..end]);
            self.parse_line(line.trim_end_matches('\r'), &mut events);
            begin = end + 1;
            self.searched_bytes = begin;
        }
        self.text = text;
        self.text.drain(..begin);
        self.searched_bytes = self.text.len();
        if self.text.len() + self.event.data.len() > MAX_EVENT_BYTES {
            return Err(EventStreamError::Long);
        }
        Ok(events)
    }

    /// Whether the body is complete.
    pub fn ended(&self) -> bool {
        self.body == Some(Body::Done)
    }

    fn parse_line(&mut self, line: &str, events: &mut Vec<Event>) {
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                let data = std::mem::take(&mut self.event.data);
                events.push(Event { id: self.event.id.clone(), data });
            }
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.event.id = Some(value.to_string()),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
