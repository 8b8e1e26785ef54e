//! Parts that the cases share: the record, child processes, and small stand-ins for clients, hosts and the command
//! channel that follow the protocol page. Only the standard library is used.
#![allow(dead_code)]
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The record of a run: one line per event, with the time in milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| stop(&format!("{}: {error}", path.display())));
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line; returns its time.
    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let at = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {}", text.as_ref());
        at
    }
}

/// Ends the run as one that couldn't be played.
pub fn stop(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    // Children are ended by their guards, which `exit` would skip.
    std::panic::panic_any(CannotRun(why.to_string()))
}

pub struct CannotRun(pub String);

/// Runs a case and exits with its code; a case that stops early or panics couldn't run.
pub fn main_of(case: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    let code = std::panic::catch_unwind(case).unwrap_or(NOT_RUN);
    std::process::exit(code)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; false if it doesn't within the time.
pub fn wait_for(ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        pause(5);
    }
    true
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("corkbay-review-{name}-{}", std::process::id()));
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
        if std::env::var("KEEP").is_ok() {
            return;
        }
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the project, started with a command of the deploy file in the repository's root; killed on drop.
pub struct Process {
    pub name: String,
    child: Child,
    record: Arc<Record>,
}

impl Process {
    /// `command` is passed to `/bin/sh -c`, as the platform does; the log goes to a file in the folder.
    pub fn start(
        record: &Arc<Record>,
        folder: &Folder,
        name: &str,
        command: &str,
        environment: &[(&str, String)],
    ) -> Process {
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| stop("REVIEW_ROOT is not set"));
        let log = File::create(folder.0.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(root)
            .env_remove("PROXY_CONFIG")
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_ADMIN")
            .envs(environment.iter().map(|(key, value)| (*key, value.as_str())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| stop(&format!("{command}: {error}")));
        record.line(format!("start of {name}: {command}"));
        Process { name: name.to_string(), child, record: record.clone() }
    }

    pub fn signal(&self, signal: i32) {
        let word = match signal {
            SIGHUP => "SIGHUP",
            SIGKILL => "SIGKILL",
            SIGTERM => "SIGTERM",
            _ => "a signal",
        };
        self.record.line(format!("{word} to {}", self.name));
        // The process id is that of our own child, which hasn't been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The exit code once the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill_and_wait(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Hosts

pub fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0u32, |sum, byte| {
        (0..8).fold(sum ^ u32::from(*byte), |sum, _| (sum >> 1) ^ (0xedb8_8320 & (sum & 1).wrapping_neg()))
    })
}

fn frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![253, code];
    bytes.extend((fields.len() as u16).to_be_bytes());
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(id.to_be_bytes());
    bytes.extend(fields.as_bytes());
    bytes.extend(body);
    bytes.extend(crc32(&bytes[16..]).to_be_bytes());
    bytes
}

/// An attempt that has come whole to a host, at this time of the record.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub host: String,
    pub id: u64,
    pub object: String,
}

/// A model at a host: when its load ends, in milliseconds of the record.
type Models = HashMap<String, f64>;

/// A fleet of host stand-ins. A host answers `miss` for a model that it lacks, loads one when ordered, has calls wait
/// for a load that is under way, and serves them with `done: BODY`.
pub struct Fleet {
    pub record: Arc<Record>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub load_ms: f64,
    pub work_ms: u64,
    /// Whether each host holds every model from the start.
    pub full_stock: bool,
}

impl Fleet {
    pub fn new(record: &Arc<Record>, load_ms: f64, work_ms: u64, full_stock: bool) -> Arc<Fleet> {
        let record = record.clone();
        Arc::new(Fleet { record, arrivals: Mutex::default(), load_ms, work_ms, full_stock })
    }

