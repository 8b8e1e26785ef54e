//! The experiment `worker-list`: bytes, CPU and memory of the list of workers, from the command channel and from
//! the catalog, in the parts of the daemon that read it and without its sockets.
use super::usage::{own_resident, thread_cpu};
use super::{Measurement, ScaleContext, ScaleError};
use clap::Args;
use corkbay::{ModelId, Ms, Names, WorkerState};
use corkbay_ledger::{Budget, Ledger, Purpose, Shares, MIB};
use corkbay_node::core::UnixTime;
use corkbay_node::core::{AttemptError, Call, Exchange, Invoker, OnAttemptEnd, Workers};
use corkbay_node::state::catalog::{Catalog, State, Worker};
use corkbay_node::state::roster::{Host, WorkerDirectory, WorkerListing};
use corkbay_node::state::store::Store;
use corkbay_node::wire::command_channel::ChannelEvent;
use corkbay_node::wire::sse::Stream;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Bytes that the daemon reads from the command channel at a time.
const CHUNK: usize = 4096;
/// Memory of an invoker in MB, as the plan has it, and of one whose caps don't matter.
const PLANNED_MEMORY: usize = 256;
const AMPLE_MEMORY: usize = 8192;
/// What a daemon takes before it holds anything, in MB.
const BASE_MEMORY: usize = 16;
/// What is kept back for what no account sees, in percent.
const RESERVE: f64 = 15.0;
const FIRST_PORT: usize = 10_000;
const PORTS: usize = 40_000;
const MICROSECONDS: f64 = 1e6;

/// What the experiment is told on the command line.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of workers in the list.
    #[arg(long, value_delimiter = ',', default_values_t = [64, 256, 1024, 4096])]
    pub workers: Vec<usize>,
    /// Zones.
    #[arg(long, default_value_t = 10)]
    pub zones: usize,
    /// Whole lists and changes that are read at each size.
    #[arg(long, default_value_t = 5)]
    pub plays: usize,
    /// Changes of one worker in a play.
    #[arg(long, default_value_t = 40)]
    pub changes: usize,
}

/// Measures and returns the figures.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    warm_up(options)?;
    let mut measurements = Vec::new();
    for &workers in &options.workers {
        let mut rng = ChaCha8Rng::seed_from_u64(context.seed);
        let size = workers as f64;
        let mut add = |row: &str, value: f64, unit: &str| {
            measurements.push(Measurement::new(row, size, value, unit));
        };
        measure_channel(workers, options, &mut rng, &mut add)?;
        measure_directory(workers, options, &mut add);
        measure_catalog(workers, options, &mut add)?;
        measure_room(workers, options, &mut add);
    }
    Ok(measurements)
}

/// Starts the coroutine library, so that the first size does not count that.
fn warm_up(options: &Options) -> Result<(), ScaleError> {
    let invoker = invoker(options, &ledger(AMPLE_MEMORY)?);
    read_event(&event(1, true, &[0], options), &invoker)?;
    Ok(())
}

type Add<'a> = dyn FnMut(&str, f64, &str) + 'a;

/// Whole lists and single changes from the command channel: reading the stream, the JSON text, and telling the
/// invoker.
fn measure_channel(
    workers: usize,
    options: &Options,
    rng: &mut ChaCha8Rng,
    add: &mut Add,
) -> Result<(), ScaleError> {
    let ledger = ledger(AMPLE_MEMORY)?;
    let resident_before = own_resident()?;
    let invoker = invoker(options, &ledger);
    let all: Vec<usize> = (0..workers).collect();
    let whole = event(1, true, &all, options);
    let first = read_event(&whole, &invoker)?;
    add("channel: memory resident after the first list", own_resident()? - resident_before, "bytes");
    add("channel: memory told of the roster", ledger.account(Purpose::Roster).used() as f64, "bytes");
    add("channel: bytes of a whole list", whole.len() as f64, "bytes");
    add("channel: CPU of the first list", microseconds(first.all()), "us");
    let mut lists = Vec::new();
    for _ in 0..options.plays {
        lists.push(read_event(&whole, &invoker)?);
    }
    let median =
        |of: fn(&Reading) -> Duration, readings: &[Reading]| median(readings.iter().map(of).collect());
    add("channel: CPU of a list that is known", median(Reading::all, &lists), "us");
    add("channel: CPU of its stream", median(|reading| reading.stream, &lists), "us");
    add("channel: CPU of its JSON", median(|reading| reading.json, &lists), "us");
    add("channel: CPU of telling it", median(|reading| reading.tell, &lists), "us");
    let mut changes = Vec::new();
    let mut bytes = 0;
    for _ in 0..options.plays * options.changes {
        let change = event(2, false, &[rng.random_range(0..workers)], options);
        bytes = change.len();
        changes.push(read_event(&change, &invoker)?);
    }
    add("channel: bytes of a change of one worker", bytes as f64, "bytes");
    add("channel: CPU of a change of one worker", median(Reading::all, &changes), "us");
    Ok(())
}

