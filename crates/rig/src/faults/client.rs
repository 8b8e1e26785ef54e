//! Simulated clients of one daemon: each keeps a connection, sends at a steady rate, and sometimes cancels a request or
//! closes the connection.
use super::log::{draw, Log};
use super::records::{ClientRequest, Millis, CLASSES};
use super::thrift::{cancel, dispatch, receive};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Most requests in flight on a connection.
const MAX_IN_FLIGHT: usize = 24;
/// Fraction of the requests that the client cancels.
const CANCELLED_FRACTION: f64 = 0.05;
/// Fraction of the requests after which the client closes its connection.
const DISCONNECT_FRACTION: f64 = 0.01;
/// Fraction of the requests that call the hot function.
const HOT_FRACTION: f64 = 0.6;
/// Salts that make the random draws independent of each other.
const HOT_SALT: u64 = 0x5eed_0001;
const FUNCTION_SALT: u64 = 0x5eed_0002;
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// How long a one-shot client keeps its connection open after its request.
const ONE_SHOT_LINGER: Duration = Duration::from_secs(2);

/// The daemon that clients use, and how they use it.
#[derive(Clone)]
pub struct Target {
    /// The daemon's number.
    pub daemon: usize,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// How long a client waits for an answer, in milliseconds.
    pub allowed_ms: u64,
    /// Seed of the random draws.
    pub seed: u64,
    /// Whether clients may open new connections.
    pub is_open: Arc<AtomicBool>,
    /// Whether clients keep sending.
    pub is_running: Arc<AtomicBool>,
    /// The functions that they call.
    pub functions: FunctionMix,
}

/// Distribution of the requests over the functions.
#[derive(Clone)]
pub struct FunctionMix {
    /// Number of functions.
    pub count: u64,
    /// Whether some are called far more often than others; otherwise they are called in rotation.
    pub is_skewed: bool,
    /// Whether the hot function gets [`HOT_FRACTION`] of the requests.
    pub is_hot: Arc<AtomicBool>,
}

impl FunctionMix {
    /// All functions are called equally often.
    pub fn even(count: u64) -> Self {
        FunctionMix { count, is_skewed: false, is_hot: Arc::default() }
    }

    /// Returns the function that a request calls.
    fn draw(&self, id: u64, seed: u64) -> u64 {
        let is_hot = self.is_hot.load(Ordering::Relaxed);
        if is_hot && draw(seed ^ HOT_SALT, id) < HOT_FRACTION {
            return 1;
        }
        if self.is_skewed {
            return ((self.count + 1) as f64).powf(draw(seed ^ FUNCTION_SALT, id)) as u64;
        }
        id % self.count + 1
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Requests in flight on a connection.
#[derive(Default)]
struct RequestsInFlight {
    /// Index in `Records::requests` by sequence number.
    indices: HashMap<i32, usize>,
    /// Whether the reader has seen the end of the connection.
    is_closed: bool,
}

type SharedRequests = Arc<Mutex<RequestsInFlight>>;

struct Session<'a> {
    target: &'a Target,
    log: &'a Log,
    socket: TcpStream,
    in_flight: SharedRequests,
    seqid: i32,
}

/// Sends `rate` requests per second until the soak ends; reconnects when a connection ends.
pub fn run(target: &Target, log: &Log, rate: f64) {
    let pause = Duration::from_secs_f64(1.0 / rate);
    while target.is_running.load(Ordering::Relaxed) {
        let session = target.is_open.load(Ordering::Relaxed).then(|| Session::connect(target, log)).flatten();
        match session {
            Some(mut session) => session.send_all(pause),
            None => std::thread::sleep(RECONNECT_DELAY),
        }
    }
}

/// Sends one request on a new connection and keeps the connection open for a while.
pub fn request_once(target: &Target, log: &Log) {
    let Some(mut session) = Session::connect(target, log) else { return };
    let _ = session.send_request();
    std::thread::sleep(ONE_SHOT_LINGER);
}

impl<'a> Session<'a> {
    fn connect(target: &'a Target, log: &'a Log) -> Option<Self> {
        let socket = TcpStream::connect(target.address).ok()?;
        socket.set_nodelay(true).ok()?;
        let (in_flight, mut reader) = (SharedRequests::default(), socket.try_clone().ok()?);
        let (shared, reader_log) = (in_flight.clone(), log.clone());
        std::thread::spawn(move || {
            while let Ok((seqid, end)) = receive(&mut reader) {
                let index = lock(&shared).indices.remove(&seqid);
                let at = reader_log.now();
                if let Some(index) = index {
                    reader_log.records().requests[index].ends.push((end, at));
                }
            }
            let at = reader_log.now();
            let unanswered = {
                let mut in_flight = lock(&shared);
                in_flight.is_closed = true;
                std::mem::take(&mut in_flight.indices)
            };
            unanswered.into_values().for_each(|index| record_disconnect(&reader_log, index, at));
        });
        Some(Session { target, log, socket, in_flight, seqid: 0 })
    }