    /// Starts a host; returns its address.
    pub fn host(self: &Arc<Self>, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a host");
        let address = listener.local_addr().expect("bound");
        let (fleet, name, models) = (self.clone(), name.to_string(), Arc::new(Mutex::new(Models::new())));
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let (fleet, name, models) = (fleet.clone(), name.clone(), models.clone());
                std::thread::spawn(move || fleet.serve(&name, &models, socket));
            }
        });
        address
    }

    fn serve(self: &Arc<Self>, name: &str, models: &Arc<Mutex<Models>>, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let writer = Arc::new(Mutex::new(socket.try_clone().expect("a second handle")));
        let given_up: Arc<Mutex<HashSet<u64>>> = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        while let Some((code, id, fields, body)) = read_frame(&mut socket) {
            let field = |key: &str| {
                fields.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == key).map(|p| p.1)
            };
            let object = field("obj").unwrap_or_default().to_string();
            let now = self.record.now();
            match code {
                32 => {
                    let at = self.record.line(format!("host {name}: request {id:016x} {fields}"));
                    let arrival = Arrival { at, host: name.to_string(), id, object: object.clone() };
                    self.arrivals.lock().unwrap().push(arrival);
                    let known = models.lock().unwrap().get(&object).copied();
                    let ready_at = if self.full_stock { Some(0.0) } else { known };
                    let Some(ready_at) = ready_at else {
                        self.record.line(format!("host {name}: answer miss to {id:016x}"));
                        let _ = writer.lock().unwrap().write_all(&frame(130, id, "", b""));
                        continue;
                    };
                    let (fleet, name, writer, given_up, closed) =
                        (self.clone(), name.to_string(), writer.clone(), given_up.clone(), closed.clone());
                    let wait = (ready_at - now).max(0.0) as u64 + self.work_ms;
                    std::thread::spawn(move || {
                        pause(wait);
                        if given_up.lock().unwrap().contains(&id) || closed.load(Ordering::SeqCst) {
                            return;
                        }
                        fleet.record.line(format!("host {name}: answer ok to {id:016x}"));
                        let body = [b"done: ", body.as_slice()].concat();
                        let _ = writer.lock().unwrap().write_all(&frame(128, id, "", &body));
                    });
                }
                33 => {
                    self.record.line(format!("host {name}: {id:016x} is given up"));
                    given_up.lock().unwrap().insert(id);
                }
                34 | 35 => _ = writer.lock().unwrap().write_all(&frame(134, id, "", b"")),
                36 => {
                    let copies: u32 = field("replicas").and_then(|count| count.parse().ok()).unwrap_or(0);
                    self.record.line(format!("host {name}: order {fields}"));
                    let mut models = models.lock().unwrap();
                    let ready_at = match models.get(&object).copied() {
                        Some(at) => Some(at),
                        None if copies > 0 => Some(*models.entry(object).or_insert(now + self.load_ms)),
                        None => None,
                    };
                    let standing = u32::from(ready_at.is_some_and(|at| at <= now) || self.full_stock);
                    let wait = if copies > 0 && standing == 0 { self.load_ms as u64 } else { 0 };
                    let count = if copies > 0 { 1 } else { standing };
                    let writer = writer.clone();
                    std::thread::spawn(move || {
                        pause(wait);
                        let answer = frame(128, id, &format!("replicas={count}"), b"");
                        let _ = writer.lock().unwrap().write_all(&answer);
                    });
                }
                38 => _ = models.lock().unwrap().remove(&format!("{id:016x}")),
                _ => break,
            }
        }
        closed.store(true, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// Reads a frame of an invoker: code, id, fields and body.
fn read_frame(socket: &mut TcpStream) -> Option<(u8, u64, String, Vec<u8>)> {
    let mut head = [0; 16];
    socket.read_exact(&mut head).ok()?;
    let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
    let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
    if head[0] != 254 || body > 1 << 20 {
        return None;
    }
    let mut rest = vec![0; fields + body + 4];
    socket.read_exact(&mut rest).ok()?;
    if crc32(&rest[..fields + body]).to_be_bytes() != rest[fields + body..] {
        return None;
    }
    let id = u64::from_be_bytes([head[8], head[9], head[10], head[11], head[12], head[13], head[14], head[15]]);
    let text = String::from_utf8(rest[..fields].to_vec()).ok()?;
    Some((head[1], id, text, rest[fields..fields + body].to_vec()))
}

// ---------------------------------------------------------------------------------------------------------------
// The platform

/// One entry of a list of hosts.
pub fn endpoint(name: &str, address: SocketAddr, zone: &str, cell: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"std-3c","group":{cell},"status":"{status}","weight":1,"since_ms":0}}"#
    )
}

pub fn nodes(cursor: u64, whole: bool, endpoints: &[String]) -> String {
    let list = endpoints.join(",");
    format!(r#"{{"cursor":{cursor},"nodes":{{"index":{cursor},"snapshot":{whole},"endpoints":[{list}]}}}}"#)
}

/// A command channel that has nothing to tell beyond what was known at the start: a comment each second.
pub fn quiet_channel() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the channel");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut reader = BufReader::new(socket.try_clone().expect("a second handle"));
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|size| size > 2) {
                    line.clear();
                }
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n";
                let mut text: &[u8] = head.as_bytes();
                while socket.write_all(text).is_ok() {
                    text = b":\n\n";
                    pause(1000);
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------------------------
// Clients at the Thrift front

fn text(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes(), bytes].concat()
}

