//! Clients that send messages without a pause, each on one connection, and read their answers.
use super::records::CLASSES;
use super::thrift::{alive, cancel, dispatch, unknown_method};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of messages that a client writes at a time.
const BATCH_MESSAGES: usize = 64;
/// Number of messages with large bodies that a client writes at a time.
const BATCH_LARGE_MESSAGES: usize = 4;
/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Pause before a client connects again after its connection ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
const READ_CHUNK_BYTES: usize = 64 << 10;
/// Ids of flooding requests start here, above those of other clients.
const FIRST_ID: u64 = 1 << 40;

/// What a flooding client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FloodKind {
    /// Health checks.
    Alive,
    /// Requests, each for a new function.
    NewNames,
    /// The same; each request is cancelled by the next message.
    NewNamesCancelled,
    /// Requests of a class that does not exist.
    UnknownClass,
    /// Calls of a method that does not exist.
    UnknownMethod,
    /// Requests with the largest body.
    LargeBodies,
    /// Connections that send one byte and are closed.
    Connections,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 7] = [
        FloodKind::Alive,
        FloodKind::NewNames,
        FloodKind::NewNamesCancelled,
        FloodKind::UnknownClass,
        FloodKind::UnknownMethod,
        FloodKind::LargeBodies,
        FloodKind::Connections,
    ];

    /// The next messages of a connection whose last sequence number is `seqid`.
    fn batch(self, seqid: &mut i32, allow: &str) -> Vec<u8> {
        let count = match self {
            FloodKind::Connections => return vec![0],
            FloodKind::LargeBodies => BATCH_LARGE_MESSAGES,
            _ => BATCH_MESSAGES,
        };
        let mut bytes = Vec::new();
        for _ in 0..count {
            *seqid += 1;
            bytes.extend(self.message(*seqid, allow));
        }
        bytes
    }

    fn message(self, seqid: i32, allow: &str) -> Vec<u8> {
        let class = CLASSES[0].0;
        match self {
            FloodKind::Alive => alive(seqid),
            FloodKind::UnknownMethod => unknown_method(seqid),
            FloodKind::UnknownClass => request(seqid, "nothing", allow, b"x"),
            FloodKind::LargeBodies => request(seqid, class, allow, &[b'x'; MAX_BODY_BYTES]),
            FloodKind::NewNamesCancelled => [request(seqid, class, allow, b"x"), cancel(seqid)].concat(),
            FloodKind::NewNames | FloodKind::Connections => request(seqid, class, allow, b"x"),
        }
    }
}

/// A request under an id and for a function that were not used before.
fn request(seqid: i32, class: &str, allow: &str, body: &[u8]) -> Vec<u8> {
    static NEXT_ID: AtomicU64 = AtomicU64::new(FIRST_ID);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let (hex, key) = (format!("{id:016x}"), format!("{id:032x}"));
    let fields = [
        ("service", class),
        ("ref", &hex),
        ("allow", allow),
        ("project", "acme"),
        ("replay", &key),
        ("lookup", &hex),
        ("info", "memory_mb:64;lanes:8"),
    ];
    dispatch(seqid, &fields, body)
}

/// Flooding clients; they send until this is dropped.
pub struct Flood {
    shared: Arc<SharedState>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct SharedState {
    is_stopped: AtomicBool,
    /// The open connection of each client.
    sockets: Mutex<Vec<Option<TcpStream>>>,
    bytes_written: AtomicU64,
}

impl Flood {
    /// Starts clients that each keep one connection and connect again when it ends. Requests allow `allow` for their
    /// answers.
    pub fn start(address: SocketAddr, kind: FloodKind, connections: usize, allow: Duration) -> Self {
        let shared = Arc::<SharedState>::default();
        shared.sockets().resize_with(connections, || None);
        let threads = (0..connections)
            .map(|number| {
                let client = FloodClient {
                    shared: shared.clone(),
                    number,
                    kind,
                    allow: allow.as_millis().to_string(),
                };
                std::thread::spawn(move || client.run(address))
            })
            .collect();
        Flood { shared, threads }
    }

    /// Number of bytes that were written.
    pub fn bytes_written(&self) -> u64 {
        self.shared.bytes_written.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        self.shared.sockets().iter().flatten().for_each(|socket| _ = socket.shutdown(Shutdown::Both));
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

impl SharedState {
    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn sockets(&self) -> std::sync::MutexGuard<'_, Vec<Option<TcpStream>>> {
        self.sockets.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

struct FloodClient {
    shared: Arc<SharedState>,
    number: usize,
    kind: FloodKind,
    allow: String,
}

impl FloodClient {
    fn run(&self, address: SocketAddr) {
        while !self.shared.is_stopped() {
            if let Ok(socket) = TcpStream::connect(address) {
                self.shared.sockets()[self.number] = socket.try_clone().ok();
                self.flood(&socket);
            }
            if self.kind != FloodKind::Connections {
                std::thread::sleep(RECONNECT_PAUSE);
            }
        }
    }

    /// Writes until the connection ends or the flood is stopped; another thread reads and discards the answers.
    fn flood(&self, mut socket: &TcpStream) {
        let is_short = self.kind == FloodKind::Connections;
        let reading = if is_short { None } else { socket.try_clone().ok() };
        let reader = reading.map(|socket| std::thread::spawn(move || discard_input(&socket)));
        let mut seqid = 0;
        while !self.shared.is_stopped() {
            let batch = self.kind.batch(&mut seqid, &self.allow);
            if socket.write_all(&batch).is_err() {
                break;
            }
            self.shared.bytes_written.fetch_add(batch.len() as u64, Ordering::Relaxed);
            if is_short {
                break;
            }
        }
        let _ = socket.shutdown(Shutdown::Both);
        reader.into_iter().for_each(|thread| _ = thread.join());
    }
}

fn discard_input(mut socket: &TcpStream) {
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    while matches!(socket.read(&mut chunk), Ok(1..)) {}
}
