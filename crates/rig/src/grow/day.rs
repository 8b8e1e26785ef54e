//! One day of a daemon before a fleet of a size.
use super::daemon::{Daemon, Setup};
use super::workers::HollowWorkers;
use crate::faults::channel::Channel;
use crate::faults::client::{self, FunctionMix, Target};
use crate::faults::log::Log;
use crate::faults::records::{At, Drained, End, Records};
use crate::faults::verdict::{judge, Break, Rule};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const RACKS: usize = 18;
const FUNCTIONS: u64 = 40;
const CLIENTS: usize = 4;
const WINDOW_MS: u64 = 3000;
/// A release replaces this part of the workers, in so many steps.
const RELEASED: usize = 3;
const RELEASE_STEPS: usize = 7;
/// How long a zone that was lost stays away, and how long discovery is silent, as parts of a phase.
const ZONE_AWAY: f64 = 0.6;
const SILENCE: f64 = 0.6;
/// What a daemon logs that has no room for all workers.
const LEFT_OUT: &str = "there is no room for all workers";
const LOOK: Duration = Duration::from_millis(20);
/// What is still owed at the end has its time and a little more.
const LAST_ANSWERS: Duration = Duration::from_millis(1000);

/// What a day consists of, in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Phase {
    /// Nothing happens.
    Steady,
    /// More than half of the calls are of one function.
    HotFunction,
    /// A third of the workers is replaced by others that start cold.
    Release,
    /// The workers of a zone end and come back with nothing loaded.
    ZoneLost,
    /// Discovery breaks off, tells nothing, and comes back.
    DiscoverySilent,
}

/// All phases.
pub const PHASES: [Phase; 5] =
    [Phase::Steady, Phase::HotFunction, Phase::Release, Phase::ZoneLost, Phase::DiscoverySilent];

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Workers at a time.
    pub workers: usize,
    /// What happens, in this order.
    pub phases: Vec<Phase>,
    /// How long each phase takes.
    pub phase: Duration,
    /// Requests a second.
    pub rate: f64,
    /// How long clients wait, in milliseconds.
    pub allowed_ms: u64,
    /// The share of a core that the daemon gets; all it wants without.
    pub core_share: Option<f64>,
    /// The memory that the daemon may take.
    pub memory_mb: u64,
    /// What draws follow from.
    pub seed: u64,
    /// The daemon's program.
    pub program: PathBuf,
    /// Where its files go.
    pub folder: PathBuf,
}

/// What a day showed.
#[derive(Debug)]
pub struct Reading {
    /// Workers at a time.
    pub workers: usize,
    /// From the start until connections were taken.
    pub ready_after: Duration,
    /// Processor time of the daemon over the whole day, in seconds.
    pub cpu_s: f64,
    /// Its most resident bytes.
    pub peak_resident: f64,
    /// Its most open descriptors.
    pub peak_descriptors: f64,
    /// Connections that workers took.
    pub connections_made: f64,
    /// Bytes that the command channel told.
    pub list_bytes: f64,
    /// Requests that were asked.
    pub asked: usize,
    /// The part of them that was served.
    pub served: f64,
    /// Workers were listed that the daemon had no room for.
    pub left_workers_out: bool,
    /// Rules that were broken.
    pub breaks: Vec<Break>,
}

impl Reading {
    /// How often each rule was broken.
    pub fn breaks_by_rule(&self) -> BTreeMap<Rule, usize> {
        let mut counts = BTreeMap::new();
        self.breaks.iter().for_each(|found| *counts.entry(found.rule).or_default() += 1);
        counts
    }
}

impl Day {
    /// Plays the day.
    pub fn play(&self) -> io::Result<Reading> {
        let fleet = Fleet::start(self)?;
        let setup = Setup {
            program: &self.program,
            folder: &self.folder,
            zones: &ZONES.map(String::from),
            allowed_ms: self.allowed_ms,
            window_ms: WINDOW_MS,
            core_share: self.core_share,
            memory_mb: self.memory_mb,
        };
        let daemon = Daemon::start(&setup, &fleet.channel)?;
        let flags = Flags::default();
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
        let mut look = || peak_descriptors = peak_descriptors.max(daemon.descriptors() as f64);
        for phase in &self.phases {
            fleet.play(*phase, self.phase, &flags, &mut look);
        }
        flags.is_running.store(false, Ordering::Relaxed);
        daemon.log_counters()?;
        clients.into_iter().for_each(|client| _ = client.join());
        wait(Duration::from_millis(self.allowed_ms) + LAST_ANSWERS, &mut look);
        let records = fleet.records();
        Ok(Reading {
            workers: self.workers,
            ready_after: daemon.ready_after,
            cpu_s: daemon.usage()?.cpu_s,
            peak_resident: daemon.peak_resident()?,
            peak_descriptors,
            connections_made: fleet.workers.connections_made() as f64,
            list_bytes: fleet.channel.bytes_told() as f64,
            asked: records.asked.len(),
            served: served(&records),
            left_workers_out: daemon.log()?.contains(LEFT_OUT),
            breaks: judge(&records),
        })
    }
}

