//! A daemon on the Thrift front with fault injection; a new process replaces each one that ends.
use super::channel::Channel;
use super::log::Log;
use super::records::{Millis, Span};
use super::scenario::{syscall_fault, Scenario};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Size of the control file; its layout is documented in `corkbay-shim`.
const CONTROL_FILE_BYTES: u64 = 4096;
const WORD_BYTES: u64 = 8;
const FIRST_FAULT_WORD: u64 = 8;
const WORDS_PER_FAULT: u64 = 4;
/// Most failures that one system call fault causes.
const MAX_FAILURES_PER_FAULT: u64 = 50;
/// Limits in the configuration of a daemon.
const MEMORY_MB: u64 = 64;
const MAX_DESCRIPTORS: u64 = 512;
/// SIGKILL follows SIGTERM after the client timeout, capped at this, plus [`KILL_MARGIN`].
const MAX_DRAIN_WAIT: Duration = Duration::from_secs(3);
/// Time added to the client timeout before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long clients still open new connections after SIGTERM.
const CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon that is restarted whenever it ends.
pub struct Process {
    /// The daemon's number.
    pub number: usize,
    /// The address on which it listens; all its processes use the same one.
    pub address: SocketAddr,
    /// Whether clients may open new connections.
    pub is_open: Arc<AtomicBool>,
    folder: PathBuf,
    program: PathBuf,
    shim: PathBuf,
    control: File,
    drain_wait: Duration,
    log: Log,
    channel: Channel,
    config: serde_json::Value,
    /// Locked by the fault that signals or restarts the process; other faults skip it meanwhile.
    child: Mutex<Child>,
    peaks: Mutex<Peaks>,
}

/// Peak resource usage of a daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peaks {
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

impl Peaks {
    /// Whether the usage stayed within the configured limits.
    pub fn are_within_limits(&self) -> bool {
        self.resident <= MEMORY_MB << 20 && self.descriptors <= MAX_DESCRIPTORS
    }
}

/// Returns a free address. Its loopback IP is used by nothing else, so that no other program can bind the port while the
/// daemon restarts.
fn free_address(number: usize) -> io::Result<SocketAddr> {
    let process = std::process::id();
    let own = Ipv4Addr::new(127, 60 + (number % 100) as u8, (process >> 8) as u8, (process as u8).max(1));
    TcpListener::bind((own, 0))?.local_addr()
}

