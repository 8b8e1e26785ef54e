//! A soak under faults on the platform's front: several daemons, stand-in clients, workers and command channels, and
//! troubles drawn from a seed. The verdict comes from what clients and workers wrote down.
//!
//! | module | job |
//! | --- | --- |
//! | `scenario` | what happens, from a seed |
//! | `records`, `log` | what is written down |
//! | `verdict` | the operators' rules on it |
//! | `process` | a daemon with its faults |
//! | `client`, `worker`, `channel`, `thrift` | its surroundings |
pub(crate) mod channel;
pub(crate) mod client;
pub(crate) mod log;
pub(crate) mod process;
pub mod records;
mod scenario;
mod thrift;
pub mod verdict;
mod worker;

use channel::{endpoint, Channel};
use client::{FunctionMix, Target};
use log::Log;
use process::Process;
use records::{At, Drained, End, Records, CLASSES};
use rustix::process::Signal;
pub use scenario::{Scenario, Trouble};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use verdict::{judge, Break};
use worker::Worker;

/// Functions that are called.
const FUNCTIONS: u64 = 7;
/// Clients of a daemon that stay.
const CLIENTS: usize = 3;
/// Connections a second of a crowd at each daemon.
const CROWD_RATE: f64 = 40.0;
/// SIGHUPs in a row, and the pause between two.
const RELOADS: usize = 3;
const RELOAD_PAUSE: Duration = Duration::from_millis(20);
/// What is still owed at the end has its time and a little more.
const LAST_ANSWERS: Duration = Duration::from_millis(1500);
const LOOK: Duration = Duration::from_millis(50);

/// Where the program and the library to preload stand, and where files go.
#[derive(Clone, Debug)]
pub struct Places {
    /// The daemon's program.
    pub program: PathBuf,
    /// `libcorkbay_shim.so`.
    pub shim: PathBuf,
    /// For configurations and logs.
    pub folder: PathBuf,
}

/// What came of a soak.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that were asked.
    pub asked: usize,
    /// Of these, the part that was served, by class.
    pub served: [f64; CLASSES.len()],
    /// Requests that came to workers.
    pub arrivals: usize,
    /// Rules that were broken.
    pub breaks: Vec<Break>,
    /// The most resident bytes and descriptors of a daemon.
    pub peaks: (u64, u64),
    /// Whether all daemons kept to their limits.
    pub within_limits: bool,
}

struct Site {
    scenario: Scenario,
    log: Log,
    seed: u64,
    workers: Mutex<Vec<Worker>>,
    channels: Vec<Channel>,
    daemons: Vec<Arc<Process>>,
}

/// Plays the soak of a seed.
pub fn play(scenario: Scenario, seed: u64, places: &Places) -> io::Result<Outcome> {
    let site = Arc::new(Site::start(scenario, seed, places)?);
    let is_running = Arc::new(AtomicBool::new(true));
    let clients = site.start_clients(&is_running);
    let mut troubles = Vec::new();
    let (began, mut events) = (Instant::now(), site.scenario.events.clone().into_iter().peekable());
    while began.elapsed() < site.scenario.span {
        while let Some(event) = events.next_if(|event| event.at <= began.elapsed()) {
            let site = site.clone();
            troubles.push(std::thread::spawn(move || site.trouble(event.daemon, event.trouble)));
        }
        site.daemons.iter().try_for_each(|daemon| daemon.look())?;
        std::thread::sleep(LOOK);
    }
    is_running.store(false, Ordering::Relaxed);
    for trouble in troubles {
        trouble.join().map_err(|_| io::Error::other("a trouble panicked"))??;
    }
    clients.into_iter().for_each(|client| _ = client.join());
    std::thread::sleep(Duration::from_millis(site.scenario.allowed_ms) + LAST_ANSWERS);
    let now = site.log.now();
    site.log.records().ended = now;
    let records = site.log.records().clone();
    Ok(outcome(&records, &site.daemons))
}

fn outcome(records: &Records, daemons: &[Arc<Process>]) -> Outcome {
    let served = |class: usize| {
        let of_class = records.asked.iter().filter(|asked| asked.class == class && asked.gone_at.is_none());
        let is_served = |end: &(End, At)| end.0 == End::Served;
        let served = of_class.clone().filter(|asked| asked.ends.first().is_some_and(is_served)).count();
        served as f64 / of_class.count().max(1) as f64
    };
    let peaks: Vec<_> = daemons.iter().map(|daemon| daemon.peaks()).collect();
    Outcome {
        asked: records.asked.len(),
        served: std::array::from_fn(served),
        arrivals: records.arrivals.len(),
        breaks: judge(records),
        peaks: peaks
            .iter()
            .fold((0, 0), |most, peak| (most.0.max(peak.resident), most.1.max(peak.descriptors))),
        within_limits: peaks.iter().all(process::Peaks::are_within_limits),
    }
}

