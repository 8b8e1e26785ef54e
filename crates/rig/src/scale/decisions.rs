//! The experiment `decisions`: CPU and memory of the decision library, driven without I/O on a synthetic clock.
//!
//! One dispatcher gets a roster and a set of loaded copies, then requests, the ends of attempts and of load orders, and
//! its timer events. Each event is handle_timed with the CPU clock of the thread.
use super::usage::{clock_overhead, own_resident, thread_cpu};
use super::{Measurement, ScaleContext, ScaleError};
use crate::daemon::Deployment;
use clap::Args;
use corkbay::{
    Action, Dispatcher, Event, Finished, Location, ModelId, Ms, Outcome, Request, RequestId, RosterEntry,
    RosterUpdate, Settings, TableSizes, Warmth, WorkerId, WorkerState, ZoneId,
};
use corkbay_node::lifecycle::deploy::{read, Deploy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// One-way network delay between the invoker and a worker, in milliseconds.
const ONE_WAY_DELAY_MS: Ms = 1.0;
/// Execution time of a call and time of a load, in milliseconds.
const CALL_TIME_MS: Ms = 40.0;
const LOAD_TIME_MS: Ms = 400.0;
/// Client timeout, in milliseconds.
const CLIENT_TIMEOUT_MS: Ms = 4000.0;
/// Interval at which the dispatcher ranks the home workers of a model again, in milliseconds.
const RANKING_INTERVAL_MS: Ms = 1000.0;
/// Memory of a worker, in MB: more than all copies take, so that no model is evicted.
const AMPLE_MEMORY_MB: f64 = 1e12;
const COPY_MB: f64 = 64.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Command-line options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Numbers of workers, with as many functions as the first of `--functions`, but at least 512.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 4, 16, 64, 256, 1024])]
    pub workers: Vec<usize>,
    /// Numbers of functions, with `--known-workers`.
    #[arg(long, value_delimiter = ',', default_values_t = [64, 512, 4096, 25_000])]
    pub functions: Vec<usize>,
    /// Numbers of loaded copies that the dispatcher knows, with the most functions and the most workers.
    #[arg(long, value_delimiter = ',', default_values_t = [1000, 10_000, 30_000, 76_000])]
    pub copies: Vec<usize>,
    /// Workers known while functions are varied.
    #[arg(long, default_value_t = 64)]
    pub known_workers: usize,
    /// Zones.
    #[arg(long, default_value_t = 10)]
    pub zones: usize,
    /// Invokers that share the fleet.
    #[arg(long, default_value_t = 880)]
    pub invokers: u32,
    /// Calls per second of the synthetic clock.
    #[arg(long, default_value_t = 159.0)]
    pub rate: f64,
    /// Duration of each point, in seconds of the synthetic clock.
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// Zipf exponent of the popularity of functions: with 1.6 and 140,000 calls a second, half of 25,000 functions get
    /// less than one call a minute.
    #[arg(long, default_value_t = 1.6)]
    pub skew: f64,
}

/// One size at which the decisions are measured.
#[derive(Clone, Copy, Debug)]
struct Point {
    workers: usize,
    functions: usize,
    copies: usize,
    skew: f64,
}

/// The kind of work that an event causes in the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    /// The first event about a model in a ranking interval: its home workers are ranked.
    Rank,
    /// A request for a model that is already ranked in this interval.
    Place,
    /// The end of an attempt or load order for a model that is already ranked in this interval.
    Learn,
    /// A timer event.
    Tick,
}

/// Number and CPU time of the events of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    events: u64,
    cpu: Duration,
}

/// Readings at one point.
struct Reading {
    calls: u64,
    served: u64,
    costs: BTreeMap<Work, Cost>,
    roster: Duration,
    tables: TableSizes,
    resident: f64,
}

