//! One run: a daemon serves requests with a fleet of a given size, through a sequence of phases.
use super::daemon::{Daemon, Setup};
use super::workers::SimulatedWorkers;
use crate::faults::channel::Channel;
use crate::faults::client::{self, FunctionMix, Target};
use crate::faults::log::Log;
use crate::faults::records::{DrainNotice, Millis, Records, RequestOutcome};
use crate::faults::verdict::{judge, Rule, Violation};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const CELLS: usize = 18;
const FUNCTIONS: u64 = 40;
const CLIENTS: usize = 4;
const DEDUP_WINDOW_MS: u64 = 3000;
/// A release replaces one in this many workers.
const RELEASED_ONE_IN: usize = 3;
/// Number of steps of a release.
const RELEASE_STEPS: usize = 7;
/// Fraction of the phase for which a lost zone stays away.
const ZONE_OUTAGE_FRACTION: f64 = 0.6;
/// Fraction of the phase for which discovery is silent.
const SILENCE_FRACTION: f64 = 0.6;
/// Text that the daemon logs when its memory doesn't hold all listed workers.
const NO_ROOM_LOG_TEXT: &str = "there is no room for all workers";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Extra time, after the client timeout, for requests that are unanswered at the end of the run.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(1000);

/// What happens to the fleet during one phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Phase {
    /// No injected fault.
    Steady,
    /// More than half of the calls go to one function.
    HotFunction,
    /// A third of the workers is replaced by new ones with no models loaded.
    Release,
    /// The workers of one zone end and come back with no models loaded.
    ZoneLost,
    /// The discovery connection breaks, stays silent, and comes back.
    DiscoverySilent,
}

/// All phases, in the order in which a run executes them by default.
pub const PHASES: [Phase; 5] =
    [Phase::Steady, Phase::HotFunction, Phase::Release, Phase::ZoneLost, Phase::DiscoverySilent];

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct GrowthRun {
    /// Number of workers listed at a time.
    pub workers: usize,
    /// Phases, in the order in which they are executed.
    pub phases: Vec<Phase>,
    /// Duration of each phase.
    pub phase: Duration,
    /// Requests per second.
    pub rate: f64,
    /// Client timeout, in milliseconds.
    pub allowed_ms: u64,
    /// Share of a core that the daemon may use (1.0 is a whole core); unlimited if `None`.
    pub core_share: Option<f64>,
    /// Memory limit of the daemon, in MB.
    pub memory_mb: u64,
    /// Seed of the random draws.
    pub seed: u64,
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Folder for the daemon's files.
    pub folder: PathBuf,
}

/// Measurements of one run.
#[derive(Debug)]
pub struct Reading {
    /// Number of workers listed at a time.
    pub workers: usize,
    /// Time from the daemon's start until it accepted connections.
    pub startup_time: Duration,
    /// CPU time of the daemon over the whole run, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory of the daemon, in bytes.
    pub peak_resident: f64,
    /// Peak number of open descriptors of the daemon.
    pub peak_descriptors: f64,
    /// Number of connections that workers accepted.
    pub connections_made: f64,
    /// Bytes that the command channel sent.
    pub list_bytes: f64,
    /// Number of requests sent.
    pub requests: usize,
    /// Fraction of the requests that were served, leaving out those that clients abandoned.
    pub served: f64,
    /// Whether the daemon had no room for some of the listed workers.
    pub has_unlisted_workers: bool,
    /// Rule violations found in the records.
    pub violations: Vec<Violation>,
}

impl Reading {
    /// Number of violations of each rule.
    pub fn violations_by_rule(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.violations.iter().for_each(|found| *counts.entry(found.rule).or_default() += 1);
        counts
    }
}

impl GrowthRun {
    /// Executes the run and returns its measurements.
    pub fn execute(&self) -> io::Result<Reading> {
        let fleet = Fleet::start(self)?;
        let setup = Setup {
            program: &self.program,
            folder: &self.folder,
            zones: &ZONES.map(String::from),
            allowed_ms: self.allowed_ms,
            window_ms: DEDUP_WINDOW_MS,
            core_share: self.core_share,
            memory_mb: self.memory_mb,
            loads_on_call: false,
        };
        let daemon = Daemon::start(&setup, &fleet.channel)?;
        let flags = ClientFlags::default();
        let target = Target {
            daemon: 0,
            address: daemon.address,
            allowed_ms: self.allowed_ms,
            seed: self.seed,
            is_open: flags.is_open.clone(),
            is_running: flags.is_running.clone(),
            functions: FunctionMix { count: FUNCTIONS, is_skewed: true, is_hot: flags.is_hot.clone() },
        };
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (target, log, rate) = (target.clone(), fleet.log.clone(), self.rate / CLIENTS as f64);
                std::thread::spawn(move || client::run(&target, &log, rate))
            })
            .collect();
        let mut peak_descriptors = 0.0_f64;
        let mut sample = || peak_descriptors = peak_descriptors.max(daemon.descriptors() as f64);
        for phase in &self.phases {
            fleet.run_phase(*phase, self.phase, &flags, &mut sample);
        }
        flags.is_running.store(false, Ordering::Relaxed);
        daemon.log_counters()?;
        clients.into_iter().for_each(|client| _ = client.join());
        wait(Duration::from_millis(self.allowed_ms) + FINAL_ANSWER_GRACE, &mut sample);
        let records = fleet.records();
        Ok(Reading {
            workers: self.workers,
            startup_time: daemon.startup_time,
            cpu_s: daemon.usage()?.cpu_s,
            peak_resident: daemon.peak_resident()?,
            peak_descriptors,
            connections_made: fleet.workers.connections_made() as f64,
            list_bytes: fleet.channel.bytes_sent() as f64,
            requests: records.requests.len(),
            served: served(&records),
            has_unlisted_workers: daemon.log()?.contains(NO_ROOM_LOG_TEXT),
            violations: judge(&records),
        })
    }
}

