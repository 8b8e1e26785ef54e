//! The state of a dispatcher and an estimate of its memory. The rules that change it are in `src/policy/`.
use crate::fleet::Fleet;
use crate::interface::*;
use crate::preferred_workers::PreferredWorkers;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Answers and failures of one class at one worker; both counts decay by half in each keep time.
#[derive(Default, Clone)]
pub(crate) struct Health {
    pub successes: f64,
    pub failures: f64,
    pub updated_at: Ms,
    pub answered_at: Ms,
}

/// A count that decays by half in each `keep` ms.
#[derive(Default, Clone, Copy)]
pub(crate) struct DecayingCount {
    count: f64,
    /// When it was last added to.
    pub last_added_at: Ms,
}

impl DecayingCount {
    /// The decayed count.
    pub fn at(&self, now: Ms, keep: Ms) -> f64 {
        self.count * 0.5f64.powf((now - self.last_added_at) / keep)
    }

    /// Adds one and returns the new count.
    pub fn add(&mut self, now: Ms, keep: Ms) -> f64 {
        (self.count, self.last_added_at) = (self.at(now, keep) + 1.0, now);
        self.count
    }
}

/// An average over time in which earlier values decay by half in each `keep` ms.
#[derive(Default, Clone, Copy)]
pub(crate) struct DecayingAverage {
    pub value: f64,
    /// When the value was last recorded.
    last: Option<Ms>,
}

impl DecayingAverage {
    /// Records the present value; the first one sets the average.
    pub fn record(&mut self, now: Ms, value: f64, keep: Ms) {
        let kept = self.last.map_or(0.0, |last| 0.5f64.powf((now - last) / keep));
        self.value = value + kept * (self.value - value);
        self.last = Some(now);
    }
}

/// Times of events within a span, oldest first.
#[derive(Default, Clone)]
pub(crate) struct SlidingWindow {
    times: VecDeque<Ms>,
}

impl SlidingWindow {
    /// Adds an event and drops those older than `span` ms.
    pub fn add(&mut self, now: Ms, span: Ms) {
        while self.times.pop_front_if(|time| *time <= now - span).is_some() {}
        self.times.push_back(now);
    }

    /// Number of events within the last `span` ms.
    pub fn count(&self, now: Ms, span: Ms) -> f64 {
        (self.times.len() - self.times.partition_point(|time| *time <= now - span)) as f64
    }
}

/// Recent keys with their times, oldest first. A key that is still held isn't counted again.
pub(crate) struct RecentUnique<K> {
    times: VecDeque<(Ms, K)>,
    keys: BTreeSet<K>,
}

impl<K> Default for RecentUnique<K> {
    fn default() -> Self {
        RecentUnique { times: VecDeque::new(), keys: BTreeSet::new() }
    }
}

impl<K: Copy + Ord> RecentUnique<K> {
    /// Adds a key unless it is held, and drops those older than `keep` ms.
    pub fn add(&mut self, now: Ms, key: K, keep: Ms) {
        while let Some((_, old)) = self.times.pop_front_if(|came| came.0 < now - keep) {
            self.keys.remove(&old);
        }
        if self.keys.insert(key) {
            self.times.push_back((now, key));
        }
    }

    /// Number of keys added after `time`.
    pub fn since(&self, time: Ms) -> usize {
        self.times.len() - self.times.partition_point(|came| came.0 <= time)
    }
}