/// The directory alone: whole lists of workers that are known, and changes of one.
fn measure_directory(workers: usize, options: &Options, add: &mut Add) {
    let account = corkbay_ledger::Account::root("scale", usize::MAX >> 8);
    let names = Names { zones: zone_names(options), ..Names::default() };
    let mut directory = WorkerDirectory::new(&names, &account);
    let listings = || (0..workers).map(|number| listing(number, options)).collect::<Vec<_>>();
    directory.apply(listings(), true, false);
    let (mut lists, mut changes) = (Vec::new(), Vec::new());
    for play in 0..options.plays {
        let known = listings();
        lists.push(cpu_of(|| _ = directory.apply(known, true, false)));
        let change = vec![listing(play % workers, options)];
        changes.push(cpu_of(|| _ = directory.apply(change, false, false)));
    }
    add("directory: CPU of a list that is known", median(lists), "us");
    add("directory: CPU of a change of one worker", median(changes), "us");
}

/// The store's workers.
fn measure_catalog(workers: usize, options: &Options, add: &mut Add) -> Result<(), ScaleError> {
    let ledger = ledger(AMPLE_MEMORY)?;
    let store = Arc::new(Store::in_memory("scale", ledger.clone()));
    let catalog = Catalog::new(store, vec![]);
    for number in 0..workers {
        catalog.put_worker(&worker_name(number), &worker(number, options)).map_err(failed)?;
    }
    let invoker = invoker(options, &ledger);
    catalog.announce(&invoker);
    add("catalog: memory told of the records", ledger.account(Purpose::Catalog).used() as f64, "bytes");
    add("catalog: bytes of GET /v1/workers", catalog.listed_workers().into_text().len() as f64, "bytes");
    let (mut announced, mut listed) = (Vec::new(), Vec::new());
    for play in 0..options.plays {
        let number = play % workers.max(1);
        let changed = Worker { weight: 2.0 + play as f64, ..worker(number, options) };
        catalog.put_worker(&worker_name(number), &changed).map_err(failed)?;
        announced.push(cpu_of(|| catalog.announce_worker(&invoker, &worker_name(number))));
        listed.push(cpu_of(|| _ = catalog.listed_workers().into_text()));
    }
    add("catalog: CPU of announcing a change", median(announced), "us");
    add("catalog: CPU of GET /v1/workers", median(listed), "us");
    Ok(())
}

/// How many workers of a list fit the memory that an invoker has by the plan.
fn measure_room(workers: usize, options: &Options, add: &mut Add) {
    let Ok(ledger) = ledger(PLANNED_MEMORY) else { return };
    let invoker = invoker(options, &ledger);
    invoker.update_roster((0..workers).map(|number| listing(number, options)).collect(), true, false);
    let known = (0..workers).filter(|number| invoker.check_resume(&worker_name(*number)).is_ok()).count();
    add("roster: workers taken in with 256 MB", known as f64, "workers");
    add("roster: part of its account used", part_used(&ledger, Purpose::Roster), "of the cap");
}

fn part_used(ledger: &Ledger, purpose: Purpose) -> f64 {
    let account = ledger.account(purpose);
    account.used() as f64 / account.cap().max(1) as f64
}

/// CPU time of the steps in which an event is read.
struct Reading {
    stream: Duration,
    json: Duration,
    tell: Duration,
}

impl Reading {
    fn all(&self) -> Duration {
        self.stream + self.json + self.tell
    }
}

/// Reads one event as the daemon does: chunk by chunk from the stream, then its text, then into the invoker.
fn read_event(bytes: &[u8], invoker: &Arc<Invoker>) -> Result<Reading, ScaleError> {
    let mut stream = Stream::default();
    let mut events = Vec::new();
    let began = thread_cpu();
    for chunk in bytes.chunks(CHUNK) {
        events.extend(stream.feed(chunk).map_err(failed)?);
    }
    let streamed = thread_cpu();
    let event = events.first().ok_or_else(|| ScaleError::Failed("the event did not come out".into()))?;
    let news: ChannelEvent = serde_json::from_str(&event.data).map_err(failed)?;
    let parsed = thread_cpu();
    news.remember(invoker);
    let told = thread_cpu();
    Ok(Reading { stream: streamed - began, json: parsed - streamed, tell: told - parsed })
}