fn served(records: &Records) -> f64 {
    let not_abandoned = records.requests.iter().filter(|request| request.abandoned_at.is_none());
    let is_served = |end: &(RequestOutcome, Millis)| end.0 == RequestOutcome::Served;
    let served = not_abandoned.clone().filter(|request| request.ends.first().is_some_and(is_served)).count();
    served as f64 / not_abandoned.count().max(1) as f64
}

/// Flags that control the client threads.
struct ClientFlags {
    is_open: Arc<AtomicBool>,
    is_running: Arc<AtomicBool>,
    is_hot: Arc<AtomicBool>,
}

impl Default for ClientFlags {
    fn default() -> Self {
        let flag = |is_set| Arc::new(AtomicBool::new(is_set));
        ClientFlags { is_open: flag(true), is_running: flag(true), is_hot: flag(false) }
    }
}

/// Waits for `span` and calls `sample` at each poll interval.
fn wait(span: Duration, mut sample: impl FnMut()) {
    let began = Instant::now();
    while began.elapsed() < span {
        sample();
        std::thread::sleep(POLL_INTERVAL.min(span.saturating_sub(began.elapsed())));
    }
}

/// The workers and the command channel that lists them.
struct Fleet {
    size: usize,
    workers: SimulatedWorkers,
    channel: Channel,
    log: Log,
}

impl Fleet {
    fn start(run: &GrowthRun) -> io::Result<Self> {
        let (size, log) = (run.workers, Log::new(DEDUP_WINDOW_MS as Millis));
        let workers = SimulatedWorkers::start(size + size / RELEASED_ONE_IN, size, CELLS, &log)?;
        let list: Vec<Value> = (0..size).map(|number| endpoint(&workers, number, "up", 0.0)).collect();
        let channel = Channel::start(&list)?;
        Ok(Fleet { size, workers, channel, log })
    }

    fn records(&self) -> Records {
        let now = self.log.now();
        self.log.records().ended = now;
        self.log.records().clone()
    }

    fn run_phase(&self, phase: Phase, span: Duration, flags: &ClientFlags, mut sample: impl FnMut()) {
        match phase {
            Phase::Steady => wait(span, sample),
            Phase::HotFunction => {
                flags.is_hot.store(true, Ordering::Relaxed);
                wait(span, sample);
                flags.is_hot.store(false, Ordering::Relaxed);
            }
            Phase::Release => (0..RELEASE_STEPS).for_each(|step| {
                self.release(step);
                wait(span / RELEASE_STEPS as u32, &mut sample);
            }),
            Phase::ZoneLost => {
                let zone: Vec<usize> = (0..self.size).filter(|number| number % ZONES.len() == 1).collect();
                self.workers.stop(zone.clone());
                wait(span.mul_f64(ZONE_OUTAGE_FRACTION), &mut sample);
                self.workers.restart(zone);
                wait(span.mul_f64(1.0 - ZONE_OUTAGE_FRACTION), sample);
            }
            Phase::DiscoverySilent => {
                self.channel.set_silent(true);
                wait(span.mul_f64(SILENCE_FRACTION), &mut sample);
                self.channel.set_silent(false);
                wait(span.mul_f64(1.0 - SILENCE_FRACTION), sample);
            }
        }
    }

    /// Executes one step of a release: a group of old workers is marked as draining and as many new ones are listed.
    fn release(&self, step: usize) {
        let replaced = self.size / RELEASED_ONE_IN;
        let old = replaced * step / RELEASE_STEPS..replaced * (step + 1) / RELEASE_STEPS;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        let drained = old.clone().map(|number| endpoint(&self.workers, number, "draining", 0.0));
        let fresh = old.clone().map(|number| endpoint(&self.workers, self.size + number, "up", since));
        self.channel.push_changes(&drained.chain(fresh).collect::<Vec<_>>());
        let notified_at = self.log.now();
        let drained = old.map(|worker| DrainNotice { worker, daemon: 0, notified_at });
        self.log.records().drained.extend(drained);
    }
}

fn endpoint(workers: &SimulatedWorkers, number: usize, status: &str, since_ms: f64) -> Value {
    json!({"name": format!("s-{number:08x}"), "address": workers.addresses[number].to_string(),
           "zone": ZONES[number % ZONES.len()], "type": "std", "group": number % CELLS,
           "status": status, "weight": 1.0, "since_ms": since_ms})
}
