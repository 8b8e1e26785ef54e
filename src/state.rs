//! What a dispatcher remembers, and how much memory that takes. What it means and when it changes is in
//! `src/policy/`.
use crate::fleet::Fleet;
use crate::homes::Homes;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Answers and failures of one class at one worker, both fading with the keep time.
#[derive(Default, Clone)]
pub(crate) struct Health {
    pub good: f64,
    pub bad: f64,
    pub at: Ms,
    pub heard: Ms,
}

/// A count that fades by half in each keep time.
#[derive(Default, Clone, Copy)]
pub(crate) struct Fading {
    count: f64,
    /// When it was last added to.
    pub last: Ms,
}

impl Fading {
    /// What is left of it.
    pub fn at(&self, now: Ms, keep: Ms) -> f64 {
        self.count * 0.5f64.powf((now - self.last) / keep)
    }

    /// One more; tells how many that makes.
    pub fn add(&mut self, now: Ms, keep: Ms) -> f64 {
        (self.count, self.last) = (self.at(now, keep) + 1.0, now);
        self.count
    }
}

/// An average over time in which the past fades by half in each keep time, as in a [`Fading`] count.
#[derive(Default, Clone, Copy)]
pub(crate) struct Average {
    pub value: f64,
    /// When it was last noted.
    last: Option<Ms>,
}

impl Average {
    /// The value as it stands now. The first one noted is the average.
    pub fn note(&mut self, now: Ms, value: f64, keep: Ms) {
        let kept = self.last.map_or(0.0, |last| 0.5f64.powf((now - last) / keep));
        self.value = value + kept * (self.value - value);
        self.last = Some(now);
    }
}

/// The times of what happened within a span, oldest first.
#[derive(Default, Clone)]
pub(crate) struct Window {
    times: VecDeque<Ms>,
}

impl Window {
    /// One more; what is older than the span is forgotten.
    pub fn add(&mut self, now: Ms, span: Ms) {
        while self.times.pop_front_if(|time| *time <= now - span).is_some() {}
        self.times.push_back(now);
    }

    /// How many lie within the span.
    pub fn count(&self, now: Ms, span: Ms) -> f64 {
        (self.times.len() - self.times.partition_point(|time| *time <= now - span)) as f64
    }
}

/// What came of late, oldest first; what comes again while it is remembered is not counted twice.
pub(crate) struct Recent<K> {
    times: VecDeque<(Ms, K)>,
    names: BTreeSet<K>,
}

impl<K> Default for Recent<K> {
    fn default() -> Self {
        Recent { times: VecDeque::new(), names: BTreeSet::new() }
    }
}

impl<K: Copy + Ord> Recent<K> {
    /// One more, unless it is remembered. What came longer ago than it is kept is forgotten.
    pub fn add(&mut self, now: Ms, name: K, keep: Ms) {
        while let Some((_, old)) = self.times.pop_front_if(|came| came.0 < now - keep) {
            self.names.remove(&old);
        }
        if self.names.insert(name) {
            self.times.push_back((now, name));
        }
    }

    /// How many came after that.
    pub fn since(&self, time: Ms) -> usize {
        self.times.len() - self.times.partition_point(|came| came.0 <= time)
    }
}

/// What is believed of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub hash: u64,
    pub zone: usize,
    pub kind: usize,
    pub cell: i64,
    pub ready: bool,
    pub gone: bool,
    pub weight: f64,
    pub born: Ms,
    /// When a connection to it was last refused, and when one last broke.
    pub broke: Ms,
    pub reset: Ms,
    /// Counts its processes; what an earlier one did tells nothing of this one.
    pub life: u32,
    /// Attempts of ours that are out there, and how many may be: falls when answers are late.
    pub out: u32,
    pub limit: f64,
    pub cut_at: Ms,
    pub health: Vec<Health>,
    /// Usual time of its answers over the fleet's, and when that was last seen.
    pub pace: f64,
    pub paced_at: Ms,
    pub full_until: Ms,
    /// Takes no loads until then, as far as known.
    pub no_room_until: Ms,
    /// Calls of ours that would have gone there while it was cold.
    pub wanted: Fading,
    /// Calls of ours that went there, and those that it served.
    pub sent: Window,
    pub answered: Fading,
    /// Models with a line in the table for this worker.
    pub lines: BTreeSet<ModelId>,
}

/// A line of the table: one model at one worker.
#[derive(Default)]
pub(crate) struct Holder {
    pub copies: u32,
    /// When the copies were last known to stand, and until when it is known to lack them.
    pub seen: Ms,
    pub lacks: Ms,
    pub out: u32,
}

/// One model.
#[derive(Default)]
pub(crate) struct Model {
    pub memory: f64,
    pub lanes: f64,
    /// Calls of it.
    pub used: Fading,
    pub homes: Homes,
    pub retry_at: Ms,
    /// A copy of it stood somewhere, or a call of it was served.
    pub proven: bool,
    /// Errors that it brought in a row, and until when it counts as unknown to all workers.
    pub strange: u32,
    pub unknown_until: Ms,
    /// Questions still unanswered, and since when.
    pub asking: u32,
    pub asked_at: Ms,
    pub waiting: Vec<RequestId>,
    pub holders: BTreeMap<WorkerId, Holder>,
}