/// Runs the experiment and returns its measurements.
pub fn run(context: &ScaleContext, options: &Options) -> Result<Vec<Measurement>, ScaleError> {
    let settings = settings(options)?;
    let mut kept = Vec::new();
    let mut measurements = Vec::new();
    let mut measure = |axis: &str, size: usize, point: Point| -> Result<(), ScaleError> {
        let mut fleet = EmulatedFleet::new(&settings, point, options, context.seed);
        let reading = fleet.measure(options)?;
        // The fleet stays alive: the allocator would reuse its memory for the next point and hide what that one takes.
        kept.push(fleet);
        measurements.extend(reading.measurements(axis, size as f64, options));
        Ok(())
    };
    let fewest_functions = options.functions.first().copied().unwrap_or(1);
    for &workers in &options.workers {
        let functions = fewest_functions.max(512);
        let point = Point { workers, functions, copies: functions, skew: options.skew };
        measure("workers", workers, point)?;
    }
    for &functions in &options.functions {
        let workers = options.known_workers;
        let point = Point { workers, functions, copies: functions, skew: options.skew };
        measure("functions", functions, point)?;
        measure("functions, called evenly", functions, Point { skew: 0.0, ..point })?;
    }
    let workers = options.workers.iter().copied().max().unwrap_or(1);
    let functions = options.functions.iter().copied().max().unwrap_or(1);
    for &copies in &options.copies {
        measure("copies", copies, Point { workers, functions, copies, skew: options.skew })?;
    }
    Ok(measurements)
}

/// Settings of a daemon that uses the frames protocol and shares the fleet with other invokers.
fn settings(options: &Options) -> Result<Settings, ScaleError> {
    let deployment =
        Deployment { extra_lines: String::new(), protocol: "frames", workers: vec![], functions: 0 };
    let deploy: Deploy =
        read(&deployment.text()).map_err(|error| ScaleError::Failed(format!("deploy file: {error}")))?;
    let mut settings = Settings::from_json(&deploy.settings());
    settings.invokers = options.invokers;
    settings.kind_memory = vec![AMPLE_MEMORY_MB];
    Ok(settings)
}

impl Reading {
    fn measurements(&self, axis: &str, size: f64, options: &Options) -> Vec<Measurement> {
        let calls = self.calls.max(1) as f64;
        let all: Duration = self.costs.values().map(|cost| cost.cpu).sum();
        let of = |work: Work| self.costs.get(&work).copied().unwrap_or_default();
        let each =
            |work: Work| of(work).cpu.as_secs_f64() * MICROSECONDS_PER_SECOND / of(work).events.max(1) as f64;
        let seconds = options.seconds;
        let figures = [
            ("CPU a call", all.as_secs_f64() * MICROSECONDS_PER_SECOND / calls, "us"),
            ("CPU of a ranking event", each(Work::Rank), "us"),
            ("ranking events a call", of(Work::Rank).events as f64 / calls, "events"),
            (
                "share of ranking events",
                of(Work::Rank).cpu.as_secs_f64() / all.as_secs_f64().max(1e-12),
                "of CPU",
            ),
            ("CPU of a request, ranked", each(Work::Place), "us"),
            ("CPU of an end, ranked", each(Work::Learn), "us"),
            (
                "CPU of ticks a second",
                of(Work::Tick).cpu.as_secs_f64() * MICROSECONDS_PER_SECOND / seconds,
                "us/s",
            ),
            ("CPU of a whole worker list", self.roster.as_secs_f64() * MICROSECONDS_PER_SECOND, "us"),
            ("calls measured", self.calls as f64, "calls"),
            ("calls served", self.served as f64, "calls"),
            ("models known", self.tables.models as f64, "models"),
            ("lines known", self.tables.entries as f64, "lines"),
            ("memory told", self.tables.bytes as f64, "bytes"),
            ("memory resident", self.resident, "bytes"),
        ];
        figures
            .into_iter()
            .map(|(row, value, unit)| Measurement::new(format!("{axis}: {row}"), size, value, unit))
            .collect()
    }
}

/// A dispatcher and the emulated workers that it assigns calls to.
struct EmulatedFleet {
    dispatcher: Dispatcher,
    now: Ms,
    point: Point,
    rng: ChaCha8Rng,
    /// Future events by time, in microseconds, and by order of insertion.
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
    loaded: HashSet<(WorkerId, ModelId)>,
    attempts: HashMap<RequestId, u32>,
    models: HashMap<RequestId, ModelId>,
    ranked_in: HashMap<ModelId, u64>,
    next_request: u64,
    overhead: Duration,
    costs: BTreeMap<Work, Cost>,
    served: u64,
    resident_before: f64,
    roster: Duration,
}

