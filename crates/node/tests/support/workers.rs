//! Stand-in workers: each send takes the next act of a script that all workers of a test share.
use super::head;
use corkbay_node::wire::frames::{code, Frame, FROM_INVOKER, FROM_WORKER};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What a worker does with a call that has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Serve,
    Refuse,
    Miss,
    Error,
    /// The connection breaks after the call has come whole.
    Reset,
    /// Nothing is ever heard.
    Silence,
    /// Served once the test lets it.
    Hold,
    /// It has run, and its answer comes damaged.
    Garbled,
    /// It has run, and its answer stops short on a connection that stays open.
    Cut,
    /// It has run, and its answer is said to have 3 GB and keeps coming.
    Huge,
    /// It has run, and the connection ends within its answer.
    Breaks(Within),
    /// Lacks the model, and says so once more a little later.
    MissTwice,
    /// Served, a little later.
    Late,
    /// The same, but not before a call with another body is out as well: whoever calls is always owed something.
    BesideAnother,
    /// Served with an answer that comes a byte at a time.
    Bytewise,
    /// Served with an answer as long as any that workers give.
    Long,
}

/// Where an answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Within {
    /// Before its first byte.
    Nothing,
    /// In its head, before the length is told.
    Head,
    /// After its head, before the first byte of its body.
    Length,
    Body,
    /// One byte before its end.
    End,
}

impl Within {
    /// All of them.
    pub const ALL: [Within; 5] = [Within::Nothing, Within::Head, Within::Length, Within::Body, Within::End];

    /// How many bytes of an answer with such a head come.
    fn bytes(self, head: usize, whole: usize) -> usize {
        match self {
            Within::Nothing => 0,
            Within::Head => head / 2,
            Within::Length => head,
            Within::Body => (head + whole) / 2,
            Within::End => whole - 1,
        }
    }
}

/// Bytes of a long answer.
pub const LONG: usize = 230_000;

/// Bytes before the fields of a frame.
const HEAD: usize = 16;

/// What comes a little later comes so much later.
const LATER: Duration = Duration::from_millis(150);

/// A call that came to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    pub worker: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Shared {
    script: Vec<Act>,
    sent: Vec<Sent>,
    /// When orders to load came whole.
    ordered: Vec<Instant>,
    /// Connections are read late, and break after some frames.
    rough: bool,
    /// Workers have only what they were ordered to load: what each holds, where that is kept.
    stands: Option<HashSet<(String, String)>>,
    /// Orders to load are answered once the test lets go of what is held.
    holds_loads: bool,
    /// Answers by key: a rack drops repeats.
    served: HashMap<String, Vec<u8>>,
    runs: usize,
    called_off: usize,
    released: bool,
    /// Bodies of the calls that wait for another one beside them, and of those that did.
    waiting: Vec<Vec<u8>>,
    waited: HashSet<Vec<u8>>,
}

