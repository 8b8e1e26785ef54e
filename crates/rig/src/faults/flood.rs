//! Clients that send messages without a pause, each on one connection, and, but for one kind, read their answers.
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
/// Placeholders in templates of messages.
const SEQID_PLACEHOLDER: i32 = 0x7a5a_7a5a;
const ID_PLACEHOLDER: &str = "fedcba9876543210";

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
    /// Health checks whose answers are never read.
    UnreadAnswers,
    /// Connections that send one byte and are closed.
    Connections,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 8] = [
        FloodKind::Alive,
        FloodKind::NewNames,
        FloodKind::NewNamesCancelled,
        FloodKind::UnknownClass,
        FloodKind::UnknownMethod,
        FloodKind::LargeBodies,
        FloodKind::UnreadAnswers,
        FloodKind::Connections,
    ];

    /// One message with placeholders for its sequence number and ids.
    fn template(self, allow: &str) -> Vec<u8> {
        let class = CLASSES[0].0;
        match self {
            FloodKind::Alive | FloodKind::UnreadAnswers => alive(SEQID_PLACEHOLDER),
            FloodKind::UnknownMethod => unknown_method(SEQID_PLACEHOLDER),
            FloodKind::UnknownClass => request("nothing", allow, b"x"),
            FloodKind::LargeBodies => request(class, allow, &[b'x'; MAX_BODY_BYTES]),
            FloodKind::NewNames => request(class, allow, b"x"),
            FloodKind::NewNamesCancelled => [request(class, allow, b"x"), cancel(SEQID_PLACEHOLDER)].concat(),
            FloodKind::Connections => vec![0],
        }
    }

    /// Number of messages that are written at a time.
    fn batch_messages(self) -> usize {
        match self {
            FloodKind::Connections => 1,
            FloodKind::LargeBodies => BATCH_LARGE_MESSAGES,
            _ => BATCH_MESSAGES,
        }
    }
}

/// A request with placeholders.
fn request(class: &str, allow: &str, body: &[u8]) -> Vec<u8> {
    let key = [ID_PLACEHOLDER, ID_PLACEHOLDER].concat();
    let fields = [
        ("service", class),
        ("ref", ID_PLACEHOLDER),
        ("allow", allow),
        ("project", "acme"),
        ("replay", &key),
        ("lookup", ID_PLACEHOLDER),
        ("info", "memory_mb:64;lanes:8"),
    ];
    dispatch(SEQID_PLACEHOLDER, &fields, body)
}

/// Messages of which only the sequence numbers and ids change from batch to batch. Encoding each message anew would
/// take the flooding clients more processor time than the daemon needs to read it.
struct Batch {
    bytes: Vec<u8>,
    message_bytes: usize,
    /// Offsets within a message.
    seqids: Vec<usize>,
    ids: Vec<usize>,
    last_seqid: i32,
}

impl Batch {
    fn new(kind: FloodKind, allow: &str) -> Self {
        let template = kind.template(allow);
        let offsets = |placeholder: &[u8]| {
            let windows = template.windows(placeholder.len()).enumerate();
            windows.filter(|window| window.1 == placeholder).map(|window| window.0).collect()
        };
        Batch {
            message_bytes: template.len(),
            seqids: offsets(&SEQID_PLACEHOLDER.to_be_bytes()),
            ids: offsets(ID_PLACEHOLDER.as_bytes()),
            bytes: template.repeat(kind.batch_messages()),
            last_seqid: 0,
        }
    }

    /// The next messages, with sequence numbers and ids that were not used before.
    fn next(&mut self) -> &[u8] {
        static NEXT_ID: AtomicU64 = AtomicU64::new(FIRST_ID);
        let count = (self.bytes.len() / self.message_bytes) as u64;
        let first_id = NEXT_ID.fetch_add(count, Ordering::Relaxed);
        for (message, id) in self.bytes.chunks_exact_mut(self.message_bytes).zip(first_id..) {
            self.last_seqid += 1;
            for offset in &self.seqids {
                message[*offset..offset + 4].copy_from_slice(&self.last_seqid.to_be_bytes());
            }
            for offset in &self.ids {
                write_hex(&mut message[*offset..offset + ID_PLACEHOLDER.len()], id);
            }
        }
        &self.bytes
    }
}

/// Writes a number as hexadecimal digits that fill the text.
fn write_hex(text: &mut [u8], number: u64) {
    for (place, digit) in text.iter_mut().rev().enumerate() {
        *digit = b"0123456789abcdef"[(number >> (4 * place)) as usize & 15];
    }
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
        let reads_answers = !is_short && self.kind != FloodKind::UnreadAnswers;
        let reading = if reads_answers { socket.try_clone().ok() } else { None };
        let reader = reading.map(|socket| std::thread::spawn(move || discard_input(&socket)));
        let mut batch = Batch::new(self.kind, &self.allow);
        while !self.shared.is_stopped() {
            let batch = batch.next();
            if socket.write_all(batch).is_err() {
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