impl EmulatedFleet {
    fn new(settings: &Settings, point: Point, options: &Options, seed: u64) -> Self {
        let resident_before = own_resident().unwrap_or_default();
        let mut fleet = EmulatedFleet {
            dispatcher: Dispatcher::new(settings.clone(), seed),
            now: RANKING_INTERVAL_MS,
            point,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            order: 0,
            loaded: HashSet::new(),
            attempts: HashMap::new(),
            models: HashMap::new(),
            ranked_in: HashMap::new(),
            next_request: 0,
            overhead: clock_overhead(),
            costs: BTreeMap::new(),
            served: 0,
            resident_before,
            roster: Duration::ZERO,
        };
        let entries: Vec<RosterEntry> =
            (0..point.workers).map(|number| entry(number, options.zones)).collect();
        fleet.roster = fleet.handle(Event::Roster(RosterUpdate::Complete(entries)));
        fleet
    }

    /// Reports the copies to the dispatcher, then measures calls.
    fn measure(&mut self, options: &Options) -> Result<Reading, ScaleError> {
        self.report_copies();
        self.costs.clear();
        self.served = 0;
        let end = self.now + options.seconds * 1000.0;
        let popularity = Popularity::new(self.point)?;
        let (mut at, mut calls) = (self.now, 0);
        while at < end {
            let model = popularity.draw(&mut self.rng);
            self.run_until(at);
            let request = self.request(model);
            self.handle_timed(Event::Request(request));
            calls += 1;
            at += 1000.0 / options.rate;
        }
        self.run_until(end);
        let tables = self.dispatcher.table_sizes();
        let resident = own_resident()? - self.resident_before;
        let (served, roster, costs) = (self.served, self.roster, self.costs.clone());
        Ok(Reading { calls, served, costs, roster, tables, resident })
    }

    /// Registers each function with a request that expires at once; then reports each copy to the dispatcher.
    fn report_copies(&mut self) {
        let functions = self.point.functions as u64;
        for copy in 0..self.point.copies as u64 {
            let worker = WorkerId(self.rng.random_range(0..self.point.workers as u32));
            self.loaded.insert((worker, ModelId(copy % functions)));
        }
        for model in (0..functions).map(ModelId) {
            let request = Request { expires: self.now, ..self.request(model) };
            self.handle(Event::Request(request));
        }
        let mut loaded: Vec<(WorkerId, ModelId)> = self.loaded.iter().copied().collect();
        loaded.sort_unstable();
        for (worker, model) in loaded {
            self.handle(Event::Loaded {
                worker,
                model,
                outcome: Outcome::Ok,
                copies: 1,
                took: 2.0 * ONE_WAY_DELAY_MS,
            });
        }
        self.run_until(self.now + RANKING_INTERVAL_MS);
    }

    fn request(&mut self, model: ModelId) -> Request {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.models.insert(id, model);
        let expires = self.now + CLIENT_TIMEOUT_MS;
        Request { id, model, memory: COPY_MB, lanes: 4.0, expires, ..Request::default() }
    }

    fn schedule(&mut self, delay: Ms, event: Event) {
        self.order += 1;
        self.queue.insert((((self.now + delay) * 1000.0) as u64, self.order), event);
    }

    fn run_until(&mut self, end: Ms) {
        while let Some(next) = self.queue.first_entry().filter(|next| next.key().0 <= (end * 1000.0) as u64) {
            let ((at, _), event) = next.remove_entry();
            self.now = at as f64 / 1000.0;
            self.handle_timed(event);
        }
        self.now = end;
    }

    /// Handles an event and adds its CPU time to the costs.
    fn handle_timed(&mut self, event: Event) {
        let work = self.work(&event);
        let took = self.handle(event);
        let cost = self.costs.entry(work).or_default();
        cost.events += 1;
        cost.cpu += took;
    }