/// What the workers of a test share.
#[derive(Clone, Default)]
pub struct Fleet {
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl Fleet {
    /// The last act goes for all further sends.
    pub fn new(script: &[Act]) -> Self {
        let fleet = Fleet::default();
        fleet.shared.0.lock().expect("whole").script = script.to_vec();
        fleet
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.shared.0.lock().expect("whole").sent.clone()
    }

    /// When orders to load came whole.
    pub fn ordered(&self) -> Vec<Instant> {
        self.shared.0.lock().expect("whole").ordered.clone()
    }

    /// From now on connections are read late, each by up to 0.12 s, and break after every ninth frame.
    pub fn rough(&self) {
        self.shared.0.lock().expect("whole").rough = true;
    }

    /// From now on a worker lacks what it was not ordered to load; a load takes a little.
    pub fn lack_all(&self) {
        self.shared.0.lock().expect("whole").stands = Some(HashSet::new());
    }

    /// Whether that worker has that model.
    fn has(&self, worker: &str, frame: &Frame) -> bool {
        let key = (worker.to_string(), frame.field("obj").unwrap_or_default().to_string());
        self.shared.0.lock().expect("whole").stands.as_ref().is_none_or(|stands| stands.contains(&key))
    }

    fn loaded(&self, worker: &str, frame: &Frame) {
        let keeps = self.shared.0.lock().expect("whole").stands.is_some();
        if keeps {
            std::thread::sleep(LATER);
        }
        let key = (worker.to_string(), frame.field("obj").unwrap_or_default().to_string());
        self.shared
            .0
            .lock()
            .expect("whole")
            .stands
            .iter_mut()
            .for_each(|stands| _ = stands.insert(key.clone()));
    }

    /// From now on orders to load are answered once held calls are released.
    pub fn hold_loads(&self) {
        self.shared.0.lock().expect("whole").holds_loads = true;
    }

    /// Calls that were carried out, repeats of a key left out.
    pub fn runs(&self) -> usize {
        self.shared.0.lock().expect("whole").runs
    }

    pub fn called_off(&self) -> usize {
        self.shared.0.lock().expect("whole").called_off
    }

    /// Lets held calls be served.
    pub fn release(&self) {
        self.shared.0.lock().expect("whole").released = true;
        self.shared.1.notify_all();
    }

    fn take(&self, worker: &str, key: Option<String>, body: &[u8]) -> Act {
        let mut shared = self.shared.0.lock().expect("whole");
        let act = shared.script[shared.sent.len().min(shared.script.len() - 1)];
        shared.sent.push(Sent { worker: worker.to_string(), key, body: body.to_vec() });
        act
    }

    fn run(&self, key: Option<&String>, body: &[u8]) -> Vec<u8> {
        let mut shared = self.shared.0.lock().expect("whole");
        if let Some(known) = key.and_then(|key| shared.served.get(key)) {
            return known.clone();
        }
        shared.runs += 1;
        let answer = [b"done: ", body].concat();
        if let Some(key) = key {
            shared.served.insert(key.clone(), answer.clone());
        }
        answer
    }

    fn hold(&self) {
        let shared = self.shared.0.lock().expect("whole");
        let wait = self.shared.1.wait_timeout_while(shared, super::PATIENCE, |shared| !shared.released);
        drop(wait.expect("whole"));
    }

    /// Waits a little, and until a call with another body waits, too. A second copy of one that did waits no longer.
    fn wait_beside_another(&self, body: &[u8]) {
        {
            let mut shared = self.shared.0.lock().expect("whole");
            if !shared.waited.contains(body) && !shared.waiting.iter().any(|waiting| waiting == body) {
                shared.waiting.push(body.to_vec());
            }
            self.shared.1.notify_all();
        }
        std::thread::sleep(LATER);
        let shared = self.shared.0.lock().expect("whole");
        let is_alone = |shared: &mut Shared| shared.waiting.len() == 1 && shared.waiting[0] == body;
        let wait = self.shared.1.wait_timeout_while(shared, super::PATIENCE, is_alone);
        let mut shared = wait.expect("whole").0;
        shared.waiting.retain(|waiting| waiting != body);
        shared.waited.insert(body.to_vec());
    }

    fn note_called_off(&self) {
        self.shared.0.lock().expect("whole").called_off += 1;
    }

    /// A worker that speaks the invoke API, in whichever style it is called.
    pub fn http(&self, worker: &str) -> SocketAddr {
        let (fleet, worker) = (self.clone(), worker.to_string());
        let jobs: Arc<Mutex<Vec<Job>>> = Arc::default();
        listen(move |socket| fleet.converse(&worker, &jobs, socket))
    }

    /// A worker that speaks binary frames.
    pub fn frames(&self, worker: &str) -> SocketAddr {
        let (fleet, worker) = (self.clone(), worker.to_string());
        listen(move |socket| fleet.frame_by_frame(&worker, socket))
    }

    fn converse(&self, worker: &str, jobs: &Mutex<Vec<Job>>, socket: TcpStream) {
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
                let job = Job { act: self.take(worker, key.clone(), &body), key, body };
                if headers.get("prefer").is_some_and(|prefer| prefer == "respond-async") {
                    let mut jobs = jobs.lock().expect("whole");
                    jobs.push(job);
                    let location = format!("Location: /v1/invocations/{}\r\n", jobs.len() - 1);
                    respond(&socket, 202, &location, b"");
                } else {
                    self.perform(&job, socket, reader);
                }
            }
            ("GET", path) => {
                let job = number(path).and_then(|at| jobs.lock().expect("whole").get(at).cloned());
                self.perform(&job.expect("a job that was handed over"), socket, reader);
            }
            _ => {
                self.note_called_off();
                respond(&socket, 204, "", b"");
            }
        }
    }

    fn perform(&self, job: &Job, socket: TcpStream, mut reader: BufReader<TcpStream>) {
        let not_run = "Corkbay-May-Have-Run: false\r\n";
        match job.act {
            Act::Serve => respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body)),
            Act::Refuse => respond(&socket, 503, not_run, b""),
            Act::Miss => respond(&socket, 404, not_run, b""),
            Act::Error => respond(&socket, 500, "", b""),
            Act::Reset => drop(socket),
            // Until the caller leaves.
            Act::Silence => _ = reader.fill_buf().map(<[u8]>::len),
            Act::Garbled => _ = (&socket).write_all(b"HTTP/1.1 2\x00\x01 OK\r\nContent-Length: 0\r\n\r\n"),
            Act::Cut | Act::Huge => {
                let _ = (&socket).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
                while job.act == Act::Huge && (&socket).write_all(&[7; 4096]).is_ok() {}
                _ = reader.fill_buf().map(<[u8]>::len);
            }
            Act::Breaks(within) => {
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
                let answer = [head.as_bytes(), &[b'a'; 40]].concat();
                let _ = (&socket).write_all(&answer[..within.bytes(head.len(), answer.len())]);
            }
            Act::MissTwice => respond(&socket, 404, not_run, b""),
            Act::Late => {
                std::thread::sleep(LATER);
                respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body));
            }
            Act::BesideAnother => {
                self.wait_beside_another(&job.body);
                respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body));
            }
            Act::Bytewise => {
                let body = self.run(job.key.as_ref(), &job.body);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                byte_by_byte(&socket, &[head.as_bytes(), &body].concat());
            }
            Act::Long => {
                self.run(job.key.as_ref(), &job.body);
                respond(&socket, 200, "", &[b'l'; LONG]);
            }
            Act::Hold => {
                self.hold();
                respond(&socket, 200, "", &self.run(job.key.as_ref(), &job.body));
            }
        }
    }

    /// Answers with what is no good frame.
    fn spoil(&self, act: Act, socket: &mut TcpStream, id: u64) {
        let (mark, body, fields) = (FROM_WORKER, b"answer".to_vec(), String::new());
        let mut bytes = Frame { mark, code: code::OK, id, fields, body }.encode();
        match act {
            Act::Garbled => *bytes.last_mut().expect("a check") ^= 1,
            Act::Cut => bytes.truncate(18),
            _ => bytes[4..8].copy_from_slice(&3_000_000_000u32.to_be_bytes()),
        }
        let _ = socket.write_all(&bytes);
        while act == Act::Huge && socket.write_all(&[7; 4096]).is_ok() {}
    }

    fn frame_by_frame(&self, worker: &str, mut socket: TcpStream) {
        let (mut buffer, mut chunk, mut frames) = (Vec::new(), [0; 4096], 0);
        let rough = self.shared.0.lock().expect("whole").rough;
        if rough {
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
            if rough && frames % 10 == 0 {
                return;
            }
            match frame.code {
                code::GIVE_UP => self.note_called_off(),
                code::LOAD => {
                    if frame.field("replicas") != Some("0") {
                        let mut shared = self.shared.0.lock().expect("whole");
                        shared.ordered.push(Instant::now());
                        let holds = shared.holds_loads;
                        drop(shared);
                        if holds {
                            self.hold();
                        }
                        self.loaded(worker, &frame);
                    }
                    answer(if self.has(worker, &frame) { code::OK } else { code::FULL }, Vec::new());
                }
                code::REQUEST if !self.has(worker, &frame) => answer(code::MISS, Vec::new()),
                code::REQUEST => {
                    let key = frame.field("token").map(str::to_string);
                    let act = self.take(worker, key.clone(), &frame.body);
                    match act {
                        Act::Serve => answer(code::OK, self.run(key.as_ref(), &frame.body)),
                        Act::Refuse => answer(code::FULL, Vec::new()),
                        Act::Miss => answer(code::MISS, Vec::new()),
                        Act::Error => answer(code::ERROR, Vec::new()),
                        Act::Reset => return,
                        Act::Silence => {}
                        Act::Breaks(within) => {
                            let (mark, fields) = (FROM_WORKER, String::new());
                            let body = vec![b'a'; 40];
                            let answer = Frame { mark, code: code::OK, id: frame.id, fields, body }.encode();
                            let _ = socket.write_all(&answer[..within.bytes(HEAD, answer.len())]);
                            return;
                        }
                        Act::Garbled | Act::Cut | Act::Huge => {
                            self.spoil(act, &mut socket, frame.id);
                            if act == Act::Garbled {
                                continue;
                            }
                            let _ = socket.read(&mut chunk);
                            return;
                        }
                        Act::MissTwice => {
                            answer(code::MISS, Vec::new());
                            std::thread::sleep(LATER / 2);
                            answer(code::MISS, Vec::new());
                        }
                        Act::Late => {
                            std::thread::sleep(LATER);
                            answer(code::OK, self.run(key.as_ref(), &frame.body));
                        }
                        // What waits must not keep the next frame from being read.
                        Act::BesideAnother => {
                            let (fleet, mut socket) = (self.clone(), socket.try_clone().expect("cloned"));
                            std::thread::spawn(move || {
                                fleet.wait_beside_another(&frame.body);
                                let (mark, fields) = (FROM_WORKER, String::new());
                                let body = fleet.run(key.as_ref(), &frame.body);
                                let answer = Frame { mark, code: code::OK, id: frame.id, fields, body };
                                let _ = socket.write_all(&answer.encode());
                            });
                        }
                        Act::Bytewise => {
                            let (mark, fields) = (FROM_WORKER, String::new());
                            let body = self.run(key.as_ref(), &frame.body);
                            let answer = Frame { mark, code: code::OK, id: frame.id, fields, body };
                            byte_by_byte(&socket, &answer.encode());
                        }
                        Act::Long => {
                            self.run(key.as_ref(), &frame.body);
                            answer(code::OK, vec![b'l'; LONG]);
                        }
                        Act::Hold => {
                            self.hold();
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
    act: Act,
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
