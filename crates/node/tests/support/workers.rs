//! Fake workers. Each call that arrives takes the next behaviour from a script that all workers of a test share.
use super::head;
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What a worker does with a call that it has received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Serve,
    Refuse,
    Miss,
    Error,
    /// Closes the connection after receiving the call.
    Reset,
    /// Never answers.
    NoAnswer,
    /// Serves once the test calls [`Fleet::release`].
    Hold,
    /// Answers with corrupt bytes after the call has run.
    CorruptAnswer,
    /// Sends a part of the answer after the call has run and leaves the connection open.
    TruncatedAnswer,
    /// Announces an answer of 3 GB after the call has run and keeps sending.
    OversizedAnswer,
    /// Closes the connection at that offset of the answer, after the call has run.
    DisconnectAt(AnswerOffset),
    /// Answers that the model is not loaded, and repeats that answer after a delay.
    MissTwice,
    /// Serves after [`DELAY`].
    DelayedServe,
    /// Serves each call [`WORK_TIME`] after its arrival, however many are in flight.
    ServeInParallel,
    /// Serves after [`DELAY`] and not before a call with another body is in flight too, so that the invoker always has an
    /// unanswered call.
    ServeWithAnotherInFlight,
    /// Serves and sends the answer one byte at a time.
    ServeBytewise,
    /// Serves with an answer of [`LONG`] bytes, the longest that workers send.
    LongAnswer,
}

/// Where in its answer a worker closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOffset {
    /// Before its first byte.
    Start,
    /// In the head, before the length has been sent.
    InHead,
    /// After the head, before the first byte of the body.
    AfterHead,
    InBody,
    /// One byte before the end.
    BeforeLastByte,
}

impl AnswerOffset {
    /// All offsets.
    pub const ALL: [AnswerOffset; 5] = [
        AnswerOffset::Start,
        AnswerOffset::InHead,
        AnswerOffset::AfterHead,
        AnswerOffset::InBody,
        AnswerOffset::BeforeLastByte,
    ];

    /// Number of bytes that are sent of an answer, given the length of its head and its total length.
    fn bytes(self, head: usize, total: usize) -> usize {
        match self {
            AnswerOffset::Start => 0,
            AnswerOffset::InHead => head / 2,
            AnswerOffset::AfterHead => head,
            AnswerOffset::InBody => (head + total) / 2,
            AnswerOffset::BeforeLastByte => total - 1,
        }
    }
}

/// Body length of [`Behaviour::LongAnswer`].
pub const LONG: usize = 230_000;

/// Bytes before the fields of a frame.
const FRAME_HEADER_BYTES: usize = 16;

/// Delay of delayed answers and of loads.
const DELAY: Duration = Duration::from_millis(150);

/// How long a worker takes for a call that is served in parallel.
const WORK_TIME: Duration = Duration::from_millis(10);

/// A call that a worker received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    pub worker: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Shared {
    script: Vec<Behaviour>,
    sent: Vec<Sent>,
    /// Arrival times of load orders.
    load_orders: Vec<Instant>,
    /// New connections are read after a delay and closed after some frames.
    is_unreliable: bool,
    /// The loaded models as worker and model; `None` if every worker is taken to have every model.
    loaded_models: Option<HashSet<(String, String)>>,
    /// Load orders are answered only after [`Fleet::release`].
    holds_loads: bool,
    /// Answers by idempotency key: the workers of a cell deduplicate repeated calls.
    answers_by_key: HashMap<String, Vec<u8>>,
    runs: usize,
    cancelled: usize,
    released: bool,
    /// Bodies of the calls that wait for another call to be in flight.
    waiting: Vec<Vec<u8>>,
    /// Bodies of the calls that have finished this wait.
    waited: HashSet<Vec<u8>>,
}

