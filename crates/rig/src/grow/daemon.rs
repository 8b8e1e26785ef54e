//! The daemon under test: it serves the platform's front and can be limited to a share of a core.
use crate::faults::channel::Channel;
use crate::faults::process::settings;
use crate::scale::process::{usage, OwnedChild, Usage};
use serde_json::json;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of descriptors in the daemon's configuration.
const MAX_DESCRIPTORS: u64 = 544;
/// Number of invokers that share the fleet, as the configuration states it.
const FLEET_INVOKERS: u32 = 300;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the daemon's CPU time and its readiness are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const BYTES_PER_KIB: f64 = 1024.0;
/// Burst allowance: CPU time that the daemon may be ahead of its share, as wall-clock time at that share.
const BURST_ALLOWANCE: Duration = Duration::from_millis(20);

/// A running daemon process; it is killed when this value is dropped.
pub struct Daemon {
    child: Arc<OwnedChild>,
    /// The address that accepts client connections.
    pub address: SocketAddr,
    log: PathBuf,
    /// Time from the start until connections were accepted.
    pub startup_time: Duration,
    is_running: Arc<AtomicBool>,
    throttle: Option<JoinHandle<()>>,
}

/// Configuration of the daemon.
pub struct Setup<'a> {
    /// Path of the daemon's executable.
    pub program: &'a Path,
    /// Folder for the daemon's files.
    pub folder: &'a Path,
    /// Zone names; the daemon's own zone comes first.
    pub zones: &'a [String],
    /// Client timeout, in milliseconds.
    pub allowed_ms: u64,
    /// Deduplication window of the class with idempotency keys, in milliseconds.
    pub window_ms: u64,
    /// Share of a core that the daemon may use (1.0 is a whole core); unlimited if `None`.
    pub core_share: Option<f64>,
    /// Memory limit, in MB.
    pub memory_mb: u64,
    /// Whether workers load a model when it is called; otherwise they wait for load orders.
    pub loads_on_call: bool,
}

impl Daemon {
    /// Starts the daemon and waits until it accepts connections.
    pub fn start(setup: &Setup<'_>, channel: &Channel) -> io::Result<Self> {
        std::fs::create_dir_all(setup.folder)?;
        let config = setup.folder.join("config.json");
        std::fs::write(&config, configuration(setup, channel).to_string())?;
        let log_path = setup.folder.join("log");
        let log = OpenOptions::new().write(true).create(true).truncate(true).open(&log_path)?;
        let address = free_address()?;
        let child = Arc::new(spawn(setup, &config, address, log)?);
        let is_running = Arc::new(AtomicBool::new(true));
        let throttle = setup.core_share.map(|share| {
            let (child, is_running) = (child.clone(), is_running.clone());
            std::thread::spawn(move || throttle(&child, share, &is_running))
        });
        let began = Instant::now();
        let mut daemon =
            Daemon { child, address, log: log_path, startup_time: Duration::ZERO, is_running, throttle };
        while TcpStream::connect(address).is_err() {
            if began.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other(
                    "the daemon did not accept connections within the start timeout",
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        daemon.startup_time = began.elapsed();
        Ok(daemon)
    }

    /// CPU time used so far and current resident memory.
    pub fn usage(&self) -> io::Result<Usage> {
        self.child.usage()
    }

    /// Peak resident memory since the start, in bytes.
    pub fn peak_resident(&self) -> io::Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok());
        Ok(kib.ok_or_else(|| io::Error::other("/proc status has no VmHWM line"))? * BYTES_PER_KIB)
    }

    /// Contents of the daemon's log.
    pub fn log(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.log)
    }

    /// Makes the daemon log its counters and memory accounts.
    pub fn log_counters(&self) -> io::Result<()> {
        self.child.log_counters()
    }

    /// Number of descriptors that the daemon has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.is_running.store(false, Ordering::Relaxed);
        self.throttle.take().into_iter().for_each(|throttle| _ = throttle.join());
    }
}

fn spawn(setup: &Setup<'_>, config: &Path, address: SocketAddr, log: File) -> io::Result<OwnedChild> {
    OwnedChild::start(
        Command::new(setup.program)
            .env("PROXY_CONFIG", config)
            .env("PROXY_LISTEN", address.to_string())
            .env("TMPDIR", setup.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log),
    )
}

/// Returns a free address on a loopback host derived from the process id, so that parallel processes don't collide.
fn free_address() -> io::Result<SocketAddr> {
    let process = std::process::id();
    let host = Ipv4Addr::new(127, 59, (process >> 8) as u8, (process as u8).max(1));
    TcpListener::bind((host, 0))?.local_addr()
}

/// Limits the process to its share of a core: suspends it while its CPU time exceeds the share plus the burst
/// allowance.
fn throttle(child: &OwnedChild, share: f64, is_running: &AtomicBool) {
    let began = Instant::now();
    let mut is_stopped = false;
    // Reading the usage fails once the process has ended; the loop ends then.
    while let (true, Ok(used)) = (is_running.load(Ordering::Relaxed), usage(child.id())) {
        let allowed = (began.elapsed() + BURST_ALLOWANCE).as_secs_f64() * share;
        let exceeds_share = used.cpu_s > allowed;
        if exceeds_share != is_stopped {
            let _ = if exceeds_share { child.suspend() } else { child.resume() };
            is_stopped = exceeds_share;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let _ = child.resume();
}

fn configuration(setup: &Setup<'_>, channel: &Channel) -> serde_json::Value {
    let mut settings = settings(setup.allowed_ms, setup.window_ms);
    settings["balancers"] = json!(FLEET_INVOKERS);
    settings["zones"] = json!(setup.zones);
    settings["myZone"] = json!(setup.zones[0]);
    let not_loaded = if setup.loads_on_call { "load" } else { "miss" };
    settings["specifics"] = json!({"answerWithinMs": 4000.0, "keepMs": 8000.0, "notLoaded": not_loaded,
                                   "placementCalls": !setup.loads_on_call, "ramMbByKind": [10000.0]});
    settings["prices"] = json!({"crossZone": 0.04, "probe": 0.011, "origin": 0.03});
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "seed": "0000000000000001",
        "limits": {"cores": setup.core_share.unwrap_or(1.0), "memory_mb": setup.memory_mb, "sockets": MAX_DESCRIPTORS},
        "channel": channel.address.to_string(), "known": channel.initial_state(), "settings": settings
    })
}
