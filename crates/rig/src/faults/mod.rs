//! A soak under injected faults on the Thrift front: several daemons with simulated clients, workers and command
//! channels. The faults are drawn from a seed. The verdict is based on what the clients and workers recorded.
//!
//! | module | purpose |
//! | --- | --- |
//! | `scenario` | draws the parameters and faults of a run from a seed |
//! | `records`, `log` | hold what clients and workers record |
//! | `verdict` | checks the records against the operators' rules |
//! | `process` | runs a daemon and injects faults into it |
//! | `flood` | clients that send without a pause |
//! | `replacement` | replaces workers, also at the address of the one before |
//! | `slow_crowd` | clients that connect at once and send slowly or not to the end |
//! | `client`, `worker`, `channel`, `thrift` | simulate what a daemon talks to |
pub(crate) mod channel;
pub(crate) mod client;
pub mod flood;
pub(crate) mod log;
pub mod process;
pub mod records;
mod replacement;
mod scenario;
pub mod slow_crowd;
mod thrift;
pub mod verdict;
pub(crate) mod worker;

use channel::{endpoint, Channel};
use client::{FunctionMix, Target};
use flood::Flood;
use log::Log;
use process::Process;
use records::{Millis, Records, RequestOutcome, CLASSES};
use rustix::process::Signal;
pub use scenario::{InjectedFault, Scenario};
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use verdict::{judge, Violation};
use worker::Worker;

/// Number of functions that clients call.
const FUNCTION_COUNT: u64 = 7;
/// Long-running clients of each daemon.
const CLIENTS_PER_DAEMON: usize = 3;
/// One-shot clients that connect to each daemon per second.
const ONE_SHOT_CLIENTS_PER_S: f64 = 40.0;
/// SIGHUPs sent in a row by one reload fault.
const RELOAD_COUNT: usize = 3;
/// Time between two SIGHUPs of one reload fault.
const RELOAD_PAUSE: Duration = Duration::from_millis(20);
/// Time beyond the client timeout for which the soak waits for the last answers.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(1500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Paths of the programs and files of a soak.
#[derive(Clone, Debug)]
pub struct SoakPaths {
    /// The daemon's executable.
    pub program: PathBuf,
    /// The preload library `libcorkbay_shim.so`.
    pub shim: PathBuf,
    /// Folder for configurations and logs.
    pub folder: PathBuf,
}

/// Result of a soak.
#[derive(Debug)]
pub struct Outcome {
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Fraction of the requests served, by class, without those their clients abandoned.
    pub served: [f64; CLASSES.len()],
    /// Number of requests that workers received.
    pub arrivals: usize,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Largest resident memory (bytes) and number of open descriptors of any daemon.
    pub peaks: (u64, u64),
    /// Whether all daemons stayed within their limits.
    pub within_limits: bool,
}

struct SoakRun {
    scenario: Scenario,
    log: Log,
    seed: u64,
    workers: Mutex<Vec<Worker>>,
    /// Indices of workers whose address is being taken over; other replacements skip them.
    taken_over: Mutex<BTreeSet<usize>>,
    /// For each notice of a drain, in order, the number of its event on the command channel.
    notice_events: Mutex<Vec<usize>>,
    channels: Vec<Channel>,
    daemons: Vec<Arc<Process>>,
}

/// Runs the soak of a scenario.
pub fn run(scenario: Scenario, seed: u64, places: &SoakPaths) -> io::Result<Outcome> {
    let soak = Arc::new(SoakRun::start(scenario, seed, places)?);
    let is_running = Arc::new(AtomicBool::new(true));
    let clients = soak.start_clients(&is_running);
    let mut injections = Vec::new();
    let (started, mut events) = (Instant::now(), soak.scenario.events.clone().into_iter().peekable());
    while started.elapsed() < soak.scenario.span {
        while let Some(event) = events.next_if(|event| event.at <= started.elapsed()) {
            let soak = soak.clone();
            injections.push(std::thread::spawn(move || soak.inject(event.daemon, event.fault)));
        }
        soak.daemons.iter().try_for_each(|daemon| daemon.poll())?;
        std::thread::sleep(POLL_INTERVAL);
    }
    is_running.store(false, Ordering::Relaxed);
    for injection in injections {
        injection.join().map_err(|_| io::Error::other("a fault injection thread panicked"))??;
    }
    clients.into_iter().for_each(|client| _ = client.join());
    std::thread::sleep(Duration::from_millis(soak.scenario.allowed_ms) + FINAL_ANSWER_MARGIN);
    let now = soak.log.now();
    soak.log.records().ended = now;
    let mut records = soak.log.records().clone();
    soak.count_notices_from_delivery(&mut records);
    Ok(outcome(&records, &soak.daemons))
}

fn outcome(records: &Records, daemons: &[Arc<Process>]) -> Outcome {
    let served = |class: usize| {
        let of_class = records
            .requests
            .iter()
            .filter(|request| request.class == class && request.abandoned_at.is_none());
        let is_served = |end: &(RequestOutcome, Millis)| end.0 == RequestOutcome::Served;
        let served = of_class.clone().filter(|request| request.ends.first().is_some_and(is_served)).count();
        served as f64 / of_class.count().max(1) as f64
    };
    let peaks: Vec<_> = daemons.iter().map(|daemon| daemon.peaks()).collect();
    Outcome {
        requests: records.requests.len(),
        served: std::array::from_fn(served),
        arrivals: records.arrivals.len(),
        violations: judge(records),
        peaks: peaks
            .iter()
            .fold((0, 0), |most, peak| (most.0.max(peak.resident), most.1.max(peak.descriptors))),
        within_limits: peaks.iter().all(process::Peaks::are_within_limits),
    }
}

