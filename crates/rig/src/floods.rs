//! Runs of one daemon whose regular clients send at a steady rate while other clients flood it.
use crate::faults::channel::Channel;
use crate::faults::client::{self, FunctionMix, Target};
use crate::faults::endpoint_entry;
use crate::faults::flood::{Flood, FloodKind};
use crate::faults::log::Log;
use crate::faults::records::{ClientRequest, Millis, Records, RequestOutcome};
use crate::faults::slow_crowd;
use crate::faults::verdict::{judge, Violation};
use crate::faults::worker::Worker;
use crate::grow::daemon::{Daemon, Setup};
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The zone of the daemon and of the workers.
const ZONE: &str = "east";
const WORKERS: usize = 4;
/// Regular clients, and their requests per second.
const CLIENTS: usize = 4;
const RATE_PER_CLIENT: f64 = 25.0;
const FUNCTIONS: u64 = 4;
const DEDUP_WINDOW_MS: u64 = 3000;
/// Time before the flood, in which workers load the models.
const WARM_UP: Duration = Duration::from_millis(1500);
/// Time beyond the client timeout for which the last answers are waited for.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(1500);
/// Time for the daemon to write its counters to its log.
const LOG_DELAY: Duration = Duration::from_millis(200);
/// Texts of the log lines that a reading keeps.
const KEPT_LOG_TEXTS: [&str; 3] = ["event loop", "behind:", "caught up"];

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct FloodRun {
    /// What the flooding clients send; each kind has its own clients.
    pub kinds: Vec<FloodKind>,
    /// Number of flooding clients of each kind.
    pub connections: usize,
    /// Number of clients that connect at once and send slowly or not to the end.
    pub slow_clients: usize,
    /// How long the flood lasts.
    pub span: Duration,
    /// How long clients wait for an answer, in milliseconds.
    pub allowed_ms: u64,
    /// Memory limit of the daemon, in MB.
    pub memory_mb: u64,
    /// Share of a core that the daemon may use (1.0 is a whole core); unlimited if `None`.
    pub core_share: Option<f64>,
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Folder for the daemon's files.
    pub folder: PathBuf,
    /// Seed of the random draws.
    pub seed: u64,
}

/// Measurements of one run.
#[derive(Debug)]
pub struct FloodReading {
    /// Number of regular requests during the flood.
    pub requests: usize,
    /// Fraction of them that was served, without those that their clients abandoned.
    pub served: f64,
    /// Longest time until an answer, in milliseconds.
    pub longest_ms: Millis,
    /// Rules that were violated; an answer that is late or missing is one.
    pub violations: Vec<Violation>,
    /// CPU time that the daemon used during the flood, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory of the daemon, in bytes.
    pub peak_resident: f64,
    /// Bytes that the flooding clients wrote.
    pub flood_bytes: u64,
    /// What the daemon logged about its event loop.
    pub log_lines: Vec<String>,
}

impl fmt::Display for FloodReading {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} violations, served {:.3}, longest {:.0} ms, CPU {:.2} s, peak {:.1} MB, flood {:.1} MB",
            self.requests,
            self.violations.len(),
            self.served,
            self.longest_ms,
            self.cpu_s,
            self.peak_resident / 1e6,
            self.flood_bytes as f64 / 1e6
        )
    }
}

impl FloodRun {
    /// Executes the run and returns its measurements.
    pub fn execute(&self) -> io::Result<FloodReading> {
        let log = Log::new(DEDUP_WINDOW_MS as Millis);
        let workers: Vec<Worker> = (0..WORKERS)
            .map(|number| Worker::start_reliable(number, number % 2, &log))
            .collect::<io::Result<_>>()?;
        let list: Vec<_> = workers.iter().map(|worker| endpoint_entry(worker, "up", 0.0)).collect();
        let channel = Channel::start(&list)?;
        let daemon = Daemon::start(&self.setup(&[ZONE.to_string()]), &channel)?;
        let is_running = Arc::new(AtomicBool::new(true));
        let clients = self.start_clients(&daemon, &log, &is_running);
        std::thread::sleep(WARM_UP);
        let (began, cpu_before) = (log.now(), daemon.usage()?.cpu_s);
        let allow = Duration::from_millis(self.allowed_ms);
        let floods: Vec<Flood> = self
            .kinds
            .iter()
            .map(|kind| Flood::start(daemon.address, *kind, self.connections, allow))
            .collect();
        if self.slow_clients > 0 {
            slow_crowd::run(daemon.address, self.slow_clients, self.span);
        } else {
            std::thread::sleep(self.span);
        }
        let cpu_s = daemon.usage()?.cpu_s - cpu_before;
        is_running.store(false, Ordering::Relaxed);
        let flood_bytes = floods.iter().map(Flood::bytes_written).sum();
        std::thread::sleep(allow + FINAL_ANSWER_MARGIN);
        drop(floods);
        clients.into_iter().for_each(|client| _ = client.join());
        daemon.log_counters()?;
        std::thread::sleep(LOG_DELAY);
        log.records().ended = log.now();
        let records = records_from(&log.records(), began);
        let is_kept = |line: &&str| KEPT_LOG_TEXTS.iter().any(|text| line.contains(text));
        Ok(FloodReading {
            requests: records.requests.len(),
            served: served(&records.requests),
            longest_ms: records.requests.iter().filter_map(answer_time_ms).fold(0.0, f64::max),
            violations: judge(&records),
            cpu_s,
            peak_resident: daemon.peak_resident()?,
            flood_bytes,
            log_lines: daemon.log()?.lines().filter(is_kept).map(String::from).collect(),
        })
    }

    fn setup<'a>(&'a self, zones: &'a [String]) -> Setup<'a> {
        Setup {
            program: &self.program,
            folder: &self.folder,
            zones,
            allowed_ms: self.allowed_ms,
            window_ms: DEDUP_WINDOW_MS,
            core_share: self.core_share,
            memory_mb: self.memory_mb,
            loads_on_call: true,
        }
    }

    fn start_clients(
        &self,
        daemon: &Daemon,
        log: &Log,
        is_running: &Arc<AtomicBool>,
    ) -> Vec<std::thread::JoinHandle<()>> {
        let target = Target {
            daemon: 0,
            address: daemon.address,
            allowed_ms: self.allowed_ms,
            seed: self.seed,
            is_open: Arc::new(AtomicBool::new(true)),
            is_running: is_running.clone(),
            functions: FunctionMix::even(FUNCTIONS),
        };
        let start = |_| {
            let (target, log) = (target.clone(), log.clone());
            std::thread::spawn(move || client::run(&target, &log, RATE_PER_CLIENT))
        };
        (0..CLIENTS).map(start).collect()
    }
}

/// The records without the requests that were sent before `began`.
fn records_from(records: &Records, began: Millis) -> Records {
    let mut records = records.clone();
    records.requests.retain(|request| request.at >= began);
    records
}

/// Time until the first answer of a request, in milliseconds.
fn answer_time_ms(request: &ClientRequest) -> Option<Millis> {
    request.ends.first().map(|end| end.1 - request.at)
}

/// Fraction of the requests that were served, without those that their clients abandoned.
fn served(requests: &[ClientRequest]) -> f64 {
    let kept: Vec<_> = requests.iter().filter(|request| request.abandoned_at.is_none()).collect();
    let is_served =
        |request: &&&ClientRequest| request.ends.first().is_some_and(|end| end.0 == RequestOutcome::Served);
    kept.iter().filter(is_served).count() as f64 / kept.len().max(1) as f64
}