/// The estimated state of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub hash: u64,
    pub location: Location,
    pub kind: Option<usize>,
    pub ready: bool,
    pub gone: bool,
    pub weight: f64,
    pub started_at: Ms,
    /// When a connection attempt to it last failed, and when a connection was last reset.
    pub connect_failed_at: Ms,
    pub reset_at: Ms,
    /// Counts the worker's processes; results of an earlier one say nothing about the current one.
    pub incarnation: u32,
    /// This invoker's attempts in flight at the worker, and their limit, which is reduced when answers are
    /// late.
    pub in_flight: u32,
    pub in_flight_limit: f64,
    pub limit_reduced_at: Ms,
    pub health: Vec<Health>,
    /// Moving average of its latency over the usual latency of the class, and when it was last updated.
    pub latency_ratio: f64,
    pub latency_ratio_at: Ms,
    pub full_until: Ms,
    /// No loads are ordered there until then, because there is no memory or an order was lost.
    pub no_room_until: Ms,
    /// Calls of this invoker that would have gone there while it was cold.
    pub cold_demand: DecayingCount,
    /// Calls that this invoker sent there, and those that were served.
    pub recent_sends: SlidingWindow,
    pub recent_answers: DecayingCount,
    /// Models with an entry for this worker.
    pub known_models: BTreeSet<ModelId>,
}

/// The entry for a (model, worker) pair.
#[derive(Default)]
pub(crate) struct CopyEntry {
    pub copies: u32,
    /// When the copies were last confirmed, and until when the worker is known to have none.
    pub confirmed_at: Ms,
    pub absent_until: Ms,
    pub in_flight: u32,
}

/// One model.
#[derive(Default)]
pub(crate) struct Model {
    pub memory: f64,
    pub lanes: f64,
    /// Calls of the model.
    pub recent_calls: DecayingCount,
    pub preferred: PreferredWorkers,
    pub load_retry_at: Ms,
    /// A copy was loaded somewhere, or a call was served.
    pub known_to_exist: bool,
    /// Consecutive errors, and until when the model counts as unknown to all workers.
    pub consecutive_errors: u32,
    pub unknown_until: Ms,
    /// Queries for copies that are unanswered, and when they were last sent.
    pub open_queries: u32,
    pub queried_at: Ms,
    pub waiting: Vec<RequestId>,
    pub entries: BTreeMap<WorkerId, CopyEntry>,
}

/// An attempt that was sent and is not proved not to have run.
#[derive(Clone, Copy)]
pub(crate) struct SentAttempt {
    /// Its number among the attempts of its request.
    pub attempt: u32,
    pub worker: WorkerId,
    pub sent_at: Ms,
    /// Where the worker stood when it was sent.
    pub location: Location,
}

/// A request that has not been answered or ended.
#[derive(Default)]
pub(crate) struct PendingRequest {
    pub request: Request,
    pub taken_at: Ms,
    pub seq: u64,
    pub value: f64,
    pub attempts: u32,
    pub in_flight: u32,
    /// Attempts that may have run, oldest first.
    pub may_have_run: Vec<SentAttempt>,
    pub streaming: bool,
    /// Admission draws at cold workers: the worker, whether the call was admitted, and the time.
    pub cold_draws: Vec<(WorkerId, bool, Ms)>,
}

/// The result of a search for a worker for a call.
#[derive(Default)]
pub(crate) struct SearchResult {
    /// The best worker, with its sort key: in another zone, not known to hold a copy there, expected cost
    /// (ms).
    pub best: Option<((bool, bool, f64), WorkerId)>,
    /// Some usable worker is known to hold a copy.
    pub copy_known: bool,
    /// None of the workers examined is more likely to answer than to fail.
    pub no_healthy_worker: bool,
}

/// An attempt that has no outcome yet.
#[derive(Default)]
pub(crate) struct InFlightAttempt {
    pub worker: WorkerId,
    pub incarnation: u32,
    pub model: ModelId,
    pub class: usize,
    pub sent_at: Ms,
    /// A copy was believed to be loaded when it was sent.
    pub warm: bool,
    pub overdue: bool,
    /// The worker answered other calls since but not this one.
    pub lost: bool,
    pub cancelled: bool,
}

/// A task that runs at a set time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ScheduledTask {
    ExpireRequest(RequestId),
    CheckAnswer(RequestId, u32),
    CheckLoadOrder(ModelId, WorkerId),
    Sweep,
}

