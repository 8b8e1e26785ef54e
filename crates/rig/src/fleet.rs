//! Emulated workers on loopback: they speak the invoke API or binary frames, hold models in memory that is
//! only counted, load them with a delay, start cold, and behave as a script says.
use crate::fault_schedule::{Behaviour, FaultSchedule};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use corkbay_node::wire::http::RequestHead;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const CHUNK: usize = 8 << 10;
const MOST_BODY: usize = 64 << 10;
const STACK: usize = 256 << 10;
const IDLE: Duration = Duration::from_secs(30);
/// The part of its speed with which a worker starts.
const COLD: f64 = 0.25;

/// What emulated workers are like.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Memory for models, MB.
    pub memory_mb: f64,
    /// Memory of a copy, MB.
    pub copy_mb: f64,
    /// Time of a load.
    pub load: Duration,
    /// Time of a call on a warm worker.
    pub work: Duration,
    /// How long a worker is cold after its start.
    pub cold: Duration,
    /// Calls that it works on at a time; further ones are told that it is full.
    pub slots: usize,
    /// It loads what it lacks by itself; without, it tells a miss and waits for an order.
    pub loads: bool,
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            memory_mb: 2048.0,
            copy_mb: 64.0,
            load: Duration::from_millis(200),
            work: Duration::from_millis(20),
            cold: Duration::from_secs(2),
            slots: 32,
            loads: true,
        }
    }
}

/// Workers that serve for as long as this process lives.
#[derive(Clone, Debug)]
pub struct Fleet {
    workers: Vec<Arc<Worker>>,
}

#[derive(Debug)]
struct Worker {
    number: usize,
    address: SocketAddr,
    kind: Kind,
    schedule: FaultSchedule,
    began: Instant,
    state: Mutex<State>,
    served: AtomicU64,
    /// Connections that are open at this worker.
    connections: AtomicUsize,
}

#[derive(Debug)]
struct State {
    /// When the process that is emulated started.
    started: Instant,
    /// Copies by model: when each stands and was last used.
    copies: BTreeMap<String, Copy>,
    busy: usize,
}

#[derive(Clone, Copy, Debug)]
struct Copy {
    ready: Instant,
    used: Instant,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Verdict {
    Run { after: Duration },
    Miss,
    Full,
}

impl Fleet {
    /// Starts workers of a kind, all on free ports.
    pub fn start(count: usize, kind: Kind, schedule: FaultSchedule) -> io::Result<Self> {
        let began = Instant::now();
        let worker = |number| {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            let state = State { started: began, copies: BTreeMap::new(), busy: 0 };
            let worker = Arc::new(Worker {
                number,
                address,
                kind,
                schedule,
                began,
                state: Mutex::new(state),
                served: AtomicU64::new(0),
                connections: AtomicUsize::new(0),
            });
            let ours = worker.clone();
            std::thread::Builder::new().stack_size(STACK).spawn(move || ours.listen(&listener))?;
            Ok(worker)
        };
        Ok(Fleet { workers: (0..count).map(worker).collect::<io::Result<_>>()? })
    }

    /// Where the workers listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.workers.iter().map(|worker| worker.address).collect()
    }

    /// Calls that each has served.
    pub fn served(&self) -> Vec<u64> {
        self.workers.iter().map(|worker| worker.served.load(Relaxed)).collect()
    }

    /// Connections that are open at all workers.
    pub fn connections(&self) -> usize {
        self.workers.iter().map(|worker| worker.connections.load(Relaxed)).sum()
    }