/// One event of the command channel about some workers, with the head of the response that carries it.
fn event(cursor: u64, snapshot: bool, workers: &[usize], options: &Options) -> Vec<u8> {
    let endpoints: Vec<_> = workers.iter().map(|number| endpoint(*number, options)).collect();
    let data = json!({ "cursor": cursor, "nodes": { "snapshot": snapshot, "endpoints": endpoints } });
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    format!("{head}id: {cursor}\ndata: {data}\n\n").into_bytes()
}

fn endpoint(number: usize, options: &Options) -> serde_json::Value {
    json!({
        "name": worker_name(number), "address": address(number), "zone": zone_name(number, options),
        "type": "standard", "group": cell(number, options), "status": "up", "weight": 1.0, "since_ms": 0.0,
    })
}

fn listing(number: usize, options: &Options) -> WorkerListing {
    WorkerListing {
        name: worker_name(number),
        address: address(number),
        zone: zone_name(number, options),
        kind: "standard".into(),
        cell: cell(number, options),
        state: WorkerState::Ready,
        weight: 1.0,
        since: UnixTime::NONE,
        last_contact_without_report: f64::NEG_INFINITY,
    }
}

fn worker(number: usize, options: &Options) -> Worker {
    Worker {
        address: address(number),
        zone: zone_name(number, options),
        kind: "standard".into(),
        cell: cell(number, options),
        weight: 1.0,
        state: State::Up,
    }
}

fn worker_name(number: usize) -> String {
    format!("worker-{number}")
}

fn zone_name(number: usize, options: &Options) -> String {
    format!("zone-{}", number % options.zones.max(1))
}

fn zone_names(options: &Options) -> Vec<String> {
    (0..options.zones).map(|number| zone_name(number, options)).collect()
}

fn cell(number: usize, options: &Options) -> i64 {
    (number % options.zones.max(1)) as i64
}

/// An address that nobody is called at.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + number % PORTS) as u16))
}

fn ledger(memory_mb: usize) -> Result<Arc<Ledger>, ScaleError> {
    let keys = ("memory_mb", "memory.shares");
    let budget = Budget::plan(memory_mb * MIB, BASE_MEMORY * MIB, RESERVE, &Shares::daemon(), keys);
    Ok(Arc::new(Ledger::new(&budget.map_err(failed)?, &[])))
}

fn invoker(options: &Options, ledger: &Arc<Ledger>) -> Arc<Invoker> {
    let zones = zone_names(options);
    let setup = json!({
        "classes": [{ "name": "check", "aimMs": 1500.0, "giveUpMs": 4000.0, "idempotency": "pure" }],
        "zones": zones, "myZone": "zone-0", "periodMs": 4.0, "models": ["standard"], "registryMode": "pushed",
    });
    Invoker::new(&setup, 1, Arc::new(NoWorkers), ledger.clone())
}

fn cpu_of(work: impl FnOnce()) -> Duration {
    let began = thread_cpu();
    work();
    thread_cpu() - began
}

fn microseconds(span: Duration) -> f64 {
    span.as_secs_f64() * MICROSECONDS
}

fn median(mut spans: Vec<Duration>) -> f64 {
    spans.sort_unstable();
    spans.get(spans.len() / 2).map_or(0.0, |span| microseconds(*span))
}

fn failed(error: impl std::fmt::Display) -> ScaleError {
    ScaleError::Failed(error.to_string())
}

/// Workers that nothing is sent to: no call is made here.
struct NoWorkers;

/// An attempt that went nowhere.
struct NoExchange(corkbay_node::core::CancelNotice);

impl Exchange for NoExchange {
    fn cancel(&mut self, _: corkbay_node::core::AbortReason) -> Option<AttemptError> {
        None
    }

    fn cancel_notice(&self) -> &corkbay_node::core::CancelNotice {
        &self.0
    }
}

impl Workers for NoWorkers {
    fn send(&self, _: &Arc<Host>, _: &Arc<Call>, _: Ms, _: Ms, end: OnAttemptEnd) -> Box<dyn Exchange> {
        end(Err(AttemptError::ConnectFailed));
        Box::new(NoExchange(Default::default()))
    }

    fn load(&self, _: &Arc<Host>, _: ModelId, _: u32, _: Ms, _: Duration) -> (Result<(), AttemptError>, u32) {
        (Err(AttemptError::ConnectFailed), 0)
    }

    fn evict(&self, _: &Arc<Host>, _: ModelId) {}

    fn probe(&self, _: &Arc<Host>, _: Duration) -> Result<(), AttemptError> {
        Err(AttemptError::ConnectFailed)
    }
}