/// Capacity of a node of the standard library's `BTreeMap`, in entries.
const MAP_NODE_ENTRIES: usize = 11;
/// Lowest fill of the nodes of a large map: when keys are inserted in order.
const MIN_NODE_FILL_PERCENT: usize = 55;

/// Heap size of a `BTreeMap` of `len` entries, in bytes.
fn map_bytes<K, V>(len: usize) -> usize {
    let entry = std::mem::size_of::<K>() + std::mem::size_of::<V>();
    match len {
        0 => 0,
        1..=MAP_NODE_ENTRIES => MAP_NODE_ENTRIES * entry + 16,
        _ => len * entry * 100 / MIN_NODE_FILL_PERCENT,
    }
}

/// Size of one entry of a large `BTreeMap`, in bytes.
fn map_entry_bytes<K, V>() -> usize {
    map_bytes::<K, V>(10 * MAP_NODE_ENTRIES) / (10 * MAP_NODE_ENTRIES)
}

fn vec_bytes<T>(list: &Vec<T>) -> usize {
    list.capacity() * std::mem::size_of::<T>()
}

impl Model {
    /// Entries that a model gets on its first call: for the workers queried and for the first load order.
    const INITIAL_ENTRIES: usize = 4;
    /// Calls that wait on the first call of a model: the smallest capacity that a vector allocates.
    const INITIAL_WAITING_CALLS: usize = 4;

    /// Memory of the model's state, in bytes.
    pub fn bytes(&self) -> usize {
        map_entry_bytes::<ModelId, Model>()
            + self.preferred.bytes()
            + vec_bytes(&self.waiting)
            + map_bytes::<WorkerId, CopyEntry>(self.entries.len())
            + self.entries.len() * map_entry_bytes::<ModelId, ()>()
    }

    /// Memory that a model takes on its first call, with `ready` ready workers, in bytes.
    pub fn cost(ready: usize) -> usize {
        map_entry_bytes::<ModelId, Model>()
            + PreferredWorkers::cost(ready)
            + Model::INITIAL_WAITING_CALLS * std::mem::size_of::<RequestId>()
            + map_bytes::<WorkerId, CopyEntry>(Model::INITIAL_ENTRIES)
            + Model::INITIAL_ENTRIES * map_entry_bytes::<ModelId, ()>()
    }
}

impl Worker {
    /// Memory of the worker's state, in bytes; its entries are counted with their models.
    pub fn bytes(&self) -> usize {
        map_entry_bytes::<WorkerId, Worker>() + vec_bytes(&self.health)
    }
}

/// Sizes of a dispatcher's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Number of models.
    pub models: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of entries for (model, worker) pairs.
    pub entries: usize,
    /// Memory of all tables and scheduled tasks, in bytes.
    pub bytes: usize,
}

impl TableSizes {
    /// Memory of a ready worker without entries for models, with `classes` classes of calls, in bytes; it may be the only
    /// one of its zone.
    pub fn worker_cost(classes: usize) -> usize {
        let health = classes.max(1) * std::mem::size_of::<Health>();
        let zone = map_entry_bytes::<Option<ZoneId>, Ms>();
        map_entry_bytes::<WorkerId, Worker>() + health + zone + Fleet::WORKER_COST
    }

    pub(crate) fn of(
        models: &BTreeMap<ModelId, Model>,
        workers: &BTreeMap<WorkerId, Worker>,
        fleet: &Fleet,
        zones: usize,
        planned: usize,
    ) -> Self {
        TableSizes {
            models: models.len(),
            workers: workers.len(),
            entries: models.values().map(|model| model.entries.len()).sum(),
            bytes: models.values().map(Model::bytes).sum::<usize>()
                + workers.values().map(Worker::bytes).sum::<usize>()
                + fleet.bytes()
                + map_bytes::<Option<ZoneId>, Ms>(zones)
                + planned * map_entry_bytes::<(u64, ScheduledTask), ()>(),
        }
    }
}
