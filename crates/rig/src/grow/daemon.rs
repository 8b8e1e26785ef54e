//! The daemon of a day, on the platform's front, held to its share of a core.
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

/// Descriptors that the configuration allows.
const DESCRIPTORS: u64 = 544;
/// Invokers that the fleet is said to serve.
const INVOKERS: u32 = 300;
const READY_WITHIN: Duration = Duration::from_secs(30);
/// How often its processor time is looked at.
const LOOK: Duration = Duration::from_millis(1);
const KIB: f64 = 1024.0;
/// Processor time that it may use beyond its share so far, as a span at its share.
const BURST: Duration = Duration::from_millis(20);

/// A daemon that is ended with this value.
pub struct Daemon {
    child: Arc<OwnedChild>,
    /// Where its clients come.
    pub address: SocketAddr,
    log: PathBuf,
    /// From its start until it took connections.
    pub ready_after: Duration,
    is_running: Arc<AtomicBool>,
    throttle: Option<JoinHandle<()>>,
}

/// How the daemon is set up.
pub struct Setup<'a> {
    /// Its program.
    pub program: &'a Path,
    /// For its files.
    pub folder: &'a Path,
    /// Zones, its own first.
    pub zones: &'a [String],
    /// How long clients wait, in milliseconds.
    pub allowed_ms: u64,
    /// The window of the keyed class, in milliseconds.
    pub window_ms: u64,
    /// The share of a core that it gets; all it wants without.
    pub core_share: Option<f64>,
    /// The memory that it may take.
    pub memory_mb: u64,
}

impl Daemon {
    /// Starts it and waits until it takes connections.
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
            Daemon { child, address, log: log_path, ready_after: Duration::ZERO, is_running, throttle };
        while TcpStream::connect(address).is_err() {
            if began.elapsed() > READY_WITHIN {
                return Err(io::Error::other("the daemon is not ready in its time"));
            }
            std::thread::sleep(LOOK);
        }
        daemon.ready_after = began.elapsed();
        Ok(daemon)
    }

    /// What it has used so far.
    pub fn usage(&self) -> io::Result<Usage> {
        self.child.usage()
    }

    /// Its most resident bytes since its start.
    pub fn peak_resident(&self) -> io::Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<f64>().ok());
        Ok(kib.ok_or_else(|| io::Error::other("no peak is told"))? * KIB)
    }

    /// What it has logged.
    pub fn log(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.log)
    }

    /// Has it log its counters and accounts.
    pub fn log_counters(&self) -> io::Result<()> {
        self.child.log_counters()
    }

    /// Descriptors that it holds open.
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

/// An address where nothing listens yet, on a loopback host that no other process of this machine uses.
fn free_address() -> io::Result<SocketAddr> {
    let process = std::process::id();
    let own = Ipv4Addr::new(127, 59, (process >> 8) as u8, (process as u8).max(1));
    TcpListener::bind((own, 0))?.local_addr()
}

/// Stops the process whenever it has used more than its share, until it has not any more.
fn throttle(child: &OwnedChild, share: f64, is_running: &AtomicBool) {
    let began = Instant::now();
    let mut is_stopped = false;
    // The process may have ended.
    while let (true, Ok(used)) = (is_running.load(Ordering::Relaxed), usage(child.id())) {
        let allowed = (began.elapsed() + BURST).as_secs_f64() * share;
        let is_over = used.cpu_s > allowed;
        if is_over != is_stopped {
            let _ = if is_over { child.suspend() } else { child.resume() };
            is_stopped = is_over;
        }
        std::thread::sleep(LOOK);
    }
    let _ = child.resume();
}

fn configuration(setup: &Setup<'_>, channel: &Channel) -> serde_json::Value {
    let mut settings = settings(setup.allowed_ms, setup.window_ms);
    settings["balancers"] = json!(INVOKERS);
    settings["zones"] = json!(setup.zones);
    settings["myZone"] = json!(setup.zones[0]);
    settings["specifics"] = json!({"answerWithinMs": 4000.0, "keepMs": 8000.0, "notLoaded": "miss",
                                   "placementCalls": true, "ramMbByKind": [10000.0]});
    settings["prices"] = json!({"crossZone": 0.04, "probe": 0.011, "origin": 0.03});
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "seed": "0000000000000001",
        "limits": {"cores": setup.core_share.unwrap_or(1.0), "memory_mb": setup.memory_mb, "sockets": DESCRIPTORS},
        "channel": channel.address.to_string(), "known": channel.known(), "settings": settings
    })
}
