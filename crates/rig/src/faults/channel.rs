//! A stand-in for the command channel of one daemon.
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(20);
const COMMENT: Duration = Duration::from_millis(500);

/// Events that are told to whoever calls.
#[derive(Clone)]
pub struct Channel {
    /// Where it listens.
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<Value>>>,
    is_silent: Arc<AtomicBool>,
    bytes_told: Arc<AtomicU64>,
}

/// One line of the list of workers.
pub fn endpoint(name: &str, address: SocketAddr, rack: usize, status: &str, since_ms: f64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "east", "type": "std", "group": rack,
           "status": status, "weight": 1, "since_ms": since_ms})
}

impl Channel {
    /// Listens; the first event holds the whole list.
    pub fn start(endpoints: &[Value]) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let channel = Channel {
            address: listener.local_addr()?,
            events: Arc::default(),
            is_silent: Arc::default(),
            bytes_told: Arc::default(),
        };
        channel.push(endpoints, true);
        let ours = channel.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let channel = ours.clone();
                // Whoever has left calls again.
                std::thread::spawn(move || _ = channel.tell(&socket));
            }
        });
        Ok(channel)
    }

    /// What a configuration says is known at the start.
    pub fn known(&self) -> Value {
        let events = self.events();
        json!({"cursor": events.len(), "cmds": *events})
    }

    /// Tells of changed workers.
    pub fn change(&self, endpoints: &[Value]) {
        self.push(endpoints, false);
    }

    /// Ends its connections and tells nothing until it is told otherwise.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::Relaxed);
    }

    /// Bytes that callers were told.
    pub fn bytes_told(&self) -> u64 {
        self.bytes_told.load(Ordering::Relaxed)
    }

    fn push(&self, endpoints: &[Value], whole: bool) {
        let mut events = self.events();
        let cursor = events.len() + 1;
        let nodes = json!({"index": cursor, "snapshot": whole, "endpoints": endpoints});
        events.push(json!({"cursor": cursor, "nodes": nodes}));
    }

    fn events(&self) -> std::sync::MutexGuard<'_, Vec<Value>> {
        self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn tell(&self, mut socket: &TcpStream) -> io::Result<()> {
        let mut told = 0;
        for line in BufReader::new(socket).lines() {
            let line = line?.to_ascii_lowercase();
            if let Some(last) = line.strip_prefix("last-event-id:") {
                told = last.trim().parse().unwrap_or(0);
            }
            if line.is_empty() {
                break;
            }
        }
        socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut spoke = Instant::now();
        while !self.is_silent.load(Ordering::Relaxed) {
            let fresh: Vec<Value> = self.events().iter().skip(told).cloned().collect();
            for event in fresh {
                told += 1;
                let text = format!("id: {told}\ndata: {event}\n\n");
                socket.write_all(text.as_bytes())?;
                self.bytes_told.fetch_add(text.len() as u64, Ordering::Relaxed);
                spoke = Instant::now();
            }
            if spoke.elapsed() >= COMMENT {
                socket.write_all(b":\n\n")?;
                spoke = Instant::now();
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }
}
