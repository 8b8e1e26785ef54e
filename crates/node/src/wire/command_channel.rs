//! The command channel: a stream of numbered events (server-sent events) about the workers.
use super::socket::Socket;
use super::sse::Stream;
use crate::core::{lock, monotonic_ms, peer_lines, Invoker, UnixTime};
use crate::state::roster::WorkerListing;
use crate::state::start_times::ChannelContact;
use crate::timers;
use corkbay::{Ms, WorkerState};
use corkbay_duty::ReconnectBackoff;
use may::sync::Mutex;
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// The server sends a comment each second. A connection that is silent for longer is considered dead and is replaced, since
/// events may be waiting.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const CHUNK_BYTES: usize = 4096;

/// An event of the channel.
#[derive(Clone, Debug, Deserialize)]
pub struct ChannelEvent {
    /// The event's number, used if the server-sent event has no numeric id.
    #[serde(default)]
    pub cursor: u64,
    nodes: Option<Nodes>,
}

#[derive(Clone, Debug, Deserialize)]
struct Nodes {
    #[serde(default)]
    snapshot: bool,
    /// Parsed one by one, so that an invalid entry does not affect the others.
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
    #[serde(default)]
    group: Option<i64>,
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
    /// An unknown status; the worker gets no new calls.
    #[serde(other)]
    Other,
}

fn one() -> f64 {
    1.0
}

impl Endpoint {
    /// Converts the entry. `last_contact_without_report` is when the channel was last received without this event, in
    /// milliseconds.
    fn listing(self, last_contact_without_report: Ms) -> WorkerListing {
        let endpoint = self;
        WorkerListing {
            name: endpoint.name,
            address: endpoint.address,
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.group,
            state: match endpoint.status {
                Status::Up => WorkerState::Ready,
                Status::Draining | Status::Other => WorkerState::Draining,
                Status::Removed => WorkerState::Removed,
            },
            weight: endpoint.weight,
            since: UnixTime::from_ms(endpoint.since_ms),
            last_contact_without_report,
        }
    }
}

impl ChannelEvent {
    /// Reports an event that was known at the start to the invoker.
    pub fn remember(self, invoker: &Arc<Invoker>) {
        self.report(invoker, Ms::NEG_INFINITY, true);
    }

    /// Reports the event to the invoker. `last_contact_without_report` is when the channel was last received without it,
    /// in milliseconds; `remembered` is set for events that were known at the start.
    fn report(self, invoker: &Arc<Invoker>, last_contact_without_report: Ms, remembered: bool) {
        if let Some(nodes) = self.nodes {
            let parse_entry = |entry: Value| match Endpoint::deserialize(&entry) {
                Ok(endpoint) => Some(endpoint.listing(last_contact_without_report)),
                Err(error) => {
                    invoker.counters.channel_odd.increment();
                    if peer_lines().take() {
                        tracing::warn!(%entry, %error, "command channel: an entry was left out");
                    }
                    None
                }
            };
            let listings = nodes.endpoints.into_iter().filter_map(parse_entry).collect();
            invoker.update_roster(listings, nodes.snapshot, remembered);
        }
    }
}

/// The address of the channel, which a configuration reload may change, and the current connection to it.
pub struct CommandChannel {
    connection: Mutex<Connection>,
    received: AtomicBool,
}

struct Connection {
    address: SocketAddr,
    socket: Weak<Socket>,
}

impl CommandChannel {
    /// Creates a channel with the given address.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        let connection = Mutex::new(Connection { address, socket: Weak::new() });
        Arc::new(CommandChannel { connection, received: AtomicBool::new(false) })
    }

    /// Switches to another address: the current connection is closed at once and the cursor is kept.
    pub fn move_to(&self, address: SocketAddr) {
        let mut connection = lock(&self.connection);
        if connection.address != address {
            connection.address = address;
            connection.socket.upgrade().into_iter().for_each(|socket| socket.shut(Shutdown::Both));
        }
    }

    /// Whether anything was received from the channel since the start.
    pub fn is_heard(&self) -> bool {
        self.received.load(Ordering::Acquire)
    }

    fn address(&self) -> SocketAddr {
        lock(&self.connection).address
    }

    /// Sets the current connection; false if the address has changed meanwhile.
    fn set_connection(&self, address: SocketAddr, socket: &Arc<Socket>) -> bool {
        let mut connection = lock(&self.connection);
        connection.socket = Arc::downgrade(socket);
        connection.address == address
    }
}

/// Reads the channel for as long as the process lives. It reconnects whenever the connection ends: at once if that brought
/// events or the address changed, otherwise after a backoff delay.
pub fn follow(invoker: &Arc<Invoker>, channel: &CommandChannel, mut cursor: u64) {
    let (mut backoff, mut contact) = (ReconnectBackoff::default(), ChannelContact::default());
    loop {
        let (cursor_before, address) = (cursor, channel.address());
        invoker.counters.channel_calls.increment();
        if let Err(error) = read_events(invoker, channel, address, &mut cursor, &mut contact) {
            tracing::warn!(%error, "command channel");
        }
        if cursor == cursor_before && channel.address() == address {
            let pause = backoff.next_delay(rand::random());
            timers::sleep(Duration::from_secs_f64(pause / 1000.0));
        } else {
            backoff.reset();
        }
    }
}

fn read_events(
    invoker: &Arc<Invoker>,
    channel: &CommandChannel,
    address: SocketAddr,
    cursor: &mut u64,
    contact: &mut ChannelContact,
) -> io::Result<()> {
    let socket = Arc::new(Socket::connect(&address, CONNECT_TIMEOUT, SILENCE_TIMEOUT)?);
    if !channel.set_connection(address, &socket) {
        return Ok(());
    }
    let request = format!(
        "GET /cmd/next HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {cursor}\r\n\r\n"
    );
    socket.write(request.as_bytes())?;
    let (mut stream, mut chunk) = (Stream::default(), vec![0; CHUNK_BYTES]);
    while !stream.ended() {
        let size = socket.read(&mut chunk, SILENCE_TIMEOUT)?;
        if size == 0 {
            break;
        }
        let events = stream.feed(&chunk[..size]).map_err(io::Error::other)?;
        channel.received.store(true, Ordering::Release);
        contact.record_contact(monotonic_ms());
        for event in events {
            let parsed: Result<ChannelEvent, _> = serde_json::from_str(&event.data);
            let number = event.id.and_then(|id| id.parse().ok());
            let number = number.or(parsed.as_ref().ok().map(|parsed| parsed.cursor)).unwrap_or(0);
            // Events received before a reconnect may be sent again.
            if number <= *cursor {
                continue;
            }
            *cursor = number;
            socket.take_turn();
            match parsed {
                Ok(parsed) => parsed.report(invoker, contact.last_contact_without_report(), false),
                // Requesting the event again would fail in the same way and hold up the events after it.
                Err(error) => {
                    invoker.counters.channel_odd.increment();
                    if peer_lines().take() {
                        tracing::warn!(number, %error, "command channel: an event was left out");
                    }
                }
            }
        }
    }
    Ok(())
}
