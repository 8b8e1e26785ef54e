//! A simulated command channel for one daemon.
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without an event after which a comment line is sent to keep the connection alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Streams the list of workers and its changes to each client that connects.
#[derive(Clone)]
pub struct Channel {
    /// The address on which it listens.
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<Value>>>,
    /// When a daemon was first told of each event.
    deliveries: Arc<Mutex<Vec<Instant>>>,
    is_silent: Arc<AtomicBool>,
    bytes_sent: Arc<AtomicU64>,
}

/// Returns one entry of the list of workers; `since_ms` is the start time of the worker in milliseconds since the epoch.
pub fn endpoint(name: &str, address: SocketAddr, cell: usize, status: &str, since_ms: f64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "east", "type": "std", "group": cell,
           "status": status, "weight": 1, "since_ms": since_ms})
}

impl Channel {
    /// Starts the channel; its first event is a snapshot of the list.
    pub fn start(endpoints: &[Value]) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let channel = Channel {
            address: listener.local_addr()?,
            events: Arc::default(),
            deliveries: Arc::default(),
            is_silent: Arc::default(),
            bytes_sent: Arc::default(),
        };
        channel.push(endpoints, true);
        let accepting_channel = channel.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let channel = accepting_channel.clone();
                // An error means that the client has disconnected; it reconnects.
                std::thread::spawn(move || _ = channel.stream_events(&socket));
            }
        });
        Ok(channel)
    }

    /// The events so far, as the `known` key of a configuration holds them.
    pub fn initial_state(&self) -> Value {
        let events = self.events();
        json!({"cursor": events.len(), "cmds": *events})
    }

    /// Sends an event with the changed workers; returns the number of events so far.
    pub fn push_changes(&self, endpoints: &[Value]) -> usize {
        self.push(endpoints, false)
    }

    /// When the daemon was told of the event with that number; `None` if it can't be reached so far.
    pub fn delivered_at(&self, number: usize) -> Option<Instant> {
        self.deliveries().get(number - 1).copied()
    }

    /// Records that the daemon knows this many events.
    fn note_delivered(&self, count: usize) {
        let mut deliveries = self.deliveries();
        let known = deliveries.len().max(count);
        deliveries.resize(known, Instant::now());
    }

    fn deliveries(&self) -> std::sync::MutexGuard<'_, Vec<Instant>> {
        self.deliveries.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// While silent, the channel closes each connection and sends no events.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    /// Bytes of events that were sent, over all connections.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    fn push(&self, endpoints: &[Value], is_snapshot: bool) -> usize {
        let mut events = self.events();
        let cursor = events.len() + 1;
        let nodes = json!({"index": cursor, "snapshot": is_snapshot, "endpoints": endpoints});
        events.push(json!({"cursor": cursor, "nodes": nodes}));
        cursor
    }

    fn events(&self) -> std::sync::MutexGuard<'_, Vec<Value>> {
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn stream_events(&self, mut socket: &TcpStream) -> io::Result<()> {
        let mut sent_count = 0;
        for line in BufReader::new(socket).lines() {
            let line = line?.to_ascii_lowercase();
            if let Some(last) = line.strip_prefix("last-event-id:") {
                sent_count = last.trim().parse().unwrap_or(0);
            }
            if line.is_empty() {
                break;
            }
        }
        self.note_delivered(sent_count);
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut last_write = Instant::now();
        while !self.is_silent.load(Ordering::Relaxed) {
            let unsent: Vec<Value> = self.events().iter().skip(sent_count).cloned().collect();
            for event in unsent {
                sent_count += 1;
                let text = format!("id: {sent_count}\ndata: {event}\n\n");
                socket.write_all(text.as_bytes())?;
                self.note_delivered(sent_count);
                self.bytes_sent.fetch_add(text.len() as u64, Ordering::Relaxed);
                last_write = Instant::now();
            }
            if last_write.elapsed() >= KEEPALIVE_INTERVAL {
                socket.write_all(b":\n\n")?;
                last_write = Instant::now();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}