impl SoakRun {
    fn start(scenario: Scenario, seed: u64, places: &SoakPaths) -> io::Result<Self> {
        let log = Log::new(scenario.window_ms as Millis);
        let workers: Vec<Worker> = (0..scenario.workers)
            .map(|number| Worker::start(number, number % 2, seed, &log))
            .collect::<io::Result<_>>()?;
        let list: Vec<_> = workers.iter().map(|worker| endpoint_entry(worker, "up", 0.0)).collect();
        let channels: Vec<Channel> =
            (0..scenario.daemons).map(|_| Channel::start(&list)).collect::<io::Result<_>>()?;
        let files = (places.program.as_path(), places.shim.as_path(), places.folder.as_path());
        let daemons = channels.iter().enumerate();
        let daemons = daemons
            .map(|(number, channel)| Process::start(number, &scenario, channel, files, &log).map(Arc::new));
        let daemons = daemons.collect::<io::Result<_>>()?;
        Ok(SoakRun {
            scenario,
            log,
            seed,
            workers: Mutex::new(workers),
            taken_over: Mutex::default(),
            notice_events: Mutex::default(),
            channels,
            daemons,
        })
    }

    fn start_clients(&self, is_running: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<()>> {
        let mut clients = Vec::new();
        for daemon in &self.daemons {
            let target = Target {
                daemon: daemon.number,
                address: daemon.address,
                allowed_ms: self.scenario.allowed_ms,
                seed: self.seed,
                is_open: daemon.is_open.clone(),
                is_running: is_running.clone(),
                functions: FunctionMix::even(FUNCTION_COUNT),
            };
            let rate = self.scenario.rate / CLIENTS_PER_DAEMON as f64;
            for _ in 0..CLIENTS_PER_DAEMON {
                let (target, log) = (target.clone(), self.log.clone());
                clients.push(std::thread::spawn(move || client::run(&target, &log, rate)));
            }
            if self.scenario.has_one_shot_clients {
                let log = self.log.clone();
                clients.push(std::thread::spawn(move || run_one_shot_clients(&target, &log)));
            }
        }
        clients
    }

    fn inject(&self, daemon: usize, fault: InjectedFault) -> io::Result<()> {
        let daemon = &self.daemons[daemon];
        let worker = |index: usize| self.workers()[index].clone();
        match fault {
            InjectedFault::Terminate => daemon.terminate()?,
            InjectedFault::Kill => daemon.kill()?,
            InjectedFault::Reload => {
                for _ in 0..RELOAD_COUNT {
                    daemon.signal(Signal::HUP);
                    std::thread::sleep(RELOAD_PAUSE);
                }
            }
            InjectedFault::Pause(ms) => daemon.pause(Duration::from_millis(ms)),
            InjectedFault::StepClock(seconds) => daemon.step_clock(seconds)?,
            InjectedFault::FailCalls(number, period) => daemon.fail_calls(number, period)?,
            InjectedFault::WorkerClosesConnections(index) => worker(index).close_connections(),
            InjectedFault::WorkerSilent(index, ms) => worker(index).stop_answering(Duration::from_millis(ms)),
            InjectedFault::WorkerReplaced(index) if !self.taken_over().contains(&index) => {
                self.replace_worker(index)?;
            }
            InjectedFault::WorkerReplacedAtAddress(index) if self.taken_over().insert(index) => {
                self.replace_worker_at_address(index)?;
                self.taken_over().remove(&index);
            }
            InjectedFault::WorkerReplaced(_) | InjectedFault::WorkerReplacedAtAddress(_) => {}
            InjectedFault::Flood(kind, connections, ms) => {
                let allow = Duration::from_millis(self.scenario.allowed_ms);
                let flood = Flood::start(daemon.address, kind, connections, allow);
                std::thread::sleep(Duration::from_millis(ms));
                drop(flood);
            }
            InjectedFault::SlowCrowd(clients, ms) => {
                slow_crowd::run(daemon.address, clients, Duration::from_millis(ms));
            }
        }
        Ok(())
    }

    fn taken_over(&self) -> std::sync::MutexGuard<'_, BTreeSet<usize>> {
        self.taken_over.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn workers(&self) -> std::sync::MutexGuard<'_, Vec<Worker>> {
        self.workers.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

pub(crate) fn endpoint_entry(worker: &Worker, status: &str, since_ms: f64) -> serde_json::Value {
    endpoint(&format!("w{}", worker.number), worker.address, worker.cell, status, since_ms)
}

/// Starts clients at a steady rate; each sends one request and keeps its connection open for a while.
fn run_one_shot_clients(target: &Target, log: &Log) {
    let mut clients = Vec::new();
    while target.is_running.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_secs_f64(1.0 / ONE_SHOT_CLIENTS_PER_S));
        if target.is_open.load(Ordering::Relaxed) {
            let (target, log) = (target.clone(), log.clone());
            clients.push(std::thread::spawn(move || client::request_once(&target, &log)));
        }
    }
    clients.into_iter().for_each(|client| _ = client.join());
}
