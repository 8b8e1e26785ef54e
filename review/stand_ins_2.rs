//! What the cases 6 to 10 share: the record of a run, the project's processes, and small stand-ins for clients and for
//! workers that speak the invoke API. Only the standard library is used, and only loopback addresses.
#![allow(dead_code)]
use std::collections::{BTreeSet, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// The longest run, in seconds; a case that takes longer couldn't run.
const LONGEST_RUN_S: u64 = 115;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, size: u32) -> i32;
}

/// Runs a case and exits with its code; 2 if it panics. The guards of its processes end them in each case.
pub fn main_of(case: fn(&Arc<Record>, bool) -> i32) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder.join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("disruption: {}", if trouble { "yes" } else { "no (TROUBLE=0)" }));
    let code = std::panic::catch_unwind(|| case(&record, trouble)).unwrap_or(NOT_RUN);
    record.line(match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case couldn't run",
    });
    std::process::exit(code)
}

/// The record of a run: one line an event, with the time in milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn create(path: &Path) -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), file: Mutex::new(File::create(path).expect("the record")) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.1} {}", self.now_ms(), text.as_ref());
    }

    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn check_time(&self) {
        assert!(self.start.elapsed().as_secs() < LONGEST_RUN_S, "the run takes too long");
    }
}

pub fn pause_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; panics if it doesn't within the time.
pub fn wait_until(what: &str, ms: u64, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_millis(ms);
    while !holds() {
        assert!(Instant::now() < end, "{what}: not within {ms} ms");
        pause_ms(10);
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("corkbay-review-2-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file in the temporary folder");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A daemon, started in the repository's root with the deploy file's `run` and `serve FILE`; killed on drop.
pub struct Daemon {
    pub name: String,
    pub api: SocketAddr,
    child: Child,
    record: Arc<Record>,
}

impl Daemon {
    pub fn serve(record: &Arc<Record>, folder: &Folder, name: &str, file: &Path, api: SocketAddr) -> Daemon {
        let root = std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT");
        let command = format!("exec target/release/corkbay serve '{}'", file.display());
        let log = File::options().create(true).append(true).open(folder.0.join(format!("{name}.log")));
        let log = log.expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root)
            .env_remove("PROXY_CONFIG")
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_ADMIN")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("a daemon");
        record.line(format!("{name} starts"));
        Daemon { name: name.to_string(), api, child, record: record.clone() }
    }

    /// Waits until the process says that it is ready. Only for a process that has its address to itself.
    pub fn wait_until_ready(&self) {
        wait_until("ready", 10_000, || {
            call(self.api, "GET", "/v1/status", &[], b"", 1000)
                .is_ok_and(|answer| answer.status == 200 && !answer.text().contains("\"ready\":false"))
        });
        self.record.line(format!("{} is ready", self.name));
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("signal {signal} to {}", self.name));
        // The child has not been waited for, so its id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// SIGTERM, and the wait for the end of the process.
    pub fn terminate(mut self) {
        self.signal(SIGTERM);
        wait_until("the end of a daemon", 15_000, || !self.is_running());
        let status = self.child.wait().expect("it has ended");
        self.record.line(format!("{} has ended: {status}", self.name));
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A message of HTTP: of a request, `status` is 0 and `line` its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message whose body has a length; `None` at the end of the connection.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line = message.line.trim_end().to_string();
    message.status = match message.line.strip_prefix("HTTP/1.1 ") {
        Some(rest) => rest.get(..3).and_then(|code| code.parse().ok()).ok_or(ErrorKind::InvalidData)?,
        None => 0,
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            None => break,
            Some((name, value)) => {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
        }
    }
    message.body = vec![0; message.header("content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Makes one request on a connection of its own and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within_ms: u64,
) -> io::Result<Message> {
    let within = Duration::from_millis(within_ms);
    let mut socket = TcpStream::connect_timeout(&address, within)?;
    socket.set_read_timeout(Some(within))?;
    socket.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    socket.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(socket))?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// Makes one request on a connection that stays open, and reads the whole answer.
pub fn call_on(socket: &mut TcpStream, method: &str, path: &str, body: &[u8]) -> io::Result<Message> {
    let head = format!("{method} {path} HTTP/1.1\r\nHost: corkbay\r\nContent-Length: {}\r\n\r\n", body.len());
    socket.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(socket))?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// One run of a call at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: f64,
    pub worker: String,
    /// The zone or cell of the worker, whose workers drop repeats of each other's keyed calls.
    pub group: String,
    pub key: String,
}

/// Workers that speak the invoke API. Each call takes `work_ms` and is answered with the number of its run. As the pages
/// say of keyed classes, the workers of a group drop a repeat of a key within the window: it gets the answer of the run.
pub struct Fleet {
    record: Arc<Record>,
    work_ms: u64,
    window_ms: f64,
    runs: Mutex<Vec<Run>>,
    /// Workers that listen no more, or soon.
    dying: Mutex<BTreeSet<String>>,
    /// Workers whose connections are reset.
    dead: Mutex<BTreeSet<String>>,
}

impl Fleet {
    pub fn new(record: &Arc<Record>, work_ms: u64, window_ms: f64) -> Arc<Fleet> {
        let (runs, dying, dead) = (Mutex::default(), Mutex::default(), Mutex::default());
        Arc::new(Fleet { record: record.clone(), work_ms, window_ms, runs, dying, dead })
    }

    /// Ends a worker as if its process died: it listens no more and its connections are reset.
    pub fn kill(&self, worker: &str) {
        self.record.line(format!("worker {worker} dies"));
        self.dying.lock().unwrap().insert(worker.to_string());
    }

    fn is_dead(&self, worker: &str) -> bool {
        self.dead.lock().unwrap().contains(worker)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Starts a worker; returns its address.
    pub fn worker(self: &Arc<Self>, name: &str, group: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let address = listener.local_addr().expect("bound");
        let (fleet, name, group) = (self.clone(), name.to_string(), group.to_string());
        listener.set_nonblocking(true).expect("a listener");
        std::thread::spawn(move || {
            while !fleet.dying.lock().unwrap().contains(&name) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let (fleet, name, group) = (fleet.clone(), name.clone(), group.clone());
                        std::thread::spawn(move || _ = fleet.serve(&name, &group, socket));
                    }
                    Err(_) => pause_ms(1),
                }
            }
            drop(listener);
            fleet.dead.lock().unwrap().insert(name);
        });
        address
    }

    fn serve(&self, name: &str, group: &str, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nonblocking(false)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let key = match request.header("idempotency-key") {
                // A call without a key is known by the first word of its body.
                "" => request.text().split(' ').next().unwrap_or_default().to_string(),
                key => key.to_string(),
            };
            let (number, is_new) = self.run(name, group, &key);
            let text = if is_new { "runs" } else { "drops the repeat of" };
            self.record.line(format!("worker {name} of {group} {text} key {key}"));
            let end_ms = self.record.now_ms() + self.work_ms as f64;
            while self.record.now_ms() < end_ms {
                pause_ms(1);
                if self.is_dead(name) {
                    self.record.line(format!("worker {name} died: the connection of key {key} is reset"));
                    reset(&socket);
                    return Ok(());
                }
            }
            let body = format!("{key} run {number}");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            socket.write_all((head + &body).as_bytes())?;
            self.record.line(format!("worker {name} answers {body:?}"));
        }
        Ok(())
    }

    /// Registers a run of a key, unless the group remembers it; returns the number of the run among those of the key.
    fn run(&self, worker: &str, group: &str, key: &str) -> (usize, bool) {
        let mut runs = self.runs.lock().unwrap();
        let at_ms = self.record.now_ms();
        let of_key = runs.iter().filter(|run| run.key == key).enumerate();
        let remembered =
            of_key.clone().find(|(_, run)| run.group == group && at_ms - run.at_ms < self.window_ms);
        if let Some((index, _)) = remembered {
            return (index + 1, false);
        }
        let number = of_key.count() + 1;
        let (worker, group, key) = (worker.to_string(), group.to_string(), key.to_string());
        runs.push(Run { at_ms, worker, group, key });
        (number, true)
    }
}

