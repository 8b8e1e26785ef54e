//! Fake workers that execute one request after the other, warm up with age, and record the arrival of each request; and a
//! group of daemons that share them.
use super::platform::{dispatch, fields, nodes, Channel, Client, Fixture, Reply};
use super::workers::Behaviour;
use super::{free_address, Daemon};
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The settings for workers that have just started.
#[derive(Clone, Copy, Debug)]
pub struct WarmupSettings {
    /// Fraction of its full speed at which a worker starts.
    pub from: f64,
    /// Time until it is warm.
    pub span: Duration,
    /// It is overloaded by more than this multiple of its capacity ...
    pub multiple: f64,
    /// ... within this window.
    pub window: Duration,
    /// Work of a request on a warm worker.
    pub work: Duration,
}

impl WarmupSettings {
    /// Fraction of its full speed that a worker of that age has.
    pub fn warmth(&self, age: Duration) -> f64 {
        let part = (age.as_secs_f64() / self.span.as_secs_f64()).min(1.0);
        self.from + (1.0 - self.from) * part
    }

    /// Number of requests that a worker of that age may receive in a window.
    pub fn allowed(&self, age: Duration) -> f64 {
        let warm = self.window.as_secs_f64() / self.work.as_secs_f64();
        self.multiple * self.warmth(age) * warm
    }

    /// Number of requests in a window above which a worker is overloaded.
    pub fn falls_above(&self, age: Duration) -> f64 {
        let allowed = self.allowed(age);
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// Below this number of allowed requests the operators' limit has more slack.
const SMALL_ALLOWANCE: f64 = 30.0;
/// Requests that queue at a worker before it answers that it is full.
const QUEUE_CAPACITY: usize = 12;

/// An answer to send at a given time.
struct ScheduledAnswer {
    at: Instant,
    socket: Arc<TcpStream>,
    id: u64,
}

/// A worker that accepts frames from any number of daemons and records when requests arrive.
pub struct CountingWorker {
    pub address: SocketAddr,
    pub started: Instant,
    /// Start time in Unix milliseconds; 0 for a worker that is warm.
    pub since_ms: f64,
    state: Arc<WorkerState>,
}

struct WorkerState {
    ramp: WarmupSettings,
    /// `None` for a worker that is warm from the start.
    started: Option<Instant>,
    free_at: Mutex<Instant>,
    arrivals: Mutex<Vec<Instant>>,
    served: AtomicU64,
}

/// Number of windows after the start of a worker that are checked.
const CHECKED_WINDOWS: u32 = 3;

impl CountingWorker {
    /// Largest number of requests above the allowance and the slack of the operators' limit in any window that begins with
    /// a request; negative if no window exceeds the limit.
    pub fn worst_excess(&self, ramp: &WarmupSettings) -> f64 {
        let arrivals = self.arrivals();
        let excess = |(first, from): (usize, &Instant)| {
            let count = arrivals[first..].iter().take_while(|at| **at - *from < ramp.window).count();
            let allowed = ramp.allowed(*from - self.started + ramp.window / 2);
            let slack = if allowed < SMALL_ALLOWANCE {
                3.0 * allowed.sqrt() + 3.0
            } else {
                2.0 * allowed.sqrt() + 2.0
            };
            count as f64 - allowed - slack
        };
        let watched = arrivals.iter().enumerate();
        let watched = watched.filter(|(_, from)| **from - self.started < CHECKED_WINDOWS * ramp.window);
        watched.map(excess).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Starts a worker that is cold, or one that is warm already.
    pub fn start(ramp: WarmupSettings, cold: bool) -> Self {
        let started = Instant::now();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_secs_f64() * 1000.0;
        let state = Arc::new(WorkerState {
            ramp,
            started: cold.then_some(started),
            free_at: Mutex::new(started),
            arrivals: Mutex::default(),
            served: AtomicU64::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (answers, due) = channel();
        let ours = state.clone();
        std::thread::spawn(move || ours.answer(&due));
        let ours = state.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let (ours, answers) = (ours.clone(), answers.clone());
                std::thread::spawn(move || ours.read(Arc::new(socket), &answers));
            }
        });
        CountingWorker { address, started, since_ms: if cold { since } else { 0.0 }, state }
    }

    /// Arrival times of the requests.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.arrivals.lock().expect("whole").clone()
    }

    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::Relaxed)
    }
}

impl WorkerState {
    fn speed(&self, now: Instant) -> f64 {
        self.started.map_or(1.0, |started| self.ramp.warmth(now - started))
    }

    /// Queues a request and returns when its answer is due; `None` if the queue is full.
    fn enqueue(&self) -> Option<Instant> {
        let now = Instant::now();
        self.arrivals.lock().expect("whole").push(now);
        let each = self.ramp.work.div_f64(self.speed(now));
        let mut free_at = self.free_at.lock().expect("whole");
        if *free_at > now + each * QUEUE_CAPACITY as u32 {
            return None;
        }
        *free_at = (*free_at).max(now) + each;
        Some(*free_at)
    }

    fn read(&self, socket: Arc<TcpStream>, answers: &Sender<ScheduledAnswer>) {
        let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
        loop {
            while let Some(frame) = Frame::decode(&mut buffer, FROM_INVOKER).expect("a good frame") {
                match frame.code {
                    code::REQUEST => match self.enqueue() {
                        Some(at) => {
                            let due = ScheduledAnswer { at, socket: socket.clone(), id: frame.id };
                            answers.send(due).expect("the answering thread runs");
                        }
                        None => respond(&socket, code::FULL, frame.id),
                    },
                    code::LOAD => respond(&socket, code::OK, frame.id),
                    _ => {}
                }
            }
            match (&*socket).read(&mut chunk) {
                Ok(size @ 1..) => buffer.extend(&chunk[..size]),
                _ => return,
            }
        }
    }

