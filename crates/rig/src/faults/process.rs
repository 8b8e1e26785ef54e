//! One daemon on the platform's front, with its faults, over as many processes as it takes.
use super::channel::Channel;
use super::log::Log;
use super::records::{At, Span};
use super::scenario::{soft_fault, Scenario};
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

/// The words of the control file, as `corkbay-shim` documents them.
const PAGE: u64 = 4096;
const WORD: u64 = 8;
const FIRST_FAULT: u64 = 8;
const WORDS_PER_FAULT: u64 = 4;
/// Failures of one fault at most.
const MOST_FAILURES: u64 = 50;
/// What the configuration allows.
const MEMORY_MB: u64 = 64;
const DESCRIPTORS: u64 = 512;
/// SIGKILL comes the longest deadline, counted as so much at most, and this much more after SIGTERM.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// New connections keep coming for so long behind SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(300);
const READY_WITHIN: Duration = Duration::from_secs(10);

/// A daemon that is restarted whenever it ends.
pub struct Process {
    /// Its number.
    pub number: usize,
    /// Where it listens, whichever process serves.
    pub address: SocketAddr,
    /// New connections may be made.
    pub is_open: Arc<AtomicBool>,
    folder: PathBuf,
    program: PathBuf,
    shim: PathBuf,
    control: File,
    longest: Duration,
    log: Log,
    channel: Channel,
    config: serde_json::Value,
    /// Held by whoever ends it.
    child: Mutex<Child>,
    peaks: Mutex<Peaks>,
}

/// The most that was seen of a daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peaks {
    /// Resident bytes.
    pub resident: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Peaks {
    /// Whether it kept to what its configuration allows.
    pub fn are_within_limits(&self) -> bool {
        self.resident <= MEMORY_MB << 20 && self.descriptors <= DESCRIPTORS
    }
}

/// An address where nothing listens yet. It is no other's on loopback, so that nobody takes it while no process serves.
fn free_address(number: usize) -> io::Result<SocketAddr> {
    let process = std::process::id();
    let own = Ipv4Addr::new(127, 60 + (number % 100) as u8, (process >> 8) as u8, (process as u8).max(1));
    TcpListener::bind((own, 0))?.local_addr()
}

impl Process {
    /// Starts it and waits until it listens.
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
        control.set_len(PAGE)?;
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
            longest: Duration::from_millis(scenario.allowed_ms).min(LONGEST_COUNTED),
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
        let began = Instant::now();
        while std::net::TcpStream::connect(self.address).is_err() {
            if began.elapsed() > READY_WITHIN {
                return Err(io::Error::other(format!("daemon {} is not ready", self.number)));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn set(&self, word: u64, value: u64) -> io::Result<()> {
        self.control.write_all_at(&value.to_ne_bytes(), word * WORD)
    }

    /// Steps its wall clock by so many seconds.
    pub fn step_clock(&self, seconds: f64) -> io::Result<()> {
        let mut bytes = [0; WORD as usize];
        self.control.read_exact_at(&mut bytes, 0)?;
        self.set(0, (i64::from_ne_bytes(bytes) + (seconds * 1e9) as i64) as u64)
    }

    /// Has each so many-th call of a kind fail for a while.
    pub fn fail_calls(&self, fault: usize, period: u64) -> io::Result<()> {
        let (call, error, _) = soft_fault(fault);
        let first = FIRST_FAULT + call * WORDS_PER_FAULT;
        self.set(first + 1, error)?;
        self.set(first + 2, MOST_FAILURES)?;
        self.set(first, period)
    }

    /// Signals it, unless it is just being ended.
    pub fn signal(&self, signal: Signal) {
        if let Ok(child) = self.child.try_lock() {
            send(&child, signal);
        }
    }

    /// Stops it for that long.
    pub fn pause(&self, span: Duration) {
        let Ok(child) = self.child.try_lock() else { return };
        let from = self.log.now();
        send(&child, Signal::STOP);
        std::thread::sleep(span);
        send(&child, Signal::CONT);
        self.log.records().paused.push(Span { daemon: self.number, from, to: self.log.now() });
    }

    /// SIGTERM, SIGKILL as early as it may come, and a new process.
    pub fn terminate(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        let began = Instant::now();
        send(&child, Signal::TERM);
        std::thread::sleep(STILL_COMING);
        self.is_open.store(false, Ordering::Relaxed);
        while began.elapsed() < self.longest + KILL_MARGIN && child.try_wait()?.is_none() {
            std::thread::sleep(Duration::from_millis(2));
        }
        child.kill()?;
        self.replace(&mut child)
    }

    /// SIGKILL, and a new process.
    pub fn kill(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        let at = self.log.now();
        child.kill()?;
        self.log.records().killed.push((self.number, at));
        self.is_open.store(false, Ordering::Relaxed);
        self.replace(&mut child)
    }

    fn replace(&self, child: &mut Child) -> io::Result<()> {
        child.wait()?;
        // A new process is given what the channel has told by now.
        write_config(&self.folder, &self.config, &self.channel)?;
        *child = spawn(&self.program, &self.shim, &self.folder, self.address)?;
        self.wait_until_ready()?;
        self.is_open.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Notes what it takes, and whether it has ended by itself; it is started anew then.
    pub fn look(&self) -> io::Result<()> {
        let Ok(mut child) = self.child.try_lock() else { return Ok(()) };
        if child.try_wait()?.is_some() {
            let at: At = self.log.now();
            self.log.records().crashed.push((self.number, at));
            return self.replace(&mut child);
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

    /// The most that was seen of it.
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

fn send(child: &Child, signal: Signal) {
    if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        // It may have ended.
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
    config["known"] = channel.known();
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
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
        "channel": channel.address.to_string(), "known": channel.known(), "settings": settings
    })
}

/// The platform's settings that all days share: how long clients wait and the window of the keyed class, in milliseconds.
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
