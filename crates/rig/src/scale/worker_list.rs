//! The experiment `worker-list`: bytes, CPU and memory of the worker list, from the command channel and from the
//! catalog. It runs the components of the daemon that read the list, without sockets.
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

/// Size of the daemon's reads from the command channel, in bytes.
const READ_CHUNK_BYTES: usize = 4096;
/// Memory limit of an invoker, in MB, as planned for production.
const PLANNED_MEMORY_MB: usize = 256;
/// Memory limit, in MB, so large that no cap of an account is reached.
const AMPLE_MEMORY_MB: usize = 8192;
/// Memory that a daemon uses before it holds any data, in MB.
const BASE_MEMORY_MB: usize = 16;
/// Share of the memory reserved for allocations that no account covers, in percent.
const RESERVE_PERCENT: f64 = 15.0;
const FIRST_PORT: usize = 10_000;
const PORT_COUNT: usize = 40_000;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of workers in the list.
    #[arg(long, value_delimiter = ',', default_values_t = [64, 256, 1024, 4096])]
    pub workers: Vec<usize>,
    /// Number of zones.
    #[arg(long, default_value_t = 10)]
    pub zones: usize,
    /// Number of repetitions at each size; each reads a whole list and changes.
    #[arg(long, default_value_t = 5)]
    pub plays: usize,
    /// Number of single-worker changes per repetition.
    #[arg(long, default_value_t = 40)]
    pub changes: usize,
}

/// Runs the experiment and returns its measurements.
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

/// Starts the coroutine library, so that its start is not counted at the first size.
fn warm_up(options: &Options) -> Result<(), ScaleError> {
    let invoker = invoker(options, &ledger(AMPLE_MEMORY_MB)?);
    read_event(&event(1, true, &[0], options), &invoker)?;
    Ok(())
}

type AddMeasurement<'a> = dyn FnMut(&str, f64, &str) + 'a;

/// Measures whole lists and single changes from the command channel: reading the stream, parsing the JSON text, and
/// applying the result to the invoker.
fn measure_channel(
    workers: usize,
    options: &Options,
    rng: &mut ChaCha8Rng,
    add: &mut AddMeasurement,
) -> Result<(), ScaleError> {
    let ledger = ledger(AMPLE_MEMORY_MB)?;
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
    add("channel: CPU of telling it", median(|reading| reading.apply, &lists), "us");
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

/// Measures the directory alone: whole lists of known workers, and changes of one worker.
fn measure_directory(workers: usize, options: &Options, add: &mut AddMeasurement) {
    let account = corkbay_ledger::Account::root("scale", usize::MAX >> 8);
    let names = Names { zones: zone_names(options), ..Names::default() };
    let mut directory = WorkerDirectory::new(&names, &account);
    let listings = || (0..workers).map(|number| listing(number, options)).collect::<Vec<_>>();
    directory.apply(listings(), true, false);
    let (mut lists, mut changes) = (Vec::new(), Vec::new());
    for repetition in 0..options.plays {
        let known = listings();
        lists.push(cpu_of(|| _ = directory.apply(known, true, false)));
        let change = vec![listing(repetition % workers, options)];
        changes.push(cpu_of(|| _ = directory.apply(change, false, false)));
    }
    add("directory: CPU of a list that is known", median(lists), "us");
    add("directory: CPU of a change of one worker", median(changes), "us");
}

/// Measures workers that are stored in the catalog.
fn measure_catalog(workers: usize, options: &Options, add: &mut AddMeasurement) -> Result<(), ScaleError> {
    let ledger = ledger(AMPLE_MEMORY_MB)?;
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
    for repetition in 0..options.plays {
        let number = repetition % workers.max(1);
        let changed = Worker { weight: 2.0 + repetition as f64, ..worker(number, options) };
        catalog.put_worker(&worker_name(number), &changed).map_err(failed)?;
        announced.push(cpu_of(|| catalog.announce_worker(&invoker, &worker_name(number))));
        listed.push(cpu_of(|| _ = catalog.listed_workers().into_text()));
    }
    add("catalog: CPU of announcing a change", median(announced), "us");
    add("catalog: CPU of GET /v1/workers", median(listed), "us");
    Ok(())
}

/// Measures how many workers of a list fit into the planned memory of an invoker.
fn measure_room(workers: usize, options: &Options, add: &mut AddMeasurement) {
    let Ok(ledger) = ledger(PLANNED_MEMORY_MB) else { return };
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

/// CPU time of each step of reading an event.
struct Reading {
    stream: Duration,
    json: Duration,
    apply: Duration,
}

impl Reading {
    fn all(&self) -> Duration {
        self.stream + self.json + self.apply
    }
}

/// Reads one event as the daemon does: decodes the stream chunk by chunk, parses the JSON and applies it to the
/// invoker.
fn read_event(bytes: &[u8], invoker: &Arc<Invoker>) -> Result<Reading, ScaleError> {
    let mut stream = Stream::default();
    let mut events = Vec::new();
    let began = thread_cpu();
    for chunk in bytes.chunks(READ_CHUNK_BYTES) {
        events.extend(stream.feed(chunk).map_err(failed)?);
    }
    let streamed = thread_cpu();
    let event =
        events.first().ok_or_else(|| ScaleError::Failed("the stream decoder returned no event".into()))?;
    let news: ChannelEvent = serde_json::from_str(&event.data).map_err(failed)?;
    let parsed = thread_cpu();
    news.remember(invoker);
    let applied = thread_cpu();
    Ok(Reading { stream: streamed - began, json: parsed - streamed, apply: applied - parsed })
}

/// One event of the command channel that lists some workers, preceded by the head of the HTTP response.
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
        cell: Some(cell(number, options)),
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
        cell: Some(cell(number, options)),
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

/// Address of a worker; no connection is made to it.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + number % PORT_COUNT) as u16))
}

fn ledger(memory_mb: usize) -> Result<Arc<Ledger>, ScaleError> {
    let keys = ("memory_mb", "memory.shares");
    let budget =
        Budget::plan(memory_mb * MIB, BASE_MEMORY_MB * MIB, RESERVE_PERCENT, &Shares::daemon(), keys);
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
    span.as_secs_f64() * MICROSECONDS_PER_SECOND
}

fn median(mut spans: Vec<Duration>) -> f64 {
    spans.sort_unstable();
    spans.get(spans.len() / 2).map_or(0.0, |span| microseconds(*span))
}

fn failed(error: impl std::fmt::Display) -> ScaleError {
    ScaleError::Failed(error.to_string())
}

/// Worker transport that fails every operation; the experiment makes no calls.
struct NoWorkers;

/// Exchange of an attempt that was never sent.
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
