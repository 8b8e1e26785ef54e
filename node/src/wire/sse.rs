//! HTTP responses that carry server-sent events, as bytes in and events out.
use std::fmt;

const MAX_HEAD: usize = 16 << 10;
const MAX_EVENT: usize = 4 << 20;
const MAX_HEADERS: usize = 32;

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
    /// The head is no HTTP.
    Head,
    /// The status is not 200.
    Status(u16),
    /// The chunked framing is broken.
    Chunk,
    /// A line or event is longer than is read.
    Long,
}

impl fmt::Display for BadStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadStream::Head => write!(f, "no HTTP response"),
            BadStream::Status(status) => write!(f, "status {status}"),
            BadStream::Chunk => write!(f, "broken chunk"),
            BadStream::Long => write!(f, "event too long"),
        }
    }
}

impl std::error::Error for BadStream {}

enum Stage {
    Head,
    /// The body as it is.
    Plain,
    /// Bytes left of the present chunk; 0 where a chunk's head is due.
    Chunked(usize),
    Ended,
}

/// Reads one response.
pub struct Stream {
    stage: Stage,
    raw: Vec<u8>,
    text: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl Default for Stream {
    fn default() -> Self {
        Stream {
            stage: Stage::Head,
            raw: Vec::new(),
            text: Vec::new(),
            event: Event::default(),
            has_data: false,
        }
    }
}

impl Stream {
    /// Takes bytes in and gives the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, BadStream> {
        self.raw.extend(bytes);
        if matches!(self.stage, Stage::Head) && !self.head()? {
            return Ok(Vec::new());
        }
        self.unwrap_body()?;
        let mut events = Vec::new();
        while let Some(end) = self.text.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line[..end]).into_owned();
            self.line(line.trim_end_matches('\r'), &mut events);
        }
        if self.text.len() + self.event.data.len() > MAX_EVENT {
            return Err(BadStream::Long);
        }
        Ok(events)
    }

    /// Whether the body has come to its end.
    pub fn ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    fn head(&mut self) -> Result<bool, BadStream> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&self.raw) {
            Ok(httparse::Status::Complete(size)) => {
                let status = response.code.unwrap_or(0);
                if status != 200 {
                    return Err(BadStream::Status(status));
                }
                let chunked = response.headers.iter().any(|header| {
                    header.name.eq_ignore_ascii_case("transfer-encoding")
                        && header.value.eq_ignore_ascii_case(b"chunked")
                });
                self.stage = if chunked { Stage::Chunked(0) } else { Stage::Plain };
                self.raw.drain(..size);
                Ok(true)
            }
            Ok(httparse::Status::Partial) if self.raw.len() <= MAX_HEAD => Ok(false),
            _ => Err(BadStream::Head),
        }
    }

    fn unwrap_body(&mut self) -> Result<(), BadStream> {
        loop {
            match self.stage {
                Stage::Chunked(0) => {
                    // A chunk's head may follow the line end of the chunk before it.
                    let skip = if self.raw.starts_with(b"\r\n") { 2 } else { 0 };
                    match httparse::parse_chunk_size(&self.raw[skip..]) {
                        Ok(httparse::Status::Complete((_, 0))) => self.stage = Stage::Ended,
                        Ok(httparse::Status::Complete((used, size))) => {
                            let size = usize::try_from(size).ok().filter(|size| *size <= MAX_EVENT);
                            self.stage = Stage::Chunked(size.ok_or(BadStream::Long)?);
                            self.raw.drain(..skip + used);
                        }
                        Ok(httparse::Status::Partial) => return Ok(()),
                        Err(_) => return Err(BadStream::Chunk),
                    }
                }
                Stage::Chunked(left) => {
                    let size = left.min(self.raw.len());
                    self.text.extend(self.raw.drain(..size));
                    self.stage = Stage::Chunked(left - size);
                    if size < left {
                        return Ok(());
                    }
                }
                Stage::Plain => {
                    self.text.append(&mut self.raw);
                    return Ok(());
                }
                Stage::Head | Stage::Ended => return Ok(()),
            }
        }
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
mod tests {
    use super::*;

    const PLAIN: &[u8] =
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hi\n\nid: 4\ndata: {\"a\"\ndata: :1}\n\nid: 5\ndata: x\n\n";
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 4\nd\r\n12\r\nata: {\"a\"\ndata: :1\r\n11\r\n}\n\nid: 5\ndata: x\n\r\n1\r\n\n\r\n0\r\n\r\n";

    /// Guards against events that depend on how the bytes were cut on their way.
    #[test]
    fn events_come_out_whole_however_the_bytes_are_cut() {
        for whole in [PLAIN, CHUNKED] {
            for step in 1..whole.len() {
                let mut stream = Stream::default();
                let mut events = Vec::new();
                for part in whole.chunks(step) {
                    events.extend(stream.feed(part).expect("reads"));
                }
                let told: Vec<_> =
                    events.iter().map(|event| (event.id.as_deref(), event.data.as_str())).collect();
                assert_eq!(told, [(Some("4"), "{\"a\"\n:1}"), (Some("5"), "x")], "in steps of {step}");
            }
        }
    }

    #[test]
    fn what_is_no_stream_is_turned_down() {
        assert_eq!(Stream::default().feed(b"HTTP/1.1 503 No\r\n\r\n"), Err(BadStream::Status(503)));
        assert_eq!(Stream::default().feed(b"SSH-2.0\r\n\r\n"), Err(BadStream::Head));
    }
}