    fn work(&mut self, event: &Event) -> Work {
        let (model, work) = match event {
            Event::Request(request) => (request.model, Work::Place),
            Event::Finished(end) => (self.models.get(&end.id).copied().unwrap_or_default(), Work::Learn),
            Event::Loaded { model, .. } => (*model, Work::Learn),
            _ => return Work::Tick,
        };
        let step = (self.now / RANKING_INTERVAL_MS) as u64;
        if self.ranked_in.insert(model, step) == Some(step) {
            work
        } else {
            Work::Rank
        }
    }

    /// Handles an event, schedules the events that follow from it, and returns the dispatcher's CPU time.
    fn handle(&mut self, event: Event) -> Duration {
        let mut actions = Vec::new();
        let began = thread_cpu();
        self.dispatcher.handle(self.now, event, &mut actions);
        let took = (thread_cpu() - began).saturating_sub(self.overhead);
        for action in actions {
            self.execute(action);
        }
        took
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, worker, .. } => self.send(id, worker),
            Action::Load { worker, model, copies } => self.order(worker, model, copies),
            Action::Evict { worker, model } => _ = self.loaded.remove(&(worker, model)),
            Action::Timer { token, delay } => self.schedule(delay, Event::Timer { token }),
            Action::Refuse { .. }
            | Action::Fail { .. }
            | Action::Cancel { .. }
            | Action::Probe { .. }
            | Action::Subscribe => {}
        }
    }

    fn send(&mut self, id: RequestId, worker: WorkerId) {
        let model = self.models.get(&id).copied().unwrap_or_default();
        let is_loaded = self.loaded.contains(&(worker, model));
        let (outcome, took) =
            if is_loaded { (Outcome::Ok, CALL_TIME_MS) } else { (Outcome::Miss, 2.0 * ONE_WAY_DELAY_MS) };
        let attempts = self.attempts.entry(id).or_default();
        let attempt = *attempts;
        *attempts += 1;
        self.served += u64::from(is_loaded);
        let (warmth, concurrent_calls, report) = (Warmth::Unknown, None, None);
        let end = Finished {
            id,
            attempt,
            worker,
            closed: is_loaded,
            outcome,
            took,
            warmth,
            concurrent_calls,
            report,
        };
        self.schedule(took, Event::Finished(end));
    }

    fn order(&mut self, worker: WorkerId, model: ModelId, copies: u32) {
        let was_loaded = self.loaded.contains(&(worker, model));
        if copies > 0 {
            self.loaded.insert((worker, model));
        }
        let took = if copies > 0 && !was_loaded { LOAD_TIME_MS } else { 2.0 * ONE_WAY_DELAY_MS };
        let copies = u32::from(was_loaded || copies > 0);
        self.schedule(took, Event::Loaded { worker, model, outcome: Outcome::Ok, copies, took });
    }
}

/// Distribution of calls over functions.
enum Popularity {
    Even(u64),
    Skewed(Zipf<f64>),
}

impl Popularity {
    fn new(point: Point) -> Result<Self, ScaleError> {
        if point.skew <= 0.0 {
            return Ok(Popularity::Even(point.functions.max(1) as u64));
        }
        let zipf = Zipf::new(point.functions as f64, point.skew);
        zipf.map(Popularity::Skewed).map_err(|error| ScaleError::Failed(format!("skew: {error}")))
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> ModelId {
        match self {
            Popularity::Even(functions) => ModelId(rng.random_range(0..*functions)),
            Popularity::Skewed(zipf) => ModelId(zipf.sample(rng) as u64 - 1),
        }
    }
}

fn entry(number: usize, zones: usize) -> RosterEntry {
    let zone = (number % zones.max(1)) as u64;
    RosterEntry {
        worker: WorkerId(number as u32),
        name: format!("worker-{number}"),
        location: Location { zone: Some(ZoneId(zone)), cell: Some(zone) },
        kind: Some(0),
        state: WorkerState::Ready,
        weight: 1.0,
        started_at: 0.0,
    }
}