    fn send_all(&mut self, pause: Duration) {
        let mut next = Instant::now();
        while self.target.is_running.load(Ordering::Relaxed) {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            next += pause;
            if lock(&self.in_flight).indices.len() >= MAX_IN_FLIGHT {
                continue;
            }
            let Some((index, id)) = self.send_request() else { return };
            let sample = draw(self.target.seed, id);
            if sample < CANCELLED_FRACTION {
                std::thread::sleep(Duration::from_secs_f64(sample));
                self.cancel_request(index);
            } else if sample > 1.0 - DISCONNECT_FRACTION {
                return self.disconnect();
            }
        }
    }

    /// Sends a request. Returns its index in the records and its id, or `None` if the connection has ended.
    fn send_request(&mut self) -> Option<(usize, u64)> {
        self.seqid += 1;
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let class = (draw(id, self.target.seed) * CLASSES.len() as f64) as usize;
        let (hex, key) = (format!("{id:016x}"), format!("{id:032x}"));
        let (allow, model) = (
            self.target.allowed_ms.to_string(),
            format!("{:016x}", self.target.functions.draw(id, self.target.seed)),
        );
        let fields = [
            ("service", CLASSES[class].0),
            ("ref", &hex),
            ("allow", &allow),
            ("project", "acme"),
            ("replay", &key),
            ("lookup", &model),
            ("info", "memory_mb:64;lanes:8"),
        ];
        let bytes = dispatch(self.seqid, &fields, b"x");
        let index = {
            let mut records = self.log.records();
            records.requests.push(ClientRequest {
                id,
                class,
                daemon: self.target.daemon,
                at: self.log.now(),
                allowed: self.target.allowed_ms as Millis,
                abandoned_at: None,
                ends: Vec::new(),
                disconnected_at: None,
            });
            records.requests.len() - 1
        };
        lock(&self.in_flight).indices.insert(self.seqid, index);
        if self.socket.write_all(&bytes).is_err() {
            // The daemon didn't get the whole request; a real client would send it to another daemon.
            lock(&self.in_flight).indices.remove(&self.seqid);
            let at = self.log.now();
            self.log.records().requests[index].abandoned_at = Some(at);
            return None;
        }
        // The deadline counts from the last byte of the request.
        let at = self.log.now();
        self.log.records().requests[index].at = at;
        let is_unread = {
            let mut in_flight = lock(&self.in_flight);
            in_flight.is_closed && in_flight.indices.remove(&self.seqid).is_some()
        };
        if is_unread {
            // The connection had ended before the request was written.
            record_disconnect(self.log, index, at);
            return None;
        }
        Some((index, id))
    }

    fn cancel_request(&mut self, index: usize) {
        if lock(&self.in_flight).indices.remove(&self.seqid).is_none() {
            return;
        }
        // Fails if the connection has ended; a real client would send its requests to another daemon.
        let _ = self.socket.write_all(&cancel(self.seqid));
        let at = self.log.now();
        self.log.records().requests[index].abandoned_at = Some(at);
    }

    fn disconnect(&mut self) {
        let unanswered = std::mem::take(&mut lock(&self.in_flight).indices);
        let at = self.log.now();
        let mut records = self.log.records();
        unanswered.into_values().for_each(|index| records.requests[index].abandoned_at = Some(at));
        drop(records);
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// Records that the connection of a request ended, unless the client abandoned the request before.
fn record_disconnect(log: &Log, index: usize, at: Millis) {
    let request = &mut log.records().requests[index];
    if request.abandoned_at.is_none() {
        request.disconnected_at = Some(at);
    }
}

fn lock(in_flight: &SharedRequests) -> std::sync::MutexGuard<'_, RequestsInFlight> {
    in_flight.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
