//! Emulated workers on loopback. They speak the invoke API or binary frames, account for the memory of models without
//! allocating it, load models with a delay, start cold, and follow a [`FaultSchedule`].
use crate::fault_schedule::{Behaviour, FaultSchedule};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use corkbay_node::wire::http::RequestHead;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const READ_CHUNK_BYTES: usize = 8 << 10;
const MAX_BODY_BYTES: usize = 64 << 10;
const STACK_BYTES: usize = 256 << 10;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Speed of a worker right after its start, as a fraction of its full speed.
const COLD_SPEED: f64 = 0.25;

/// Properties of emulated workers.
#[derive(Clone, Copy, Debug)]
pub struct WorkerProfile {
    /// Memory for models, in MB.
    pub memory_mb: f64,
    /// Memory of one copy, in MB.
    pub copy_mb: f64,
    /// Time to load a copy.
    pub load_time: Duration,
    /// Run time of a call on a warm worker.
    pub call_time: Duration,
    /// Time after its start until a worker runs at full speed.
    pub cold: Duration,
    /// Number of calls that run at a time; further ones are rejected as full.
    pub slots: usize,
    /// Whether it loads missing models by itself; otherwise it reports a miss and waits for a load order.
    pub loads: bool,
}

impl Default for WorkerProfile {
    fn default() -> Self {
        WorkerProfile {
            memory_mb: 2048.0,
            copy_mb: 64.0,
            load_time: Duration::from_millis(200),
            call_time: Duration::from_millis(20),
            cold: Duration::from_secs(2),
            slots: 32,
            loads: true,
        }
    }
}

/// Emulated workers that serve until this process ends.
#[derive(Clone, Debug)]
pub struct Fleet {
    workers: Vec<Arc<Worker>>,
}

#[derive(Debug)]
struct Worker {
    number: usize,
    address: SocketAddr,
    profile: WorkerProfile,
    schedule: FaultSchedule,
    began: Instant,
    state: Mutex<State>,
    served: AtomicU64,
    /// Number of open connections.
    connections: AtomicUsize,
}

#[derive(Debug)]
struct State {
    /// Start time of the emulated process.
    started: Instant,
    /// Copies by model.
    copies: BTreeMap<String, ModelCopy>,
    slots_in_use: usize,
}

#[derive(Clone, Copy, Debug)]
struct ModelCopy {
    ready_at: Instant,
    last_used: Instant,
}

/// Whether a call runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Admission {
    Run { after: Duration },
    Miss,
    Full,
}

impl Fleet {
    /// Starts workers with a profile on free ports.
    pub fn start(count: usize, profile: WorkerProfile, schedule: FaultSchedule) -> io::Result<Self> {
        let began = Instant::now();
        let worker = |number| {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            let state = State { started: began, copies: BTreeMap::new(), slots_in_use: 0 };
            let worker = Arc::new(Worker {
                number,
                address,
                profile,
                schedule,
                began,
                state: Mutex::new(state),
                served: AtomicU64::new(0),
                connections: AtomicUsize::new(0),
            });
            let worker_in_thread = worker.clone();
            std::thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || worker_in_thread.listen(&listener))?;
            Ok(worker)
        };
        Ok(Fleet { workers: (0..count).map(worker).collect::<io::Result<_>>()? })
    }

    /// The addresses on which the workers listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.workers.iter().map(|worker| worker.address).collect()
    }

    /// Number of calls that each worker has served.
    pub fn served(&self) -> Vec<u64> {
        self.workers.iter().map(|worker| worker.served.load(Relaxed)).collect()
    }

    /// Number of open connections of all workers.
    pub fn connections(&self) -> usize {
        self.workers.iter().map(|worker| worker.connections.load(Relaxed)).sum()
    }

    /// Emulates a restart of the worker's process: it is cold and holds no copies.
    pub fn restart(&self, number: usize) {
        if let Some(worker) = self.workers.get(number) {
            let mut state = worker.state();
            (state.started, state.copies) = (Instant::now(), BTreeMap::new());
        }
    }
}