impl Site {
    fn start(scenario: Scenario, seed: u64, places: &Places) -> io::Result<Self> {
        let log = Log::new(scenario.window_ms as At);
        let workers: Vec<Worker> = (0..scenario.workers)
            .map(|number| Worker::start(number, number % 2, seed, &log))
            .collect::<io::Result<_>>()?;
        let list: Vec<_> = workers.iter().map(|worker| line(worker, "up", 0.0)).collect();
        let channels: Vec<Channel> =
            (0..scenario.daemons).map(|_| Channel::start(&list)).collect::<io::Result<_>>()?;
        let files = (places.program.as_path(), places.shim.as_path(), places.folder.as_path());
        let daemons = channels.iter().enumerate();
        let daemons = daemons
            .map(|(number, channel)| Process::start(number, &scenario, channel, files, &log).map(Arc::new));
        let daemons = daemons.collect::<io::Result<_>>()?;
        Ok(Site { scenario, log, seed, workers: Mutex::new(workers), channels, daemons })
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
                functions: FunctionMix::even(FUNCTIONS),
            };
            let rate = self.scenario.rate / CLIENTS as f64;
            for _ in 0..CLIENTS {
                let (target, log) = (target.clone(), self.log.clone());
                clients.push(std::thread::spawn(move || client::run(&target, &log, rate)));
            }
            if self.scenario.has_crowd {
                let log = self.log.clone();
                clients.push(std::thread::spawn(move || crowd(&target, &log)));
            }
        }
        clients
    }

    fn trouble(&self, daemon: usize, trouble: Trouble) -> io::Result<()> {
        let daemon = &self.daemons[daemon];
        let worker = |place: usize| self.workers()[place].clone();
        match trouble {
            Trouble::Terminate => daemon.terminate()?,
            Trouble::Kill => daemon.kill()?,
            Trouble::Reload => {
                for _ in 0..RELOADS {
                    daemon.signal(Signal::HUP);
                    std::thread::sleep(RELOAD_PAUSE);
                }
            }
            Trouble::Pause(ms) => daemon.pause(Duration::from_millis(ms)),
            Trouble::StepClock(seconds) => daemon.step_clock(seconds)?,
            Trouble::FailCalls(fault, period) => daemon.fail_calls(fault, period)?,
            Trouble::WorkerBreaks(place) => worker(place).break_all(),
            Trouble::WorkerSilent(place, ms) => worker(place).silence(Duration::from_millis(ms)),
            Trouble::WorkerReplaced(place) => self.replace_worker(place)?,
        }
        Ok(())
    }

    /// A worker drains, and another comes that has just started.
    fn replace_worker(&self, place: usize) -> io::Result<()> {
        let (old, fresh) = {
            let mut workers = self.workers();
            let number = workers.iter().map(|worker| worker.number).max().unwrap_or(0) + 1;
            let fresh = Worker::start(number, workers[place].rack, self.seed, &self.log)?;
            (std::mem::replace(&mut workers[place], fresh.clone()), fresh)
        };
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        for (daemon, channel) in self.channels.iter().enumerate() {
            channel.change(&[line(&old, "draining", 0.0), line(&fresh, "up", since)]);
            let told_at = self.log.now();
            self.log.records().drained.push(Drained { worker: old.number, daemon, told_at });
        }
        Ok(())
    }

    fn workers(&self) -> std::sync::MutexGuard<'_, Vec<Worker>> {
        self.workers.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn line(worker: &Worker, status: &str, since_ms: f64) -> serde_json::Value {
    endpoint(&format!("w{}", worker.number), worker.address, worker.rack, status, since_ms)
}

/// Clients that ask once and stay, one after the other.
fn crowd(target: &Target, log: &Log) {
    let mut newcomers = Vec::new();
    while target.is_running.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_secs_f64(1.0 / CROWD_RATE));
        if target.is_open.load(Ordering::Relaxed) {
            let (target, log) = (target.clone(), log.clone());
            newcomers.push(std::thread::spawn(move || client::ask_once(&target, &log)));
        }
    }
    newcomers.into_iter().for_each(|newcomer| _ = newcomer.join());
}
