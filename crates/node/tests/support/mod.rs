//! Test support: the daemon as a child process, a plain HTTP client, and fake workers.
#![allow(dead_code)] // Each test file compiles this module and uses only a part of it.
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub mod counting;
pub mod faults;
pub mod late;
pub mod leaving;
pub mod nodes;
pub mod platform;
pub mod workers;

/// Configuration with one class per effect, and a function of the same name in each.
pub const CLASSES: &str = r#"
[[class]]
name = "check"
aim_ms = 1500
give_up_ms = 8000
effect = "pure"
[[class]]
name = "post"
aim_ms = 750
give_up_ms = 8000
effect = "token"
dedup_scope = "cell"
dedup_window_ms = 20000
[[class]]
name = "once"
aim_ms = 750
give_up_ms = 8000
effect = "side_effect"
[[function]]
name = "check"
class = "check"
[[function]]
name = "post"
class = "post"
[[function]]
name = "once"
class = "once"
"#;

/// Longest wait for an event that the test requires.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A temporary folder of one test, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("corkbay-test-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running daemon; killed on drop.
pub struct Daemon {
    pub child: Child,
    pub address: SocketAddr,
    pub replication: Option<SocketAddr>,
    errors: Arc<Mutex<String>>,
}

impl Daemon {
    /// Starts the HTTP front (`corkbay serve`) and waits until it listens.
    pub fn serve(deploy: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corkbay"));
        Self::listening(command.arg("serve").arg(deploy))
    }

    /// Like [`Daemon::serve`], with additional environment variables.
    pub fn serve_with(deploy: &Path, environment: &[(&str, String)]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corkbay"));
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        Self::listening(command.arg("serve").arg(deploy))
    }