fn served(records: &Records) -> f64 {
    let stayed = records.asked.iter().filter(|asked| asked.gone_at.is_none());
    let is_served = |end: &(End, At)| end.0 == End::Served;
    let served = stayed.clone().filter(|asked| asked.ends.first().is_some_and(is_served)).count();
    served as f64 / stayed.count().max(1) as f64
}

/// What clients look at.
struct Flags {
    is_open: Arc<AtomicBool>,
    is_running: Arc<AtomicBool>,
    is_hot: Arc<AtomicBool>,
}

impl Default for Flags {
    fn default() -> Self {
        let flag = |is_set| Arc::new(AtomicBool::new(is_set));
        Flags { is_open: flag(true), is_running: flag(true), is_hot: flag(false) }
    }
}

/// Waits, with a look now and then.
fn wait(span: Duration, mut look: impl FnMut()) {
    let began = Instant::now();
    while began.elapsed() < span {
        look();
        std::thread::sleep(LOOK.min(span.saturating_sub(began.elapsed())));
    }
}

/// The workers with the channel that tells of them.
struct Fleet {
    size: usize,
    workers: HollowWorkers,
    channel: Channel,
    log: Log,
}

impl Fleet {
    fn start(day: &Day) -> io::Result<Self> {
        let (size, log) = (day.workers, Log::new(WINDOW_MS as At));
        let workers = HollowWorkers::start(size + size / RELEASED, size, RACKS, &log)?;
        let list: Vec<Value> = (0..size).map(|number| endpoint(&workers, number, "up", 0.0)).collect();
        let channel = Channel::start(&list)?;
        Ok(Fleet { size, workers, channel, log })
    }

    fn records(&self) -> Records {
        let now = self.log.now();
        self.log.records().ended = now;
        self.log.records().clone()
    }

    fn play(&self, phase: Phase, span: Duration, flags: &Flags, mut look: impl FnMut()) {
        match phase {
            Phase::Steady => wait(span, look),
            Phase::HotFunction => {
                flags.is_hot.store(true, Ordering::Relaxed);
                wait(span, look);
                flags.is_hot.store(false, Ordering::Relaxed);
            }
            Phase::Release => (0..RELEASE_STEPS).for_each(|step| {
                self.release(step);
                wait(span / RELEASE_STEPS as u32, &mut look);
            }),
            Phase::ZoneLost => {
                let zone: Vec<usize> = (0..self.size).filter(|number| number % ZONES.len() == 1).collect();
                self.workers.stop(zone.clone());
                wait(span.mul_f64(ZONE_AWAY), &mut look);
                self.workers.restart(zone);
                wait(span.mul_f64(1.0 - ZONE_AWAY), look);
            }
            Phase::DiscoverySilent => {
                self.channel.set_silent(true);
                wait(span.mul_f64(SILENCE), &mut look);
                self.channel.set_silent(false);
                wait(span.mul_f64(1.0 - SILENCE), look);
            }
        }
    }

    /// One step of a release: the workers of the step drain, and as many others come.
    fn release(&self, step: usize) {
        let replaced = self.size / RELEASED;
        let old = replaced * step / RELEASE_STEPS..replaced * (step + 1) / RELEASE_STEPS;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        let drained = old.clone().map(|number| endpoint(&self.workers, number, "draining", 0.0));
        let fresh = old.clone().map(|number| endpoint(&self.workers, self.size + number, "up", since));
        self.channel.change(&drained.chain(fresh).collect::<Vec<_>>());
        let told_at = self.log.now();
        let drained = old.map(|worker| Drained { worker, daemon: 0, told_at });
        self.log.records().drained.extend(drained);
    }
}

fn endpoint(workers: &HollowWorkers, number: usize, status: &str, since_ms: f64) -> Value {
    json!({"name": format!("s-{number:08x}"), "address": workers.addresses[number].to_string(),
           "zone": ZONES[number % ZONES.len()], "type": "std", "group": number % RACKS,
           "status": status, "weight": 1.0, "since_ms": since_ms})
}