impl Worker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(self: &Arc<Self>, listener: &TcpListener) {
        for socket in listener.incoming().map_while(Result::ok) {
            let worker_in_thread = self.clone();
            let task = std::thread::Builder::new().stack_size(STACK_BYTES);
            // If no thread can be started, the connection is closed, as by an overloaded worker.
            let _ = task.spawn(move || {
                worker_in_thread.connections.fetch_add(1, Relaxed);
                // Connection errors need no handling; the connection is closed either way.
                let _ = worker_in_thread.serve_connection(socket);
                worker_in_thread.connections.fetch_sub(1, Relaxed);
            });
        }
    }

    /// Detects the protocol by the first byte and serves the connection.
    fn serve_connection(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_read_timeout(Some(IDLE_TIMEOUT))?;
        socket.set_nodelay(true)?;
        let mut first = [0];
        match socket.peek(&mut first)? {
            0 => Ok(()),
            _ if first[0] == FROM_INVOKER => self.serve_frames(socket),
            _ => self.serve_http(socket),
        }
    }

    /// Decides whether a new call runs; if so, it holds a slot until [`Worker::finish_call`].
    fn admit(&self, model: &str) -> Admission {
        let (now, profile) = (Instant::now(), &self.profile);
        let mut state = self.state();
        if state.slots_in_use >= profile.slots {
            return Admission::Full;
        }
        let is_loaded = state.copies.contains_key(model) || profile.loads && state.load(model, profile, now);
        if !is_loaded {
            return Admission::Miss;
        }
        let age = now.duration_since(state.started).as_secs_f64() / profile.cold.as_secs_f64().max(1e-3);
        let speed = (COLD_SPEED + (1.0 - COLD_SPEED) * age).min(1.0);
        let load = state.copies.get_mut(model).map_or(Duration::ZERO, |copy| {
            copy.last_used = now;
            copy.ready_at.saturating_duration_since(now)
        });
        state.slots_in_use += 1;
        Admission::Run { after: load + profile.call_time.div_f64(speed) }
    }

    fn finish_call(&self) {
        self.state().slots_in_use -= 1;
        self.served.fetch_add(1, Relaxed);
    }

    fn behaviour(&self) -> Behaviour {
        self.schedule.behaviour(self.number, self.began.elapsed())
    }

    /// Runs a call. Returns whether it succeeded, or `None` if no valid answer is to be sent.
    fn run(&self, after: Duration, behaviour: Behaviour) -> Option<bool> {
        let slowdown = if let Behaviour::Slow(factor) = behaviour { factor } else { 1.0 };
        std::thread::sleep(after.mul_f64(slowdown));
        self.finish_call();
        match behaviour {
            Behaviour::Healthy | Behaviour::Slow(_) => Some(true),
            Behaviour::Failing => Some(false),
            Behaviour::Silent | Behaviour::ResettingConnection | Behaviour::AnsweringGarbage => None,
        }
    }

    fn serve_http(&self, mut socket: TcpStream) -> io::Result<()> {
        let (mut raw, mut chunk, mut body) = (Vec::new(), vec![0; READ_CHUNK_BYTES], Vec::new());
        let mut fill = |raw: &mut Vec<u8>, socket: &mut TcpStream| match socket.read(&mut chunk)? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
            size => {
                raw.extend_from_slice(&chunk[..size]);
                Ok(())
            }
        };
        let mut head = loop {
            match RequestHead::decode(&mut raw).map_err(io::Error::other)? {
                Some(head) => break head,
                None => fill(&mut raw, &mut socket)?,
            }
        };
        while !head.body.feed(&mut raw, &mut body, MAX_BODY_BYTES).map_err(io::Error::other)? {
            fill(&mut raw, &mut socket)?;
        }
        let model = head.path.split('/').nth(3).unwrap_or_default();
        let not_run = "Corkbay-May-Have-Run: false\r\n";
        let (status, headers, body) = match self.admit(model) {
            Admission::Miss => (404, not_run, Vec::new()),
            Admission::Full => (503, not_run, Vec::new()),
            Admission::Run { after } => {
                let behaviour = self.behaviour();
                match self.run(after, behaviour) {
                    Some(true) => (200, "", body),
                    Some(false) => (500, "", Vec::new()),
                    None if behaviour == Behaviour::Silent => {
                        let _ = socket.read(&mut [0]);
                        return Ok(());
                    }
                    None if behaviour == Behaviour::AnsweringGarbage => {
                        return socket.write_all(b"HTTP/1.1 2\x00\r\n\r\n")
                    }
                    None => return Ok(()),
                }
            }
        };
        let head = format!(
            "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        socket.write_all(&[head.as_bytes(), &body].concat())
    }

    /// Serves frames. Each call runs on its own thread, so answers are sent in the order in which calls finish.
    fn serve_frames(&self, socket: TcpStream) -> io::Result<()> {
        let (writer, mut reader) = (Mutex::new(socket.try_clone()?), socket);
        let (mut raw, mut chunk) = (Vec::new(), vec![0; READ_CHUNK_BYTES]);
        std::thread::scope(|scope| loop {
            let frame = loop {
                match Frame::decode(&mut raw, FROM_INVOKER).map_err(io::Error::other)? {
                    Some(frame) => break frame,
                    None => match reader.read(&mut chunk)? {
                        0 => return Ok(()),
                        size => raw.extend_from_slice(&chunk[..size]),
                    },
                }
            };
            let writer = &writer;
            let answer = move |code, fields: String, body: Vec<u8>| {
                let frame = Frame { mark: FROM_WORKER, code, id: frame.id, fields, body };
                let mut socket = writer.lock().unwrap_or_else(PoisonError::into_inner);
                // The reading side detects that the peer has disconnected.
                let _ = socket.write_all(&frame.encode());
            };
            let model = frame.field("obj").unwrap_or_default().to_string();
            match frame.code {
                code::PROBE => answer(code::ALIVE, String::new(), Vec::new()),
                code::EVICT => _ = self.state().copies.remove(&format!("{:016x}", frame.id)),
                code::LOAD => {
                    let wanted = frame.field("replicas").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let ready_in = self.handle_load_order(&model, wanted);
                    scope.spawn(move || {
                        std::thread::sleep(ready_in.unwrap_or_default());
                        let code = if ready_in.is_some() || wanted == 0 { code::OK } else { code::FULL };
                        answer(code, format!("replicas={}", u32::from(ready_in.is_some())), Vec::new());
                    });
                }
                code::REQUEST => match self.admit(&model) {
                    Admission::Miss => answer(code::MISS, String::new(), Vec::new()),
                    Admission::Full => answer(code::FULL, String::new(), Vec::new()),
                    Admission::Run { after } => {
                        let (behaviour, body) = (self.behaviour(), frame.body);
                        scope.spawn(move || match self.run(after, behaviour) {
                            Some(true) => answer(code::OK, String::new(), body),
                            Some(false) => answer(code::ERROR, String::new(), Vec::new()),
                            None if behaviour == Behaviour::Silent => {}
                            None => {
                                let socket = writer.lock().unwrap_or_else(PoisonError::into_inner);
                                let garbage: &[u8] =
                                    if behaviour == Behaviour::AnsweringGarbage { &[0xff; 20] } else { &[] };
                                let _ = (&*socket).write_all(garbage);
                                let _ = socket.shutdown(std::net::Shutdown::Both);
                            }
                        });
                    }
                },
                _ => {}
            }
        })
    }

    /// Handles a load order. Returns the time until the copy is ready, or `None` if there will be no copy.
    fn handle_load_order(&self, model: &str, wanted: u32) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.state();
        if wanted > 0 && !state.copies.contains_key(model) {
            state.load(model, &self.profile, now);
        }
        state.copies.get(model).map(|copy| copy.ready_at.saturating_duration_since(now))
    }
}

impl State {
    /// Starts to load a model; evicts the least recently used copies as needed. Returns `false` if there is no room.
    fn load(&mut self, model: &str, profile: &WorkerProfile, now: Instant) -> bool {
        let max_copies = (profile.memory_mb / profile.copy_mb.max(1.0)) as usize;
        while self.copies.len() >= max_copies.max(1) {
            let idle = self
                .copies
                .iter()
                .filter(|(_, copy)| copy.ready_at <= now)
                .min_by_key(|(_, copy)| copy.last_used);
            let Some(oldest) = idle.map(|(name, _)| name.clone()) else { return false };
            self.copies.remove(&oldest);
        }
        self.copies
            .insert(model.to_string(), ModelCopy { ready_at: now + profile.load_time, last_used: now });
        true
    }
}