    /// Like [`Daemon::serve`], with a limit on open file descriptors.
    pub fn serve_with_descriptor_limit(deploy: &Path, descriptors: u32) -> Self {
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\" serve \"$1\""));
        Self::listening(command.arg(env!("CARGO_BIN_EXE_corkbay")).arg(deploy))
    }

    /// Like [`Daemon::platform`], with a limit on open file descriptors.
    pub fn platform_with_descriptor_limit(config: &Path, address: SocketAddr, descriptors: u32) -> Self {
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\""));
        command.arg(env!("CARGO_BIN_EXE_corkbay"));
        command.env("PROXY_CONFIG", config).env("PROXY_LISTEN", address.to_string());
        command.env("TMPDIR", config.parent().expect("a folder"));
        let mut child = spawn(&mut command);
        let errors = collect_errors(&mut child);
        let daemon = Daemon { child, address, replication: None, errors };
        until("it listens", || TcpStream::connect(address).is_ok());
        daemon
    }

    fn listening(command: &mut Command) -> Self {
        let mut child = spawn(command);
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let errors = collect_errors(&mut child);
        let mut replication = None;
        let address = loop {
            let Some(Ok(line)) = lines.next() else { panic!("did not start: {}", text(&errors)) };
            if let Some(address) = line.strip_prefix("replication on ") {
                replication = Some(address.parse().expect("address"));
            }
            if let Some(address) = line.strip_prefix("invoke API on ") {
                break address.parse().expect("address");
            }
        };
        Daemon { child, address, replication, errors }
    }

    /// Starts the platform's Thrift front and waits until it listens.
    pub fn platform(config: &Path, address: SocketAddr) -> Self {
        Self::platform_with(config, address, &[])
    }

    /// Like [`Daemon::platform`], with additional environment variables.
    pub fn platform_with(config: &Path, address: SocketAddr, environment: &[(&str, String)]) -> Self {
        let daemon = Self::spawn_platform(config, address, environment);
        until("it listens", || TcpStream::connect(address).is_ok());
        daemon
    }

    /// Starts the platform's Thrift front without waiting for it to listen. `TMPDIR` is the folder of the configuration:
    /// the files that processes at one address share are created there.
    pub fn spawn_platform(config: &Path, address: SocketAddr, environment: &[(&str, String)]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corkbay"));
        command.env("PROXY_CONFIG", config).env("PROXY_LISTEN", address.to_string());
        command.env("TMPDIR", config.parent().expect("a folder"));
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        let mut child = spawn(&mut command);
        let errors = collect_errors(&mut child);
        Daemon { child, address, replication: None, errors }
    }

    /// Sends a signal. For `STOP`, waits until every thread is stopped: threads keep running until the signal reaches them.
    pub fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").arg("-c").arg(line).status().expect("sh").success());
        if name == "STOP" {
            until("all threads are stopped", || self.is_stopped());
        }
    }

    fn is_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("listed");
        let mut statuses =
            threads.flatten().map(|thread| std::fs::read_to_string(thread.path().join("status")));
        statuses.all(|status| status.is_ok_and(|status| status.contains("State:\tT")))
    }

    /// Standard error so far.
    pub fn errors(&self) -> String {
        text(&self.errors)
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("own child") {
                return status.code();
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "still running: {}", self.errors());
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(command: &mut Command) -> Child {
    command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .stdin(Stdio::null())
        .spawn()
        .expect("the program starts")
}

fn collect_errors(child: &mut Child) -> Arc<Mutex<String>> {
    let errors = Arc::new(Mutex::new(String::new()));
    let (pipe, ours) = (child.stderr.take().expect("piped"), errors.clone());
    std::thread::spawn(move || {
        for line in BufReader::new(pipe).lines().map_while(Result::ok) {
            let mut text = ours.lock().expect("whole");
            text.push_str(&line);
            text.push('\n');
        }
    });
    errors
}

fn text(errors: &Mutex<String>) -> String {
    errors.lock().expect("whole").clone()
}

/// Polls a condition until it holds; fails the test after [`TEST_TIMEOUT`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns an address on which nothing listens yet. Each call uses a loopback IP of its own: the daemon's listeners use
/// `SO_REUSEPORT`, so a free port on a common IP could be handed out twice. The socket is bound but doesn't listen: a child
/// process that another test is starting holds a copy of the descriptor between fork and exec, and a listening copy would
/// keep the caller from listening.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let (number, process) = (COUNT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let own = std::net::Ipv4Addr::new(127, 100 + (number % 100) as u8, (process >> 8) as u8, process as u8);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.bind(&SocketAddr::from((own, 0)).into()).expect("a port");
    socket.local_addr().expect("bound").as_socket().expect("an IPv4 address")
}

/// An HTTP response; header names are in lower case.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("JSON")
    }
}

/// Sends a request on a new connection and returns the connection with the response unread.
pub fn start(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> TcpStream {
    let mut socket = TcpStream::connect(address).expect("connects");
    socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    socket.write_all(&[head.as_bytes(), body].concat()).expect("written");
    socket
}

/// Sends a request on a new connection and reads the response.
pub fn ask(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Response {
    receive(&mut BufReader::new(start(address, method, path, headers, body)))
}

/// Reads one HTTP response.
pub fn receive(reader: &mut impl BufRead) -> Response {
    let (first, headers) = head(reader).expect("a response");
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status");
    let size = headers.get("content-length").and_then(|size| size.parse().ok()).unwrap_or(0);
    let mut body = vec![0; size];
    reader.read_exact(&mut body).expect("a whole body");
    Response { status, headers, body }
}

/// Reads the first line and the headers of a message; `None` if the connection has ended.
pub fn head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut line = || {
        let mut line = String::new();
        let size = reader.read_line(&mut line).ok()?;
        (size > 0).then(|| line.trim_end().to_string())
    };
    let first = line()?;
    let mut headers = HashMap::new();
    loop {
        let line = line()?;
        match line.split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
            None => return Some((first, headers)),
        }
    }
}