/// The workers of a test and the state that they share.
#[derive(Clone, Default)]
pub struct Fleet {
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl Fleet {
    /// The last behaviour of the script applies to all further calls.
    pub fn new(script: &[Behaviour]) -> Self {
        let fleet = Fleet::default();
        fleet.shared.0.lock().expect("whole").script = script.to_vec();
        fleet
    }

    /// Sets what becomes of all further calls.
    pub fn continue_with(&self, behaviour: Behaviour) {
        let mut shared = self.shared.0.lock().expect("whole");
        let count = shared.sent.len();
        let last = *shared.script.last().expect("a script");
        shared.script.resize(count, last);
        shared.script.push(behaviour);
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.shared.0.lock().expect("whole").sent.clone()
    }

    /// Arrival times of load orders.
    pub fn load_orders(&self) -> Vec<Instant> {
        self.shared.0.lock().expect("whole").load_orders.clone()
    }

    /// From now on each new connection is read after up to 0.12 s and closed at its tenth frame.
    pub fn make_connections_unreliable(&self) {
        self.shared.0.lock().expect("whole").is_unreliable = true;
    }

    /// From now on a worker has only the models that it was ordered to load; a load takes [`DELAY`].
    pub fn require_load_orders(&self) {
        self.shared.0.lock().expect("whole").loaded_models = Some(HashSet::new());
    }

    /// Whether the worker has loaded the model that the frame names.
    fn has_model(&self, worker: &str, frame: &Frame) -> bool {
        let key = (worker.to_string(), frame.field("obj").unwrap_or_default().to_string());
        self.shared.0.lock().expect("whole").loaded_models.as_ref().is_none_or(|loaded| loaded.contains(&key))
    }

    fn finish_load(&self, worker: &str, frame: &Frame) {
        let tracks_loads = self.shared.0.lock().expect("whole").loaded_models.is_some();
        if tracks_loads {
            std::thread::sleep(DELAY);
        }
        let key = (worker.to_string(), frame.field("obj").unwrap_or_default().to_string());
        self.shared
            .0
            .lock()
            .expect("whole")
            .loaded_models
            .iter_mut()
            .for_each(|loaded| _ = loaded.insert(key.clone()));
    }

    /// From now on load orders are answered only after [`Fleet::release`].
    pub fn hold_loads(&self) {
        self.shared.0.lock().expect("whole").holds_loads = true;
    }

    /// Number of executed calls; a repeated key is executed once.
    pub fn runs(&self) -> usize {
        self.shared.0.lock().expect("whole").runs
    }

    pub fn cancelled(&self) -> usize {
        self.shared.0.lock().expect("whole").cancelled
    }

    /// Lets held calls and load orders be answered.
    pub fn release(&self) {
        self.shared.0.lock().expect("whole").released = true;
        self.shared.1.notify_all();
    }

    fn next_behaviour(&self, worker: &str, key: Option<String>, body: &[u8]) -> Behaviour {
        let mut shared = self.shared.0.lock().expect("whole");
        let behaviour = shared.script[shared.sent.len().min(shared.script.len() - 1)];
        shared.sent.push(Sent { worker: worker.to_string(), key, body: body.to_vec() });
        behaviour
    }

    fn run(&self, key: Option<&String>, body: &[u8]) -> Vec<u8> {
        let mut shared = self.shared.0.lock().expect("whole");
        if let Some(known) = key.and_then(|key| shared.answers_by_key.get(key)) {
            return known.clone();
        }
        shared.runs += 1;
        let answer = [b"done: ", body].concat();
        if let Some(key) = key {
            shared.answers_by_key.insert(key.clone(), answer.clone());
        }
        answer
    }

    fn wait_for_release(&self) {
        let shared = self.shared.0.lock().expect("whole");
        let wait = self.shared.1.wait_timeout_while(shared, super::TEST_TIMEOUT, |shared| !shared.released);
        drop(wait.expect("whole"));
    }

    /// Waits for [`DELAY`] and until a call with another body waits too. A repeat of a call that has waited only waits for
    /// the delay.
    fn wait_for_another_call(&self, body: &[u8]) {
        {
            let mut shared = self.shared.0.lock().expect("whole");
            if !shared.waited.contains(body) && !shared.waiting.iter().any(|waiting| waiting == body) {
                shared.waiting.push(body.to_vec());
            }
            self.shared.1.notify_all();
        }
        std::thread::sleep(DELAY);
        let shared = self.shared.0.lock().expect("whole");
        let is_alone = |shared: &mut Shared| shared.waiting.len() == 1 && shared.waiting[0] == body;
        let wait = self.shared.1.wait_timeout_while(shared, super::TEST_TIMEOUT, is_alone);
        let mut shared = wait.expect("whole").0;
        shared.waiting.retain(|waiting| waiting != body);
        shared.waited.insert(body.to_vec());
    }

    fn record_cancelled(&self) {
        self.shared.0.lock().expect("whole").cancelled += 1;
    }

    /// Starts a worker with the HTTP API, synchronous and deferred.
    pub fn http(&self, worker: &str) -> SocketAddr {
        let (fleet, worker) = (self.clone(), worker.to_string());
        let jobs: Arc<Mutex<Vec<Job>>> = Arc::default();
        listen(move |socket| fleet.serve_http(&worker, &jobs, socket))
    }

    /// Starts a worker with the binary frame protocol.
    pub fn frames(&self, worker: &str) -> SocketAddr {
        let (fleet, worker) = (self.clone(), worker.to_string());
        listen(move |socket| fleet.serve_frames(&worker, socket))
    }

    fn serve_http(&self, worker: &str, jobs: &Mutex<Vec<Job>>, socket: TcpStream) {
        let mut reader = BufReader::new(socket.try_clone().expect("cloned"));
        let Some((first, headers)) = head(&mut reader) else { return };
        let size = headers.get("content-length").and_then(|size| size.parse().ok()).unwrap_or(0);
        let mut body = vec![0; size];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let words: Vec<&str> = first.split(' ').collect();
        let number = |path: &str| path.rsplit('/').next().and_then(|last| last.parse::<usize>().ok());
        match (words[0], words[1]) {
            ("POST", path) if path.starts_with("/v1/functions/") => {
                let key = headers.get("idempotency-key").cloned();
                let job = Job { behaviour: self.next_behaviour(worker, key.clone(), &body), key, body };
                if headers.get("prefer").is_some_and(|prefer| prefer == "respond-async") {
                    let mut jobs = jobs.lock().expect("whole");
                    jobs.push(job);
                    let location = format!("Location: /v1/invocations/{}\r\n", jobs.len() - 1);
                    respond(&socket, 202, &location, b"");
                } else {
                    self.execute(&job, socket, reader);
                }
            }
            ("GET", path) => {
                let job = number(path).and_then(|at| jobs.lock().expect("whole").get(at).cloned());
                self.execute(&job.expect("an accepted job"), socket, reader);
            }
            _ => {
                self.record_cancelled();
                respond(&socket, 204, "", b"");
            }
        }
    }

    fn execute(&self, job: &Job, socket: TcpStream, mut reader: BufReader<TcpStream>) {
        let not_run = "Corkbay-May-Have-Run: false\r\n";
        match job.behaviour {
            Behaviour::Serve => respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body)),
            Behaviour::Refuse => respond(&socket, 503, not_run, b""),
            Behaviour::Miss => respond(&socket, 404, not_run, b""),
            Behaviour::Error => respond(&socket, 500, "", b""),
            Behaviour::Reset => drop(socket),
            // Waits until the caller closes the connection.
            Behaviour::NoAnswer => _ = reader.fill_buf().map(<[u8]>::len),
            Behaviour::CorruptAnswer => {
                _ = (&socket).write_all(b"HTTP/1.1 2\x00\x01 OK\r\nContent-Length: 0\r\n\r\n")
            }
            Behaviour::TruncatedAnswer | Behaviour::OversizedAnswer => {
                let _ = (&socket).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
                while job.behaviour == Behaviour::OversizedAnswer && (&socket).write_all(&[7; 4096]).is_ok() {
                }
                _ = reader.fill_buf().map(<[u8]>::len);
            }
            Behaviour::DisconnectAt(within) => {
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
                let answer = [head.as_bytes(), &[b'a'; 40]].concat();
                let _ = (&socket).write_all(&answer[..within.bytes(head.len(), answer.len())]);
            }
            Behaviour::MissTwice => respond(&socket, 404, not_run, b""),
            Behaviour::ServeInParallel => {
                std::thread::sleep(WORK_TIME);
                respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body));
            }
            Behaviour::DelayedServe => {
                std::thread::sleep(DELAY);
                respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body));
            }
            Behaviour::ServeWithAnotherInFlight => {
                self.wait_for_another_call(&job.body);
                respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body));
            }
            Behaviour::ServeBytewise => {
                let body = self.run(job.key.as_ref(), &job.body);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                byte_by_byte(&socket, &[head.as_bytes(), &body].concat());
            }
            Behaviour::LongAnswer => {
                self.run(job.key.as_ref(), &job.body);
                respond(&socket, 200, "", &[b'l'; LONG]);
            }
            Behaviour::Hold => {
                self.wait_for_release();
                respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body));
            }
        }
    }

    /// Sends bytes that are no valid frame.
    fn send_invalid_answer(&self, behaviour: Behaviour, socket: &mut TcpStream, id: u64) {
        let (mark, body, fields) = (FROM_WORKER, b"answer".to_vec(), String::new());
        let mut bytes = Frame { mark, code: code::OK, id, fields, body }.encode();
        match behaviour {
            Behaviour::CorruptAnswer => *bytes.last_mut().expect("a check") ^= 1,
            Behaviour::TruncatedAnswer => bytes.truncate(18),
            _ => bytes[4..8].copy_from_slice(&3_000_000_000u32.to_be_bytes()),
        }
        let _ = socket.write_all(&bytes);
        while behaviour == Behaviour::OversizedAnswer && socket.write_all(&[7; 4096]).is_ok() {}
    }

    fn serve_frames(&self, worker: &str, mut socket: TcpStream) {
        let (mut buffer, mut chunk, mut frames) = (Vec::new(), [0; 4096], 0);
        let is_unreliable = self.shared.0.lock().expect("whole").is_unreliable;
        if is_unreliable {
            let port = socket.peer_addr().map_or(0, |address| address.port());
            std::thread::sleep(Duration::from_millis(u64::from(port) * 37 % 120));
        }
        loop {
            let frame = match Frame::decode(&mut buffer, FROM_INVOKER).expect("a good frame") {
                Some(frame) => frame,
                None => match socket.read(&mut chunk) {
                    Ok(0) | Err(_) => return,
                    Ok(size) => {
                        buffer.extend(&chunk[..size]);
                        continue;
                    }
                },
            };
            let mut answer = |code, body| {
                let answer =
                    Frame { mark: FROM_WORKER, code, id: frame.id, fields: "replicas=1".into(), body };
                let _ = socket.write_all(&answer.encode());
            };
            frames += 1;
            if is_unreliable && frames % 10 == 0 {
                return;
            }
            match frame.code {
                code::GIVE_UP => self.record_cancelled(),
                code::LOAD => {
                    if frame.field("replicas") != Some("0") {
                        let mut shared = self.shared.0.lock().expect("whole");
                        shared.load_orders.push(Instant::now());
                        let holds_loads = shared.holds_loads;
                        drop(shared);
                        if holds_loads {
                            self.wait_for_release();
                        }
                        self.finish_load(worker, &frame);
                    }
                    answer(if self.has_model(worker, &frame) { code::OK } else { code::FULL }, Vec::new());
                }
                code::REQUEST if !self.has_model(worker, &frame) => answer(code::MISS, Vec::new()),
                code::REQUEST => {
                    let key = frame.field("token").map(str::to_string);
                    let behaviour = self.next_behaviour(worker, key.clone(), &frame.body);
                    match behaviour {
                        Behaviour::Serve => answer(code::OK, self.run(key.as_ref(), &frame.body)),
                        Behaviour::Refuse => answer(code::FULL, Vec::new()),
                        Behaviour::Miss => answer(code::MISS, Vec::new()),
                        Behaviour::Error => answer(code::ERROR, Vec::new()),
                        Behaviour::Reset => return,
                        Behaviour::NoAnswer => {}
                        Behaviour::DisconnectAt(within) => {
                            let (mark, fields) = (FROM_WORKER, String::new());
                            let body = vec![b'a'; 40];
                            let answer = Frame { mark, code: code::OK, id: frame.id, fields, body }.encode();
                            let _ =
                                socket.write_all(&answer[..within.bytes(FRAME_HEADER_BYTES, answer.len())]);
                            return;
                        }
                        Behaviour::CorruptAnswer
                        | Behaviour::TruncatedAnswer
                        | Behaviour::OversizedAnswer => {
                            self.send_invalid_answer(behaviour, &mut socket, frame.id);
                            if behaviour == Behaviour::CorruptAnswer {
                                continue;
                            }
                            let _ = socket.read(&mut chunk);
                            return;
                        }
                        Behaviour::MissTwice => {
                            answer(code::MISS, Vec::new());
                            std::thread::sleep(DELAY / 2);
                            answer(code::MISS, Vec::new());
                        }
                        Behaviour::DelayedServe => {
                            std::thread::sleep(DELAY);
                            answer(code::OK, self.run(key.as_ref(), &frame.body));
                        }
                        Behaviour::ServeInParallel => {
                            let (fleet, mut socket) = (self.clone(), socket.try_clone().expect("cloned"));
                            std::thread::spawn(move || {
                                std::thread::sleep(WORK_TIME);
                                let (mark, fields) = (FROM_WORKER, String::new());
                                let body = fleet.run(key.as_ref(), &frame.body);
                                let answer = Frame { mark, code: code::OK, id: frame.id, fields, body };
                                let _ = socket.write_all(&answer.encode());
                            });
                        }
                        // Waits on another thread, so that the next frame is read meanwhile.
                        Behaviour::ServeWithAnotherInFlight => {
                            let (fleet, mut socket) = (self.clone(), socket.try_clone().expect("cloned"));
                            std::thread::spawn(move || {
                                fleet.wait_for_another_call(&frame.body);
                                let (mark, fields) = (FROM_WORKER, String::new());
                                let body = fleet.run(key.as_ref(), &frame.body);
                                let answer = Frame { mark, code: code::OK, id: frame.id, fields, body };
                                let _ = socket.write_all(&answer.encode());
                            });
                        }
                        Behaviour::ServeBytewise => {
                            let (mark, fields) = (FROM_WORKER, String::new());
                            let body = self.run(key.as_ref(), &frame.body);
                            let answer = Frame { mark, code: code::OK, id: frame.id, fields, body };
                            byte_by_byte(&socket, &answer.encode());
                        }
                        Behaviour::LongAnswer => {
                            self.run(key.as_ref(), &frame.body);
                            answer(code::OK, vec![b'l'; LONG]);
                        }
                        Behaviour::Hold => {
                            self.wait_for_release();
                            answer(code::OK, self.run(key.as_ref(), &frame.body));
                        }
                    }
                }
                _ => {}
            }
        }
    }
}

fn byte_by_byte(mut socket: &TcpStream, bytes: &[u8]) {
    let _ = socket.set_nodelay(true);
    for byte in bytes {
        std::thread::sleep(Duration::from_millis(1));
        if socket.write_all(&[*byte]).is_err() {
            return;
        }
    }
}

#[derive(Clone)]
struct Job {
    behaviour: Behaviour,
    key: Option<String>,
    body: Vec<u8>,
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            let _ = socket.set_read_timeout(Some(Duration::from_secs(60)));
            std::thread::spawn(move || serve(socket));
        }
    });
    address
}

fn respond(mut socket: &TcpStream, status: u16, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let _ = socket.write_all(&[head.as_bytes(), body].concat());
}
