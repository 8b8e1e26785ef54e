//! Clients of one daemon: each keeps a connection, sends at a steady rate, and at times takes back or leaves.
use super::log::{draw, Log};
use super::records::{Asked, At, CLASSES};
use super::thrift::{cancel, dispatch, receive};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Requests open on a connection.
const OPEN: usize = 24;
/// Parts of the requests that are taken back, and with which their client closes its connection.
const TAKEN_BACK_PART: f64 = 0.05;
const LEAVES_PART: f64 = 0.01;
/// The part of the calls that the hot function gets.
const HOT_PART: f64 = 0.6;
/// Keep draws of different things apart.
const HOT_DRAW: u64 = 0x5eed_0001;
const FUNCTION_DRAW: u64 = 0x5eed_0002;
const RECONNECT: Duration = Duration::from_millis(50);
/// How long what was asked in a crowd is waited for while its connection stays.
const CROWD_STAYS: Duration = Duration::from_secs(2);

/// Where and how clients ask.
#[derive(Clone)]
pub struct Target {
    /// The daemon's number and address.
    pub daemon: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// How long a client waits, in milliseconds.
    pub allowed_ms: u64,
    /// What draws follow from.
    pub seed: u64,
    /// New connections may be made.
    pub is_open: Arc<AtomicBool>,
    /// Clients go on.
    pub is_running: Arc<AtomicBool>,
    /// What they call.
    pub functions: FunctionMix,
}

/// Which functions are called how often.
#[derive(Clone)]
pub struct FunctionMix {
    /// How many there are.
    pub count: u64,
    /// Some are called far more often than others; else one after the other.
    pub is_skewed: bool,
    /// More than half of the calls are of one.
    pub is_hot: Arc<AtomicBool>,
}

impl FunctionMix {
    /// All alike.
    pub fn even(count: u64) -> Self {
        FunctionMix { count, is_skewed: false, is_hot: Arc::default() }
    }

    /// The function of a request.
    fn draw(&self, id: u64, seed: u64) -> u64 {
        let is_hot = self.is_hot.load(Ordering::Relaxed);
        if is_hot && draw(seed ^ HOT_DRAW, id) < HOT_PART {
            return 1;
        }
        if self.is_skewed {
            return ((self.count + 1) as f64).powf(draw(seed ^ FUNCTION_DRAW, id)) as u64;
        }
        id % self.count + 1
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What is open on a connection.
#[derive(Default)]
struct OpenRequests {
    /// By sequence number: their places in the records.
    places: HashMap<i32, usize>,
    /// Its reader has seen its end.
    is_over: bool,
}

type Open = Arc<Mutex<OpenRequests>>;

struct Session<'a> {
    target: &'a Target,
    log: &'a Log,
    socket: TcpStream,
    open: Open,
    seqid: i32,
}

/// Sends so many requests a second on one connection after the other until the soak ends.
pub fn run(target: &Target, log: &Log, rate: f64) {
    let pause = Duration::from_secs_f64(1.0 / rate);
    while target.is_running.load(Ordering::Relaxed) {
        let session = target.is_open.load(Ordering::Relaxed).then(|| Session::begin(target, log)).flatten();
        match session {
            Some(mut session) => session.send_all(pause),
            None => std::thread::sleep(RECONNECT),
        }
    }
}

/// Asks once on a connection of its own and stays for a while.
pub fn ask_once(target: &Target, log: &Log) {
    let Some(mut session) = Session::begin(target, log) else { return };
    let _ = session.ask();
    std::thread::sleep(CROWD_STAYS);
}

impl<'a> Session<'a> {
    fn begin(target: &'a Target, log: &'a Log) -> Option<Self> {
        let socket = TcpStream::connect(target.address).ok()?;
        socket.set_nodelay(true).ok()?;
        let (open, mut reader) = (Open::default(), socket.try_clone().ok()?);
        let (ours, log_of_reader) = (open.clone(), log.clone());
        std::thread::spawn(move || {
            while let Ok((seqid, end)) = receive(&mut reader) {
                let place = lock(&ours).places.remove(&seqid);
                let at = log_of_reader.now();
                if let Some(place) = place {
                    log_of_reader.records().asked[place].ends.push((end, at));
                }
            }
            let at = log_of_reader.now();
            let left = {
                let mut open = lock(&ours);
                open.is_over = true;
                std::mem::take(&mut open.places)
            };
            left.into_values().for_each(|place| broken(&log_of_reader, place, at));
        });
        Some(Session { target, log, socket, open, seqid: 0 })
    }

    fn send_all(&mut self, pause: Duration) {
        let mut next = Instant::now();
        while self.target.is_running.load(Ordering::Relaxed) {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            next += pause;
            if lock(&self.open).places.len() >= OPEN {
                continue;
            }
            let Some((place, id)) = self.ask() else { return };
            let drawn = draw(self.target.seed, id);
            if drawn < TAKEN_BACK_PART {
                std::thread::sleep(Duration::from_secs_f64(drawn));
                self.take_back(place);
            } else if drawn > 1.0 - LEAVES_PART {
                return self.leave();
            }
        }
    }

    /// Sends a request; its place in the records and its id, or nothing where the connection has ended.
    fn ask(&mut self) -> Option<(usize, u64)> {
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
        let place = {
            let mut records = self.log.records();
            records.asked.push(Asked {
                id,
                class,
                daemon: self.target.daemon,
                at: self.log.now(),
                allowed: self.target.allowed_ms as At,
                gone_at: None,
                ends: Vec::new(),
                broken_at: None,
            });
            records.asked.len() - 1
        };
        lock(&self.open).places.insert(self.seqid, place);
        if self.socket.write_all(&bytes).is_err() {
            // Nothing of it was taken: the client asks again elsewhere.
            lock(&self.open).places.remove(&self.seqid);
            let at = self.log.now();
            self.log.records().asked[place].gone_at = Some(at);
            return None;
        }
        // A request's time counts from its last byte.
        let at = self.log.now();
        self.log.records().asked[place].at = at;
        let is_late = {
            let mut open = lock(&self.open);
            open.is_over && open.places.remove(&self.seqid).is_some()
        };
        if is_late {
            // Written to a connection that had ended.
            broken(self.log, place, at);
            return None;
        }
        Some((place, id))
    }

    fn take_back(&mut self, place: usize) {
        if lock(&self.open).places.remove(&self.seqid).is_none() {
            return;
        }
        // Where the connection has ended its requests are asked again elsewhere.
        let _ = self.socket.write_all(&cancel(self.seqid));
        let at = self.log.now();
        self.log.records().asked[place].gone_at = Some(at);
    }

    fn leave(&mut self) {
        let left = std::mem::take(&mut lock(&self.open).places);
        let at = self.log.now();
        let mut records = self.log.records();
        left.into_values().for_each(|place| records.asked[place].gone_at = Some(at));
        drop(records);
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// The connection of a request has ended.
fn broken(log: &Log, place: usize, at: At) {
    let asked = &mut log.records().asked[place];
    if asked.gone_at.is_none() {
        asked.broken_at = Some(at);
    }
}

fn lock(open: &Open) -> std::sync::MutexGuard<'_, OpenRequests> {
    open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
