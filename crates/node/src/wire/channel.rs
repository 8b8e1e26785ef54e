//! The command channel: news of the workers as numbered events.
use super::socket::Socket;
use super::sse::Stream;
use crate::core::{lock, monotonic_ms, Invoker, UnixTime};
use crate::memory::roster::Listing;
use crate::memory::starts::Contact;
use crate::timers;
use corkbay::{Ms, Standing};
use corkbay_duty::Redial;
use may::sync::Mutex;
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// A comment comes each second: a channel silent for longer is dead, and news may be waiting.
const SILENCE: Duration = Duration::from_millis(1300);
const CONNECT: Duration = Duration::from_millis(300);
const CHUNK: usize = 4096;

/// One event of the channel.
#[derive(Clone, Debug, Deserialize)]
pub struct News {
    /// Its number.
    #[serde(default)]
    pub cursor: u64,
    nodes: Option<Nodes>,
}

#[derive(Clone, Debug, Deserialize)]
struct Nodes {
    #[serde(default)]
    snapshot: bool,
    /// Read one by one, so that an odd entry does not hide the others' news.
    #[serde(default)]
    endpoints: Vec<Value>,
}

#[derive(Clone, Debug, Deserialize)]
struct Endpoint {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default = "no_cell")]
    group: i64,
    status: Status,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Up,
    Draining,
    Removed,
    /// No state that is known: nothing new goes there.
    #[serde(other)]
    Other,
}

fn no_cell() -> i64 {
    -1
}

fn one() -> f64 {
    1.0
}

impl Endpoint {
    /// What it says, on a channel that was last heard without it at that time.
    fn listing(self, heard_without: Ms) -> Listing {
        let endpoint = self;
        Listing {
            name: endpoint.name,
            address: endpoint.address,
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.group,
            standing: match endpoint.status {
                Status::Up => Standing::Ready,
                Status::Draining | Status::Other => Standing::Draining,
                Status::Removed => Standing::Gone,
            },
            weight: endpoint.weight,
            since: UnixTime::from_ms(endpoint.since_ms),
            heard_without,
        }
    }
}

impl News {
    /// Passes on an event that was known at the start.
    pub fn remember(self, invoker: &Arc<Invoker>) {
        self.tell(invoker, Ms::NEG_INFINITY, true);
    }

    /// Passes the event on, told on a channel that was last heard without it at that time; `remembered` where it was
    /// known at the start.
    fn tell(self, invoker: &Arc<Invoker>, heard_without: Ms, remembered: bool) {
        if let Some(nodes) = self.nodes {
            let read = |entry: Value| match Endpoint::deserialize(&entry) {
                Ok(endpoint) => Some(endpoint.listing(heard_without)),
                Err(error) => {
                    invoker.counters.channel_odd.add();
                    tracing::warn!(%entry, %error, "command channel: an entry was left out");
                    None
                }
            };
            let listings = nodes.endpoints.into_iter().filter_map(read).collect();
            invoker.news(listings, nodes.snapshot, remembered);
        }
    }
}

/// Where the channel is read, which a reload may change, and the connection that is read now.
pub struct Line {
    reading: Mutex<Reading>,
    heard: AtomicBool,
}

struct Reading {
    address: SocketAddr,
    socket: Weak<Socket>,
}

impl Line {
    /// A channel at an address.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        let reading = Mutex::new(Reading { address, socket: Weak::new() });
        Arc::new(Line { reading, heard: AtomicBool::new(false) })
    }

    /// Goes on at another address: what is read now ends at once, and the cursor is kept.
    pub fn move_to(&self, address: SocketAddr) {
        let mut reading = lock(&self.reading);
        if reading.address != address {
            reading.address = address;
            reading.socket.upgrade().into_iter().for_each(|socket| socket.shut(Shutdown::Both));
        }
    }

    /// Whether the channel has answered since the start.
    pub fn is_heard(&self) -> bool {
        self.heard.load(Ordering::Acquire)
    }

    fn address(&self) -> SocketAddr {
        lock(&self.reading).address
    }

    /// Notes a connection that is to be read; false if the channel has moved meanwhile.
    fn reads(&self, address: SocketAddr, socket: &Arc<Socket>) -> bool {
        let mut reading = lock(&self.reading);
        reading.socket = Arc::downgrade(socket);
        reading.address == address
    }
}

/// Reads the channel for as long as the process lives: each time it ends it is called again, at once where it brought
/// news.
pub fn follow(invoker: &Arc<Invoker>, line: &Line, mut cursor: u64) {
    let (mut redial, mut contact) = (Redial::default(), Contact::default());
    loop {
        let (before, address) = (cursor, line.address());
        invoker.counters.channel_calls.add();
        if let Err(error) = listen(invoker, line, address, &mut cursor, &mut contact) {
            tracing::warn!(%error, "command channel");
        }
        if cursor == before && line.address() == address {
            let pause = redial.pause(rand::random());
            timers::sleep(Duration::from_secs_f64(pause / 1000.0));
        } else {
            redial.heard();
        }
    }
}

fn listen(
    invoker: &Arc<Invoker>,
    line: &Line,
    address: SocketAddr,
    cursor: &mut u64,
    contact: &mut Contact,
) -> io::Result<()> {
    let socket = Arc::new(Socket::connect(&address, CONNECT, SILENCE)?);
    if !line.reads(address, &socket) {
        return Ok(());
    }
    let call = format!(
        "GET /cmd/next HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {cursor}\r\n\r\n"
    );
    socket.write(call.as_bytes())?;
    let (mut stream, mut chunk) = (Stream::default(), vec![0; CHUNK]);
    while !stream.ended() {
        let size = socket.read(&mut chunk, SILENCE)?;
        if size == 0 {
            break;
        }
        let events = stream.feed(&chunk[..size]).map_err(io::Error::other)?;
        line.heard.store(true, Ordering::Release);
        contact.heard(monotonic_ms());
        for event in events {
            let news: Result<News, _> = serde_json::from_str(&event.data);
            let number = event.id.and_then(|id| id.parse().ok());
            let number = number.or(news.as_ref().ok().map(|news| news.cursor)).unwrap_or(0);
            // What was read before the connection ended may come once more.
            if number <= *cursor {
                continue;
            }
            *cursor = number;
            match news {
                Ok(news) => news.tell(invoker, contact.heard_without(), false),
                // Asked for again it would read no better, and what follows it must be heard.
                Err(error) => {
                    invoker.counters.channel_odd.add();
                    tracing::warn!(number, %error, "command channel: an event was left out");
                }
            }
        }
    }
    Ok(())
}