fn message(kind: u8, method: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    text(&[&[0x80, 1, 0, kind][..], &text(method.as_bytes()), &seqid.to_be_bytes(), arguments].concat())
}

/// A request of the class `check` (safe to repeat) or `post` (keyed).
pub fn dispatch(seqid: i32, class: &str, id: u64, model: u64, allow_ms: u32, body: &[u8]) -> Vec<u8> {
    let key = format!("{:032x}", u128::from(id) * 7919);
    let (id, model, allow) = (format!("{id:016x}"), format!("{model:016x}"), allow_ms.to_string());
    let mut fields = vec![
        ("service", class),
        ("ref", &id),
        ("allow", &allow),
        ("project", "regie-desk"),
        ("lookup", &model),
        ("effort", "100"),
        ("info", "memory_mb:512;lanes:2"),
    ];
    if class == "post" {
        fields.push(("replay", &key));
    }
    let mut arguments = vec![13, 0, 1, 11, 11];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        arguments.extend([text(name.as_bytes()), text(value.as_bytes())].concat());
    }
    arguments.extend([&[11, 0, 2][..], &text(body), &[0]].concat());
    message(1, "dispatch", seqid, &arguments)
}

pub fn cancel(seqid: i32) -> Vec<u8> {
    message(4, "cancelRequest", 0, &[&[8, 0, 1][..], &seqid.to_be_bytes(), &[0]].concat())
}

pub fn alive(seqid: i32) -> Vec<u8> {
    message(1, "alive", seqid, &[2, 0, 1, 1, 0])
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Served(Vec<u8>),
    Refused,
    Failed,
}

pub struct Client(pub TcpStream);

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_millis(1000)).ok()?;
        socket.set_nodelay(true).ok()?;
        Some(Client(socket))
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// The next reply with its sequence number; `None` if none comes in time or the connection ends.
    pub fn receive(&mut self, within_ms: u64) -> Option<(i32, Reply)> {
        self.0.set_read_timeout(Some(Duration::from_millis(within_ms))).ok()?;
        let mut size = [0; 4];
        self.0.read_exact(&mut size).ok()?;
        let mut bytes = vec![0; u32::from_be_bytes(size) as usize];
        self.0.read_exact(&mut bytes).ok()?;
        let kind = *bytes.get(3)?;
        let name = u32::from_be_bytes(bytes.get(4..8)?.try_into().ok()?) as usize;
        let seqid = i32::from_be_bytes(bytes.get(8 + name..12 + name)?.try_into().ok()?);
        let result = bytes.get(12 + name..)?;
        if kind == 3 {
            return Some((seqid, Reply::Failed));
        }
        // The result struct: one field of the type struct, whose number tells what it is.
        match u16::from_be_bytes([*result.get(1)?, *result.get(2)?]) {
            0 => {
                let size = u32::from_be_bytes(result.get(6..10)?.try_into().ok()?) as usize;
                Some((seqid, Reply::Served(result.get(10..10 + size)?.to_vec())))
            }
            1 => Some((seqid, Reply::Refused)),
            _ => Some((seqid, Reply::Failed)),
        }
    }

    pub fn close(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// Whether an invoker answers at its clients' address.
pub fn is_alive(address: SocketAddr) -> bool {
    let Some(mut client) = Client::connect(address) else { return false };
    client.send(&alive(1)) && matches!(client.receive(1000), Some((1, Reply::Served(_))))
}

// ---------------------------------------------------------------------------------------------------------------
// HTTP

/// One HTTP call on a connection of its own: status, lower-case head and body.
pub fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within_ms: u64,
) -> Option<(u16, String, Vec<u8>)> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_millis(1000)).ok()?;
    socket.set_read_timeout(Some(Duration::from_millis(within_ms))).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    socket.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match socket.read(&mut chunk) {
            Ok(0) => break,
            Ok(size) => bytes.extend(&chunk[..size]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head, bytes[end + 4..].to_vec()))
}

/// The value of a header in a lower-case head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| line.strip_prefix(&format!("{name}:"))).map(|value| value.trim().to_string())
}

// ---------------------------------------------------------------------------------------------------------------
// The platform's configuration