impl Process {
    /// Starts the daemon and waits until it listens.
    pub fn start(
        number: usize,
        scenario: &Scenario,
        channel: &Channel,
        (program, shim, folder): (&Path, &Path, &Path),
        log: &Log,
    ) -> io::Result<Self> {
        let folder = folder.join(format!("daemon-{number}"));
        std::fs::create_dir_all(&folder)?;
        let control = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(folder.join("control"))?;
        control.set_len(CONTROL_FILE_BYTES)?;
        let config = configuration(number, scenario, channel);
        write_config(&folder, &config, channel)?;
        let address = free_address(number)?;
        let child = spawn(program, shim, &folder, address)?;
        let process = Process {
            number,
            address,
            is_open: Arc::new(AtomicBool::new(true)),
            folder,
            program: program.to_path_buf(),
            shim: shim.to_path_buf(),
            control,
            drain_wait: Duration::from_millis(scenario.allowed_ms).min(MAX_DRAIN_WAIT),
            log: log.clone(),
            channel: channel.clone(),
            config,
            child: Mutex::new(child),
            peaks: Mutex::default(),
        };
        process.wait_until_ready()?;
        Ok(process)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while std::net::TcpStream::connect(self.address).is_err() {
            if started.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other(format!(
                    "daemon {} did not start listening in time",
                    self.number
                )));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn write_control_word(&self, word: u64, value: u64) -> io::Result<()> {
        self.control.write_all_at(&value.to_ne_bytes(), word * WORD_BYTES)
    }

    /// Steps the daemon's wall clock by this many seconds.
    pub fn step_clock(&self, seconds: f64) -> io::Result<()> {
        let mut bytes = [0; WORD_BYTES as usize];
        self.control.read_exact_at(&mut bytes, 0)?;
        self.write_control_word(0, (i64::from_ne_bytes(bytes) + (seconds * 1e9) as i64) as u64)
    }

    /// Fails every `period`-th system call of a kind, up to [`MAX_FAILURES_PER_FAULT`] times.
    pub fn fail_calls(&self, fault: usize, period: u64) -> io::Result<()> {
        let (call, error, _) = syscall_fault(fault);
        let first = FIRST_FAULT_WORD + call * WORDS_PER_FAULT;
        self.write_control_word(first + 1, error)?;
        self.write_control_word(first + 2, MAX_FAILURES_PER_FAULT)?;
        self.write_control_word(first, period)
    }

    /// Sends a signal, unless another fault is being injected.
    pub fn signal(&self, signal: Signal) {
        if let Ok(child) = self.child.try_lock() {
            send_signal(&child, signal);
        }
    }

    /// Stops the process for this time.
    pub fn pause(&self, span: Duration) {
        let Ok(child) = self.child.try_lock() else { return };
        let from = self.log.now();
        send_signal(&child, Signal::STOP);
        std::thread::sleep(span);
        send_signal(&child, Signal::CONT);
        self.log.records().paused.push(Span { daemon: self.number, from, to: self.log.now() });
    }

    /// Sends SIGTERM among other signals, then SIGKILL at the earliest time the platform may send it, and starts a new process.
    pub fn terminate(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        let started = Instant::now();
        [Signal::HUP, Signal::TERM, Signal::USR1, Signal::HUP]
            .into_iter()
            .for_each(|signal| send_signal(&child, signal));
        std::thread::sleep(CONNECTIONS_AFTER_TERM);
        self.is_open.store(false, Ordering::Relaxed);
        while started.elapsed() < self.drain_wait + KILL_MARGIN && child.try_wait()?.is_none() {
            std::thread::sleep(Duration::from_millis(2));
        }
        child.kill()?;
        self.restart(&mut child)
    }

    /// Sends SIGKILL and starts a new process.
    pub fn kill(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        let at = self.log.now();
        child.kill()?;
        self.log.records().killed.push((self.number, at));
        self.is_open.store(false, Ordering::Relaxed);
        self.restart(&mut child)
    }

    fn restart(&self, child: &mut Child) -> io::Result<()> {
        child.wait()?;
        // The new process gets all events so far in its configuration.
        write_config(&self.folder, &self.config, &self.channel)?;
        *child = spawn(&self.program, &self.shim, &self.folder, self.address)?;
        self.wait_until_ready()?;
        self.is_open.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Records resource usage. If the process has ended by itself, records a crash and restarts it.
    pub fn poll(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        if child.try_wait()?.is_some() {
            let at: Millis = self.log.now();
            self.log.records().crashed.push((self.number, at));
            return self.restart(&mut child);
        }
        let pid = child.id();
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count) as u64;
        let pages = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok();
        let pages = pages.and_then(|text| text.split(' ').nth(1)?.parse::<u64>().ok()).unwrap_or(0);
        let mut peaks = self.peaks.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        peaks.descriptors = peaks.descriptors.max(descriptors);
        peaks.resident = peaks.resident.max(pages * rustix::param::page_size() as u64);
        Ok(())
    }

    /// Peak resource usage so far.
    pub fn peaks(&self) -> Peaks {
        *self.peaks.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        // Fails if the process has ended already.
        let _ = kill_process(pid, signal);
    }
}

fn spawn(program: &Path, shim: &Path, folder: &Path, address: SocketAddr) -> io::Result<Child> {
    let log = OpenOptions::new().create(true).append(true).open(folder.join("log"))?;
    Command::new(program)
        .env("PROXY_CONFIG", folder.join("config.json"))
        .env("PROXY_LISTEN", address.to_string())
        .env("TMPDIR", folder)
        .env("LD_PRELOAD", shim)
        .env("CORKBAY_SHIM", folder.join("control"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}

fn write_config(folder: &Path, config: &serde_json::Value, channel: &Channel) -> io::Result<()> {
    let mut config = config.clone();
    config["known"] = channel.initial_state();
    std::fs::write(folder.join("config.json"), config.to_string())
}

fn configuration(number: usize, scenario: &Scenario, channel: &Channel) -> serde_json::Value {
    let mut settings = settings(scenario.allowed_ms, scenario.window_ms);
    settings["balancers"] = json!(scenario.daemons);
    settings["zones"] = json!(["east"]);
    settings["myZone"] = json!("east");
    settings["specifics"] = json!({"answerWithinMs": 10000.0, "keepMs": 8000.0, "notLoaded": "load",
                                   "placementCalls": false, "ramMbByKind": [10000.0]});
    json!({
        "name": format!("n{number}"), "listen": "127.0.0.1:1", "seed": format!("{number:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_DESCRIPTORS},
        "channel": channel.address.to_string(), "known": channel.initial_state(), "settings": settings
    })
}

/// Platform settings shared by the fault soak and the growth runs. `allowed_ms` is the client timeout, `window_ms` the
/// deduplication window of the keyed class.
pub(crate) fn settings(allowed_ms: u64, window_ms: u64) -> serde_json::Value {
    let (allowed, window) = (allowed_ms as f64, window_ms as f64);
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimMs": allowed / 2.0, "giveUpMs": allowed, "idempotency": effect,
               "dedupScope": "cell", "dedupWindowMs": window, "worth": 1.0})
    };
    json!({
        "periodMs": 4.0, "models": ["std"], "customers": [{"name": "acme", "quotaPerS": 1000.0}],
        "classes": [class("check", "pure"), class("post", "token"), class("once", "side_effect")],
        "ceilings": {"attemptsCap": 5, "cancel": true, "connIdleMs": 15000.0, "streamsPerConn": 32,
                     "connectTimeoutMs": 250.0, "secondCopies": true, "retryAfter": true,
                     "maxRetryAfterMs": 500.0},
        "safety": {"drainGraceMs": 2000.0, "coldFrom": 0.25, "coldMs": 4000.0, "fallMs": 2000.0,
                   "fallMultiple": 2.0}
    })
}