    /// Sends answers at their due time, which is in order of arrival.
    fn answer(&self, answers: &Receiver<ScheduledAnswer>) {
        for due in answers {
            std::thread::sleep(due.at.saturating_duration_since(Instant::now()));
            respond(&due.socket, code::OK, due.id);
            self.served.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Write errors are ignored: the reading side notices a closed connection.
fn respond(mut socket: &TcpStream, code: u8, id: u64) {
    let frame = Frame { mark: FROM_WORKER, code, id, fields: "replicas=1".into(), body: b"y".to_vec() };
    let _ = socket.write_all(&frame.encode());
}

/// Daemons that share a list of workers, each with a client that sends at a constant rate.
pub struct Processes {
    /// The first daemon; the configuration of the others is derived from its own.
    first: Fixture,
    others: Vec<(Daemon, Channel)>,
    running: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    asked: Arc<AtomicU64>,
    cursor: u64,
}

impl Processes {
    /// Starts `count` daemons; `change` edits their settings.
    pub fn start(count: usize, ramp: WarmupSettings, change: impl FnOnce(&mut Value)) -> Self {
        Self::start_with(count, ramp, &[], change)
    }

    /// Like [`Processes::start`], with additional environment variables.
    pub fn start_with(
        count: usize,
        ramp: WarmupSettings,
        environment: &[(&str, String)],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let first = Fixture::with_environment(&[Behaviour::Serve], 0, (1024, 192), environment, |settings| {
            settings["balancers"] = json!(count);
            settings["safety"]["coldFrom"] = json!(ramp.from);
            settings["safety"]["coldMs"] = json!(ramp.span.as_secs_f64() * 1000.0);
            settings["safety"]["fallMs"] = json!(ramp.window.as_secs_f64() * 1000.0);
            settings["safety"]["fallMultiple"] = json!(ramp.multiple);
            change(settings);
        });
        let start = |number: usize| {
            let (channel, mut config) = (Channel::new(), first.config.clone());
            config["name"] = json!(format!("n{number}"));
            config["seed"] = json!(format!("{:016x}", 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(number as u64)));
            config["channel"] = json!(channel.address.to_string());
            config["admin"] = json!(free_address().to_string());
            let path = first.folder.write(&format!("config{number}.json"), &config.to_string());
            (Daemon::platform_with(&path, free_address(), environment), channel)
        };
        let others = (1..count).map(start).collect();
        Processes {
            first,
            others,
            running: Arc::new(AtomicBool::new(true)),
            answered: Arc::default(),
            asked: Arc::default(),
            cursor: 1,
        }
    }

    /// Leaves the open command channels without another byte; the next change is sent once the daemons have reconnected.
    pub fn silence(&self) {
        for channel in self.others.iter().map(|other| &other.1).chain([&self.first.channel]) {
            channel.events.send("fall silent".into()).expect("channel");
        }
    }

    /// Sends changes of the worker list to all daemons, as name, worker and status.
    pub fn tell(&mut self, changes: &[(&str, &CountingWorker, &str)]) {
        self.cursor += 1;
        let hosts: Vec<_> = changes.iter().map(|change| (change.0, change.1.address, change.2)).collect();
        let mut data = nodes(self.cursor, false, &hosts);
        for (entry, change) in changes.iter().enumerate() {
            data["nodes"]["endpoints"][entry]["since_ms"] = json!(change.1.since_ms);
        }
        let event = format!("id: {}\ndata: {data}\n\n", self.cursor);
        for channel in self.others.iter().map(|other| &other.1).chain([&self.first.channel]) {
            channel.events.send(event.clone()).expect("channel");
        }
    }

    /// Starts a client for each daemon that sends `rate` requests per second for `models` different models.
    pub fn load(&self, rate: f64, models: u64) {
        let daemons = self.others.iter().map(|other| &other.0).chain([&self.first.daemon]);
        for (number, daemon) in daemons.enumerate() {
            let mut client = Client::new(daemon.address);
            let socket = client.socket.try_clone().expect("cloned");
            let mut reader = Client { socket, good: false };
            let answered = self.answered.clone();
            std::thread::spawn(move || {
                while let Some((_, reply)) = reader.receive() {
                    answered.fetch_add(u64::from(matches!(reply, Reply::Answer(_))), Ordering::Relaxed);
                }
            });
            let (running, asked) = (self.running.clone(), self.asked.clone());
            let pause = Duration::from_secs_f64(1.0 / rate);
            std::thread::spawn(move || {
                let mut next = Instant::now() + pause.mul_f64(number as f64 / 30.0);
                for call in 1..=i32::MAX {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += pause;
                    let random = u64::from(call as u32).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                    let (id, model) = ((number as u64 + 1) << 32 | call as u64, random % models + 1);
                    if !running.load(Ordering::Relaxed)
                        || client.socket.write_all(&request(call, id, model)).is_err()
                    {
                        return;
                    }
                    asked.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    }

    /// Number of requests sent and number of requests served.
    pub fn counts(&self) -> (u64, u64) {
        (self.asked.load(Ordering::Relaxed), self.answered.load(Ordering::Relaxed))
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.running.store(false, Ordering::Relaxed);
    }
}

fn request(seqid: i32, id: u64, model: u64) -> Vec<u8> {
    let (id, model) = (format!("{id:016x}"), format!("{model:016x}"));
    let mut fields = fields("check", &id, "2000");
    for field in fields.iter_mut().filter(|field| field.0 == "lookup") {
        field.1 = &model;
    }
    dispatch(seqid, &fields, b"x")
}