/// A configuration with the figures of the site `tadla-credit`: three invokers, one hall named.
pub fn platform_config(
    listen: SocketAddr,
    admin: SocketAddr,
    channel: SocketAddr,
    endpoints: &[String],
    memory_mb: u32,
    sockets: u32,
) -> String {
    let known = nodes(1, true, endpoints);
    format!(
        r#"{{"name":"n0","listen":"{listen}","admin":"{admin}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"channel":"{channel}","known":{{"cursor":1,"cmds":[{known}]}},
"settings":{{"balancers":3,"family":"warm","me":0,"models":["std-3c","eco-2c"],"myZone":"hall-a",
"zones":["hall-a","hall-b","hall-c"],"periodMs":4.0,"registryMode":"pushed","worthBy":"work","weights":"nominal",
"overShareWorth":0.1,"stage":0,"stages":["credit-workers"],"report":{{"fields":[],"how":"off"}},
"customers":[{{"name":"regie-desk","quotaPerS":65.0,"share":0.55}},{{"name":"amana-credit","quotaPerS":40.0,"share":0.34}},
{{"name":"tadla-coop","quotaPerS":13.0,"share":0.11}}],
"classes":[
{{"name":"check","aimMs":1500.0,"giveUpMs":4000.0,"idempotency":"pure","dedupScope":"all","dedupWindowMs":5000.0,"worth":1.0,"lateWorth":0.2,"streamed":false}},
{{"name":"post","aimMs":750.0,"giveUpMs":3000.0,"idempotency":"token","dedupScope":"cell","dedupWindowMs":6000.0,"worth":2.0,"lateWorth":0.3,"streamed":false}}],
"ceilings":{{"attemptsCap":5,"cancel":true,"connIdleMs":15000.0,"connectTimeoutMs":250.0,"cpuUsPerS":80000,"maxOpen":20000,
"maxRetryAfterMs":500.0,"peers":true,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":32}},
"prices":{{"crossZone":0.04,"lateFail":0.08,"origin":0.03,"peer":0.01,"probe":0.011,"waste":0.05}},
"safety":{{"answerSlackMs":16.0,"askWithinMs":10000.0,"coldFrom":0.23,"coldMs":16000.0,"drainGraceMs":2000.0,"fallMs":2000.0,"fallMultiple":2.0}},
"specifics":{{"answerWithinMs":10000.0,"idleMemoryCost":0.1,"keepMs":8300.0,"loadFloor":0.0,"loadPart":0.0,"loadSpanMs":0.0,
"notLoaded":"miss","placementCalls":true,"ramMbByKind":[9920.0,6528.0],"saysWarm":false,"tellsCrowd":false}}}}}}"#
    )
}

// ---------------------------------------------------------------------------------------------------------------
// The daemon's deploy file

/// A node of a small deployment: the classes of `deploy/invoke.toml`, workers that speak binary frames.
pub struct Node<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub data_dir: &'a Path,
    /// The node's replication address and those of its peers.
    pub replication: Option<(SocketAddr, Vec<SocketAddr>)>,
    /// Name, address, zone and cell of each worker.
    pub workers: &'a [(String, SocketAddr, &'a str, u32)],
}

pub fn deploy_file(node: &Node) -> String {
    let mut text = format!(
        "node = \"{}\"\nlisten = \"{}\"\ndata_dir = \"{}\"\nzone = \"hall-a\"\nmemory_mb = 128\n",
        node.name,
        node.listen,
        node.data_dir.display()
    );
    if let Some((listen, peers)) = &node.replication {
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        text.push_str(&format!("[replication]\nlisten = \"{listen}\"\npeers = [{}]\n", peers.join(", ")));
    }
    text.push_str(
        r#"[transport]
protocol = "frames"
[[class]]
name = "check"
aim_ms = 1500
give_up_ms = 4000
effect = "pure"
worth = 1
late_worth = 0.2
[[class]]
name = "post"
aim_ms = 750
give_up_ms = 3000
effect = "token"
dedup_scope = "cell"
dedup_window_ms = 6000
worth = 2
late_worth = 0.3
[[tenant]]
name = "regie-desk"
quota_per_s = 65
[[function]]
name = "score-household"
class = "check"
tenant = "regie-desk"
memory_mb = 512
lanes = 2
[[function]]
name = "grant-meter-loan"
class = "post"
tenant = "regie-desk"
memory_mb = 512
"#,
    );
    for (name, address, zone, cell) in node.workers {
        text.push_str(&format!(
            "[[worker]]\nname = \"{name}\"\naddress = \"{address}\"\nzone = \"{zone}\"\ncell = {cell}\n"
        ));
    }
    text
}

/// Hands a keyed call over for later; its path if it was accepted (202).
pub fn hand_over(address: SocketAddr, key: &str, body: &str) -> Option<String> {
    let headers = [("Prefer", "respond-async"), ("Idempotency-Key", key)];
    let path = "/v1/functions/grant-meter-loan/invocations";
    let (status, head, _) = http(address, "POST", path, &headers, body.as_bytes(), 5000)?;
    (status == 202).then(|| header(&head, "location")).flatten()
}