/// Has the connection reset when it is closed.
fn reset(socket: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    unsafe {
        setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, std::mem::size_of::<Linger>() as u32)
    };
}

/// Makes calls with these keys at once, each from a client of its own; returns the answers in order. A call that the node
/// refuses (503, nothing has run) is made again after a pause, as its clients may.
pub fn post_all(
    record: &Arc<Record>,
    api: SocketAddr,
    what: &str,
    keys: &[String],
    style: Style,
) -> Vec<Message> {
    record.check_time();
    let threads = keys.iter().cloned().map(|key| {
        let (record, what) = (record.clone(), what.to_string());
        std::thread::spawn(move || post(&record, api, &what, &key, style))
    });
    let threads: Vec<_> = threads.into_iter().collect();
    threads.into_iter().map(|thread| thread.join().expect("a client")).collect()
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Style {
    Held,
    Deferred,
}

/// Calls the function `grant-meter-loan` with a key.
pub fn post(record: &Arc<Record>, api: SocketAddr, what: &str, key: &str, style: Style) -> Message {
    post_to(record, api, "grant-meter-loan", what, key, style)
}

/// Calls a function with a key.
pub fn post_to(
    record: &Arc<Record>,
    api: SocketAddr,
    function: &str,
    what: &str,
    key: &str,
    style: Style,
) -> Message {
    let mut headers = vec![("Idempotency-Key", key)];
    if style == Style::Deferred {
        headers.push(("Prefer", "respond-async"));
    }
    for _ in 0..20 {
        record.line(format!("client sends {what} with key {key}"));
        let path = format!("/v1/functions/{function}/invocations");
        let answer = call(api, "POST", &path, &headers, b"one loan", 8000).unwrap_or_else(|error| {
            record.line(format!("client has no answer to {what} with key {key}: {error}"));
            Message::default()
        });
        let (status, location) = (answer.status, answer.header("location"));
        let may_have_run = answer.header("corkbay-may-have-run");
        record.line(format!(
            "client is answered {status} to {what} with key {key}: {:?} {location} {may_have_run}",
            answer.text()
        ));
        if status != 503 || may_have_run != "false" {
            return answer;
        }
        pause_ms(100);
    }
    panic!("{what} with key {key} was refused 20 times")
}

/// The final answer of a deferred call.
pub fn collect(record: &Arc<Record>, api: SocketAddr, location: &str) -> Message {
    let answer = call(api, "GET", location, &[("Prefer", "wait=5")], b"", 8000).unwrap_or_default();
    record.line(format!("client collects {location}: {} {:?}", answer.status, answer.text()));
    answer
}

/// Passes connections on to an address and delays what passes in either direction, as a network between halls does.
pub fn link(to: SocketAddr, delay_us: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a link");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for near in listener.incoming().map_while(Result::ok) {
            // While the other side is down, the connection ends at once.
            let Ok(far) = TcpStream::connect(to) else { continue };
            let (near_too, far_too) =
                (near.try_clone().expect("a handle"), far.try_clone().expect("a handle"));
            std::thread::spawn(move || pass(near, far, delay_us));
            std::thread::spawn(move || pass(far_too, near_too, delay_us));
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, delay_us: u64) {
    let _ = to.set_nodelay(true);
    let mut bytes = vec![0; 64 << 10];
    while let Ok(size @ 1..) = from.read(&mut bytes) {
        std::thread::sleep(Duration::from_micros(delay_us));
        if to.write_all(&bytes[..size]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