/// A request that is owed an answer.
#[derive(Default)]
pub(crate) struct Pending {
    pub request: Request,
    pub since: Ms,
    pub seq: u64,
    pub value: f64,
    pub attempts: u32,
    pub out: u32,
    /// Attempts that may have run, oldest first.
    pub ran: Vec<(u32, WorkerId, Ms)>,
    pub streaming: bool,
    /// Cold workers that it would have gone to, whether it may, and when that was drawn.
    pub draws: Vec<(WorkerId, bool, Ms)>,
}

/// What a look over the workers found for a call.
#[derive(Default)]
pub(crate) struct Found {
    /// The best worker, with what it was judged by.
    pub best: Option<((bool, bool, f64), WorkerId)>,
    /// Whether a copy is known.
    pub known: bool,
    /// No worker was met that would rather answer than fail.
    pub is_blind: bool,
}

/// An attempt that has no outcome yet.
#[derive(Default)]
pub(crate) struct Flight {
    pub worker: WorkerId,
    pub life: u32,
    pub model: ModelId,
    pub class: usize,
    pub sent: Ms,
    /// Its copy was believed to stand.
    pub warm: bool,
    pub overdue: bool,
    /// Others were answered there since, and it was not.
    pub lost: bool,
    pub called_off: bool,
}

/// What comes due at a time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Expiry(RequestId),
    Answer(RequestId, u32),
    Order(ModelId, WorkerId),
    Sweep,
}

/// Entries that a node of the standard library's tree maps has room for, in use or not.
const NODE: usize = 11;
/// How full the nodes of a large map are at the least, in percent: when its keys come in their order.
const FILL: usize = 55;

/// What a tree map of so many entries takes on the heap, in bytes.
fn map<K, V>(len: usize) -> usize {
    let entry = std::mem::size_of::<K>() + std::mem::size_of::<V>();
    match len {
        0 => 0,
        1..=NODE => NODE * entry + 16,
        _ => len * entry * 100 / FILL,
    }
}

/// What one entry of a large tree map takes, in bytes.
fn entry<K, V>() -> usize {
    map::<K, V>(10 * NODE) / (10 * NODE)
}

fn list<T>(list: &Vec<T>) -> usize {
    list.capacity() * std::mem::size_of::<T>()
}

impl Model {
    /// Lines of the table that a model gets when it is first called: those of the homes that are asked, and
    /// that of the first order.
    const FIRST_LINES: usize = 4;
    /// Calls that wait for a model that is called first: the least that a list makes room for.
    const FIRST_CALLS: usize = 4;

    /// What it takes, in bytes.
    pub fn bytes(&self) -> usize {
        entry::<ModelId, Model>()
            + self.homes.bytes()
            + list(&self.waiting)
            + map::<WorkerId, Holder>(self.holders.len())
            + self.holders.len() * entry::<ModelId, ()>()
    }

    /// What one will take when it is first called, with so many workers that are ready, in bytes.
    pub fn cost(ready: usize) -> usize {
        entry::<ModelId, Model>()
            + Homes::cost(ready)
            + Model::FIRST_CALLS * std::mem::size_of::<RequestId>()
            + map::<WorkerId, Holder>(Model::FIRST_LINES)
            + Model::FIRST_LINES * entry::<ModelId, ()>()
    }
}

impl Worker {
    /// What it takes, in bytes; its lines are counted with their models.
    pub fn bytes(&self) -> usize {
        entry::<WorkerId, Worker>() + list(&self.health)
    }
}

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tables {
    /// Models.
    pub models: usize,
    /// Workers.
    pub workers: usize,
    /// Lines of the table: a model at a worker.
    pub lines: usize,
    /// What all of it takes, with what is planned, in bytes.
    pub bytes: usize,
}

impl Tables {
    /// What a ready worker takes, before anything is learnt of models there, with so many classes of calls, in bytes.
    pub fn worker_cost(classes: usize) -> usize {
        let health = classes.max(1) * std::mem::size_of::<Health>();
        entry::<WorkerId, Worker>() + health + Fleet::WORKER_COST
    }

    pub(crate) fn of(
        models: &BTreeMap<ModelId, Model>,
        workers: &BTreeMap<WorkerId, Worker>,
        fleet: &Fleet,
        planned: usize,
    ) -> Self {
        Tables {
            models: models.len(),
            workers: workers.len(),
            lines: models.values().map(|model| model.holders.len()).sum(),
            bytes: models.values().map(Model::bytes).sum::<usize>()
                + workers.values().map(Worker::bytes).sum::<usize>()
                + fleet.bytes()
                + planned * entry::<(u64, Due), ()>(),
        }
    }
}