    /// The worker's process is replaced: it is cold and holds nothing.
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
            let ours = self.clone();
            let task = std::thread::Builder::new().stack_size(STACK);
            // Without a thread the connection is closed, as by a worker that takes no more.
            let _ = task.spawn(move || {
                ours.connections.fetch_add(1, Relaxed);
                // A connection that ends in an error has ended all the same.
                let _ = ours.converse(socket);
                ours.connections.fetch_sub(1, Relaxed);
            });
        }
    }

    /// The first byte tells what is spoken.
    fn converse(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_read_timeout(Some(IDLE))?;
        socket.set_nodelay(true)?;
        let mut first = [0];
        match socket.peek(&mut first)? {
            0 => Ok(()),
            _ if first[0] == FROM_INVOKER => self.frames(socket),
            _ => self.http(socket),
        }
    }

    /// What becomes of a call that has come; one that runs holds a slot until [`Worker::done`].
    fn take(&self, model: &str) -> Verdict {
        let (now, kind) = (Instant::now(), &self.kind);
        let mut state = self.state();
        if state.busy >= kind.slots {
            return Verdict::Full;
        }
        let stands = state.copies.contains_key(model) || kind.loads && state.load(model, kind, now);
        if !stands {
            return Verdict::Miss;
        }
        let age = now.duration_since(state.started).as_secs_f64() / kind.cold.as_secs_f64().max(1e-3);
        let speed = (COLD + (1.0 - COLD) * age).min(1.0);
        let load = state.copies.get_mut(model).map_or(Duration::ZERO, |copy| {
            copy.used = now;
            copy.ready.saturating_duration_since(now)
        });
        state.busy += 1;
        Verdict::Run { after: load + kind.work.div_f64(speed) }
    }

    fn done(&self) {
        self.state().busy -= 1;
        self.served.fetch_add(1, Relaxed);
    }

    fn behaviour(&self) -> Behaviour {
        self.schedule.behaviour(self.number, self.began.elapsed())
    }

    /// Runs a call; `None` where nothing is to be answered.
    fn run(&self, after: Duration, behaviour: Behaviour) -> Option<bool> {
        let slower = if let Behaviour::Slow(times) = behaviour { times } else { 1.0 };
        std::thread::sleep(after.mul_f64(slower));
        self.done();
        match behaviour {
            Behaviour::Healthy | Behaviour::Slow(_) => Some(true),
            Behaviour::Failing => Some(false),
            Behaviour::Silent | Behaviour::ResettingConnection | Behaviour::AnsweringGarbage => None,
        }
    }

    fn http(&self, mut socket: TcpStream) -> io::Result<()> {
        let (mut raw, mut chunk, mut body) = (Vec::new(), vec![0; CHUNK], Vec::new());
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
        while !head.body.feed(&mut raw, &mut body, MOST_BODY).map_err(io::Error::other)? {
            fill(&mut raw, &mut socket)?;
        }
        let model = head.path.split('/').nth(3).unwrap_or_default();
        let not_run = "Corkbay-May-Have-Run: false\r\n";
        let (status, headers, body) = match self.take(model) {
            Verdict::Miss => (404, not_run, Vec::new()),
            Verdict::Full => (503, not_run, Vec::new()),
            Verdict::Run { after } => {
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

    /// Frames are answered in the order in which their calls end, each by a thread of its own.
    fn frames(&self, socket: TcpStream) -> io::Result<()> {
        let (writer, mut reader) = (Mutex::new(socket.try_clone()?), socket);
        let (mut raw, mut chunk) = (Vec::new(), vec![0; CHUNK]);
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
                // Who has left is seen by the reading side.
                let _ = socket.write_all(&frame.encode());
            };
            let model = frame.field("obj").unwrap_or_default().to_string();
            match frame.code {
                code::PROBE => answer(code::ALIVE, String::new(), Vec::new()),
                code::EVICT => _ = self.state().copies.remove(&format!("{:016x}", frame.id)),
                code::LOAD => {
                    let wanted = frame.field("replicas").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let left = self.order(&model, wanted);
                    scope.spawn(move || {
                        std::thread::sleep(left.unwrap_or_default());
                        let code = if left.is_some() || wanted == 0 { code::OK } else { code::FULL };
                        answer(code, format!("replicas={}", u32::from(left.is_some())), Vec::new());
                    });
                }
                code::REQUEST => match self.take(&model) {
                    Verdict::Miss => answer(code::MISS, String::new(), Vec::new()),
                    Verdict::Full => answer(code::FULL, String::new(), Vec::new()),
                    Verdict::Run { after } => {
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

    /// Holds a copy if one is wanted; tells how long until it stands, `None` where none will.
    fn order(&self, model: &str, wanted: u32) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.state();
        if wanted > 0 && !state.copies.contains_key(model) {
            state.load(model, &self.kind, now);
        }
        state.copies.get(model).map(|copy| copy.ready.saturating_duration_since(now))
    }
}

impl State {
    /// Begins a load; the copies idle longest give way. Tells whether there was room.
    fn load(&mut self, model: &str, kind: &Kind, now: Instant) -> bool {
        let most = (kind.memory_mb / kind.copy_mb.max(1.0)) as usize;
        while self.copies.len() >= most.max(1) {
            let idle =
                self.copies.iter().filter(|(_, copy)| copy.ready <= now).min_by_key(|(_, copy)| copy.used);
            let Some(oldest) = idle.map(|(name, _)| name.clone()) else { return false };
            self.copies.remove(&oldest);
        }
        self.copies.insert(model.to_string(), Copy { ready: now + kind.load, used: now });
        true
    }
}
