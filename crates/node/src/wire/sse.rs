//! HTTP responses that carry server-sent events, as bytes in and events out.
use super::http::{BadHttp, Body, ResponseHead};
use std::fmt;

const MAX_EVENT: usize = 4 << 20;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The last `id` seen.
    pub id: Option<String>,
    /// Its `data` lines, joined by line feeds.
    pub data: String,
}

/// Why a response can't be read any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadStream {
    /// It is no HTTP.
    Http(BadHttp),
    /// The status is not 200.
    Status(u16),
    /// A line or event is longer than is read.
    Long,
}

impl fmt::Display for BadStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadStream::Http(error) => write!(f, "{error}"),
            BadStream::Status(status) => write!(f, "status {status}"),
            BadStream::Long => write!(f, "event too long"),
        }
    }
}

impl std::error::Error for BadStream {}

impl From<BadHttp> for BadStream {
    fn from(error: BadHttp) -> Self {
        BadStream::Http(error)
    }
}

/// Reads one response.
#[derive(Default)]
pub struct Stream {
    body: Option<Body>,
    raw: Vec<u8>,
    text: Vec<u8>,
    /// Bytes of the text, from its beginning, that hold no end of a line.
    searched: usize,
    event: Event,
    has_data: bool,
}

impl Stream {
    /// Takes bytes in and gives the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, BadStream> {
        self.raw.extend(bytes);
        if self.body.is_none() {
            let Some(head) = ResponseHead::decode(&mut self.raw)? else { return Ok(Vec::new()) };
            if head.status != 200 {
                return Err(BadStream::Status(head.status));
            }
            self.body = Some(head.body);
        }
        if let Some(body) = &mut self.body {
            body.feed(&mut self.raw, &mut self.text, MAX_EVENT)?;
        }
        let mut events = Vec::new();
        let text = std::mem::take(&mut self.text);
        let mut begin = 0;
        while let Some(size) = text[self.searched..].iter().position(|byte| *byte == b'\n') {
            let end = self.searched + size;
            let line = String::from_utf8_lossy(&text[begin..end]);
            self.line(line.trim_end_matches('\r'), &mut events);
            begin = end + 1;
            self.searched = begin;
        }
        self.text = text;
        self.text.drain(..begin);
        self.searched = self.text.len();
        if self.text.len() + self.event.data.len() > MAX_EVENT {
            return Err(BadStream::Long);
        }
        Ok(events)
    }

    /// Whether the body has come to its end.
    pub fn ended(&self) -> bool {
        self.body == Some(Body::Done)
    }

    fn line(&mut self, line: &str, events: &mut Vec<Event>) {
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
