//! Every decision of corkbay. Its types, events and actions are in `src/interface.rs`.
//!
//! The ordinary path is the paper's: a call goes to a believed-idle warm instance, own zone first,
//! across zones only when that is cheaper than a load; before a load on a full worker, idle models
//! drawn with weight size / (frequency + recency) are dropped. All else guards that path.
use crate::interface::*;
use crate::state::*;
use rand::{rngs::SmallRng, seq::IndexedRandom, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Loads of one model that may be under way at once (the design's own number), and our loads at first.
const LOADS_PER_MODEL: usize = 2;
/// Weight of the newest sample in every moving average.
const NEWEST: f64 = 0.2;
/// Silence is a lack of any answer for this many times the usual time of an answer.
const PATIENCE: f64 = 10.0;
/// Answers and failures remembered of a worker and class at most, so that it can be forgiven.
const MEMORY: f64 = 4.0;
/// Cold workers at which a call may lose its draw until it spares them all.
const DRAWS: usize = 3;
/// First calls to a cold worker, of all front ends together, that need no draw: where those are few.
const FIRST_CALLS: f64 = 4.0;
/// Calls taken for each one served beyond which it is not yet known what workers can do.
const UNSERVED: f64 = 4.0;
/// Time after which the homes of models are ranked anew, as cold workers grow warm.
const STEP: Ms = 1000.0;
/// Retries of calls that may have run, as a part of the calls taken.
const RETRY_PART: f64 = 0.1;
/// Part of the aim for which a queue at an instance may keep a call.
const QUEUE: f64 = 0.5;
/// Part of the answers that may be late before calls are refused, how fast that follows, and the most
/// of a class that is refused.
const LATE: f64 = 0.1;
const SHED: f64 = 0.02;
const MOST_SHED: f64 = 0.5;
/// Calls of ours that a worker may hold until its answers tell more, and the most of any bound.
const FIRST_LIMIT: f64 = 4.0;
const MOST_LIMIT: f64 = 64.0;
/// What a bound is multiplied with when it proves too wide.
const NARROWER: f64 = 0.7;
/// Ticks in an aim, and ticks without any event after which the front end itself stood still.
const TICKS_PER_AIM: f64 = 40.0;
const STALL_TICKS: f64 = 8.0;
/// Errors in a row about a model that never stood until it counts as one that no worker knows.
const UNKNOWN: u32 = 3;
/// Keep times after which what was not used is forgotten.
const FORGET_KEEPS: f64 = 4.0;

/// Decides for one front end. See [`Event`] and [`Action`].
pub struct Dispatcher {
    set: Settings,
    rng: SmallRng,
    now: Ms,
    ticking: Ms,
    /// Since then this front end has not stood still.
    awake: Ms,
    seq: u64,
    workers: BTreeMap<WorkerId, Worker>,
    /// Ready workers, their mean weight, and the number of the roster.
    ready: usize,
    weight: f64,
    roster_of: u64,
    models: BTreeMap<ModelId, Model>,
    hungry: BTreeSet<ModelId>,
    pending: BTreeMap<RequestId, Pending>,
    flights: BTreeMap<(RequestId, u32), Flight>,
    /// Everything with a time, in microseconds.
    agenda: BTreeSet<(u64, Due)>,
    /// Usual time of a warm answer, and part of calls that fail, by class.
    usual: Vec<f64>,
    doubt: Vec<f64>,
    /// Classes, the least worth first, whose new calls are refused; the last of them by chance.
    shed: f64,
    load_ms: f64,
    /// Orders of ours that are under way.
    loads: BTreeSet<(ModelId, WorkerId)>,
    loads_cap: f64,
    retries: f64,
    /// Calls taken and served, and over the same time the ready workers as whole ones by warmth and weight.
    taking: Fading,
    served: Fading,
    whole: Average,
    /// Half-life of counts that hold what came in about the span in which a cold worker falls.
    half: Ms,
    taken: Recent<RequestId>,
    ordered: Recent<u64>,
    aim: Ms,
    /// Fastest answer seen from each zone.
    zone_ms: BTreeMap<usize, Ms>,
    last_watch: Ms,
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Place of a worker among the homes of a model, lowest first: the same at every front end.
fn rank(worker: &Worker, model: ModelId, warmth: f64) -> f64 {
    let draw = mix(worker.hash ^ mix(model.0)) as f64 / u64::MAX as f64;
    -draw.max(1e-12).ln() / (worker.weight * warmth).max(0.01)
}

fn blend(old: &mut f64, new: f64) {
    *old += NEWEST * (new - *old);
}

impl Holder {
    /// Whether its copies are believed to stand: the table ages by the keep time.
    fn stands(&self, now: Ms, keep: Ms) -> bool {
        self.copies > 0 && now - self.seen < keep
    }
}

impl Health {
    /// An answer or a failure, whatever its kind: errors, silence and broken connections weigh alike.
    fn note(&mut self, now: Ms, keep: Ms, failed: bool) {
        let part = 0.5f64.powf((now - self.at) / keep);
        (self.good, self.bad, self.at) = (self.good * part, self.bad * part, now);
        if failed {
            (self.good, self.bad) = (self.good * (1.0 - NEWEST), (self.bad + 1.0).min(MEMORY));
        } else {
            (self.good, self.bad) = ((self.good + 1.0).min(2.0 * MEMORY), self.bad * (1.0 - NEWEST));
            self.heard = now;
        }
    }
}

impl Model {
    /// A worker answered something about it. Who lacks it says so: a model that never stood, and that only
    /// brings errors wherever it is named, is one that no worker knows.
    fn told(&mut self, outcome: Outcome, stands: bool, until: Ms) {
        self.proven |= stands;
        match outcome {
            Outcome::Ok | Outcome::Miss | Outcome::Full => self.strange = 0,
            Outcome::Error => self.strange += 1,
            _ => {}
        }
        if self.strange >= UNKNOWN && !self.proven {
            self.unknown_until = until;
        }
    }
}

impl Worker {
    /// Late answers from any cause (crowding, a slow core, overload) and calls given up there
    /// narrow the worker's share of our calls, once in the time that the late one took.
    fn narrow(&mut self, now: Ms, took: Ms) {
        if now > self.cut_at + took {
            (self.limit, self.cut_at) = ((self.limit * NARROWER).max(1.0), now);
        }
    }

    fn started(&self) -> Ms {
        self.born.max(self.broke)
    }

    fn cold(&self, now: Ms, set: &Settings) -> bool {
        self.started() > 0.0 && now < self.started() + set.cold_span
    }

    /// Whether it is looked at like any other, cold or not: no call of ours came yet, and front ends are few.
    fn untried(&self, set: &Settings) -> bool {
        self.wanted.last <= 0.0 && f64::from(set.front_ends) <= FIRST_CALLS
    }

    /// Part of its full capacity that it has at least: all of it unless it is cold.
    fn warmth(&self, now: Ms, set: &Settings) -> f64 {
        let age = if self.cold(now, set) { (now - self.started()) / set.cold_span } else { 1.0 };
        set.cold_from + (1.0 - set.cold_from) * age.clamp(0.0, 1.0)
    }
}

impl Dispatcher {
    /// A dispatcher that knows its settings and nothing else.
    pub fn new(mut set: Settings, seed: u64) -> Self {
        for class in &mut set.classes {
            class.aim = class.aim.max(1.0);
        }
        let aim = set.classes.iter().map(|class| class.aim).reduce(f64::min).unwrap_or(1000.0);
        set.keep = if set.keep > 0.0 { set.keep } else { 10.0 * aim };
        (set.order_lag, set.fall_span) = (set.order_lag.max(set.tick), set.fall_span.max(1.0));
        Dispatcher {
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            ticking: -1.0,
            awake: 0.0,
            seq: 0,
            workers: BTreeMap::new(),
            ready: 0,
            weight: 1.0,
            roster_of: 0,
            models: BTreeMap::new(),
            hungry: BTreeSet::new(),
            pending: BTreeMap::new(),
            flights: BTreeMap::new(),
            agenda: BTreeSet::from([(0, Due::Sweep)]),
            usual: set.classes.iter().map(|class| class.aim / 8.0).collect(),
            doubt: vec![0.0; set.classes.len()],
            shed: 0.0,
            load_ms: aim,
            loads: BTreeSet::new(),
            loads_cap: LOADS_PER_MODEL as f64,
            retries: 1.0 / RETRY_PART,
            taking: Fading::default(),
            served: Fading::default(),
            whole: Average::default(),
            half: set.fall_span * std::f64::consts::LN_2,
            taken: Recent::default(),
            ordered: Recent::default(),
            aim,
            zone_ms: BTreeMap::new(),
            last_watch: f64::NEG_INFINITY,
            set,
        }
    }

    /// Takes one event at a time of the host's clock and adds the actions it calls for.
    pub fn handle(&mut self, now: Ms, event: Event, act: &mut Vec<Action>) {
        let period = self.period();
        if now.is_finite() && now > self.now {
            // The recurring timer did not come: we stood still, and nobody else was silent.
            self.awake = if now - self.now > STALL_TICKS * period { now } else { self.awake };
            self.now = now;
        }
        let model = match event {
            Event::Request(request) => self.request(request, act),
            Event::Finished(end) => self.finished(&end, act),
            Event::Loaded { worker, model, outcome, copies, took } => {
                self.loaded(worker, model, outcome, copies, took);
                Some(model)
            }
            other => {
                match other {
                    Event::Roster(roster) => self.roster(roster),
                    Event::Started { id } => _ = self.pending.entry(id).and_modify(|p| p.streaming = true),
                    Event::Withdrawn { id } => {
                        let pending = self.pending.remove(&id);
                        self.call_off(id, pending.is_some_and(|pending| self.late(&pending)), act);
                    }
                    _ => self.due(self.now + 2.0 * self.set.tick, act),
                }
                None
            }
        };
        if self.ticking <= self.now {
            self.ticking = self.now + period;
            act.push(Action::Timer { token: 0, delay: period });
            let part = |worker: &Worker| worker.warmth(self.now, &self.set) * worker.weight / self.weight;
            let whole = self.workers.values().filter(|worker| worker.ready).map(part).sum();
            self.whole.note(self.now, whole, self.set.keep);
            if self.set.roster_on_request && self.now - self.last_watch > self.set.ask_within / 4.0 {
                self.last_watch = self.now;
                act.push(Action::Subscribe);
            }
            self.due(self.now + period + 2.0 * self.set.tick, act);
            self.pump(self.hungry.iter().copied().collect(), act);
        } else if let Some(model) = model {
            self.pump(vec![model], act);
        }
    }

    /// What is remembered, for a monitor.
    pub fn remembered(&self) -> Tables {
        Tables::of(&self.models, &self.workers, self.agenda.len())
    }

    /// What a call of the model adds to that, in bytes: nothing where the model is known.
    pub fn adds(&self, model: ModelId) -> usize {
        self.models.get(&model).map_or(Model::cost(self.ready), |_| 0)
    }

    /// Forgets models until so many bytes are free: those that never stood first, then the longest unused.
    /// Those with calls waiting or out or loads under way stay. Tells how much that freed.
    pub fn forget(&mut self, bytes: usize) -> usize {
        let (mut idle, mut freed) = (Vec::new(), 0);
        for (name, model) in &self.models {
            let busy = |at, line: &Holder| line.out > 0 || self.loads.contains(&(*name, at));
            if model.waiting.is_empty() && !model.holders.iter().any(|line| busy(*line.0, line.1)) {
                idle.push((model.proven, model.used.last, *name));
            }
        }
        idle.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, name) in idle {
            let Some(model) = (freed < bytes).then(|| self.models.remove(&name)).flatten() else { break };
            freed += model.bytes();
            for at in model.holders.keys() {
                self.workers.entry(*at).and_modify(|worker| _ = worker.lines.remove(&name));
            }
        }
        freed
    }

    fn period(&self) -> Ms {
        (self.aim / TICKS_PER_AIM).max(self.set.tick).max(1.0)
    }

    fn plan(&mut self, at: Ms, due: Due) {
        self.agenda.insert(((at.clamp(0.0, 1e15) * 1000.0) as u64, due));
    }

    fn roster(&mut self, roster: Roster) {
        let entries = match roster {
            Roster::Changes(entries) => entries,
            Roster::Whole(entries) | Roster::Remembered(entries) => {
                self.workers.values_mut().for_each(|worker| (worker.ready, worker.gone) = (false, true));
                entries
            }
            Roster::Refused => return,
        };
        let (now, classes) = (self.now, self.set.classes.len().max(1));
        for entry in entries {
            let worker = self.workers.entry(entry.worker).or_default();
            // A new process holds nothing, owes nothing and is judged afresh.
            if entry.born > worker.born || worker.health.is_empty() {
                for model in &worker.lines {
                    let line = self.models.get_mut(model).and_then(|m| m.holders.get_mut(&entry.worker));
                    if let Some(line) = line.filter(|line| line.seen <= entry.born) {
                        line.copies = 0;
                    }
                }
                self.loads.retain(|load| load.1 != entry.worker);
                let health = vec![Health { at: now, ..Health::default() }; classes];
                let (life, lines) = (worker.life + 1, std::mem::take(&mut worker.lines));
                *worker = Worker { life, lines, health, limit: FIRST_LIMIT, pace: 1.0, ..Worker::default() };
            }
            worker.hash = entry.name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
            (worker.zone, worker.kind, worker.cell) = (entry.zone, entry.kind, entry.cell);
            worker.ready = entry.standing == Standing::Ready;
            worker.gone = entry.standing == Standing::Gone;
            worker.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            worker.born = entry.born;
        }
        self.roster_of += 1;
        let weights = || self.workers.values().filter(|worker| worker.ready).map(|worker| worker.weight);
        (self.ready, self.weight) = (weights().count(), weights().sum());
        self.weight /= self.ready.max(1) as f64;
    }

    fn request(&mut self, request: Request, act: &mut Vec<Action>) -> Option<ModelId> {
        let (id, name) = (request.id, request.model);
        if self.pending.contains_key(&id) {
            return None;
        }
        if request.class >= self.set.classes.len() {
            act.push(self.refusal(id, EndReason::UnknownClass));
            return None;
        }
        let model = self.models.entry(name).or_default();
        model.memory = request.memory.max(0.0);
        model.lanes = request.lanes.clamp(1.0, 1e6);
        // Clients can make up names and repeat a request at will: neither earns loads.
        if model.used.last > 0.0 {
            self.taken.add(self.now, id, self.set.load_window);
        }
        model.used.add(self.now, self.set.keep);
        if let Some(hint) = request.load_hint.filter(|hint| *hint > 0.0) {
            blend(&mut self.load_ms, hint);
        }
        self.retries = (self.retries + RETRY_PART).min(1.0 / RETRY_PART);
        self.taking.add(self.now, self.set.keep);
        self.seq += 1;
        let left = request.expires - self.now;
        if left < 3.0 * self.period() {
            act.push(Action::Timer { token: self.seq, delay: (left - 2.0 * self.set.tick).max(0.0) });
        }
        self.plan(request.expires, Due::Expiry(id));
        let value = self.value(request.class);
        // What is worth least is refused first while too many answers are late; the client may return.
        let below = (0..self.set.classes.len()).filter(|class| self.value(*class) < value).count();
        let shed = (self.shed - below as f64).min(MOST_SHED);
        if shed > 0.0 && self.rng.random::<f64>() < shed {
            act.push(self.refusal(id, EndReason::Shed));
            return None;
        }
        self.models.entry(name).or_default().waiting.push(id);
        self.hungry.insert(name);
        let (since, seq) = (self.now, self.seq);
        self.pending.insert(id, Pending { request, since, seq, value, ..Pending::default() });
        Some(name)
    }

    /// Worth of a call of a class for the work it takes.
    fn value(&self, class: usize) -> f64 {
        self.set.classes[class].worth / if self.set.worth_by_work { 1.0 } else { self.usual[class].max(1.0) }
    }

    /// Ends a request: refused where another try is harmless, failed where it may not be.
    fn end(&mut self, id: RequestId, reason: EndReason, act: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else { return };
        let harmless = match self.set.classes[pending.request.class].effect {
            Effect::Repeatable | Effect::Keyed(Group::All, _) => true,
            _ => pending.ran.is_empty(),
        };
        act.push(if harmless { self.refusal(id, reason) } else { Action::Fail { id, reason } });
        self.call_off(id, self.late(&pending), act);
    }

    fn late(&self, pending: &Pending) -> bool {
        self.now - pending.since > self.set.classes[pending.request.class].aim
    }

    /// A refusal tells when to come back: what is short is short for longer than a client's pause, and
    /// those who heed the advice stay away as long as it may keep them.
    fn refusal(&self, id: RequestId, reason: EndReason) -> Action {
        let retry_after = if self.set.retry_after { self.set.max_retry_after } else { 0.0 };
        Action::Refuse { id, retry_after, reason }
    }

    /// Stops the work for a request that nobody waits for any more. One that waited past its aim counts as
    /// late, so that clients who leave and come back at once do not pile work on work; one taken back
    /// before tells nothing of the workers.
    fn call_off(&mut self, id: RequestId, late: bool, act: &mut Vec<Action>) {
        for (&(_, attempt), flight) in self.flights.range_mut((id, 0)..=(id, u32::MAX)) {
            if self.set.cancel && !std::mem::replace(&mut flight.called_off, true) {
                act.push(Action::Cancel { id, attempt });
            }
            if !late || flight.lost {
                continue;
            }
            self.shed = (self.shed + SHED * (1.0 - LATE)).min(self.usual.len() as f64);
            self.workers.entry(flight.worker).and_modify(|worker| worker.narrow(self.now, self.aim));
        }
    }

    fn finished(&mut self, end: &Finished, act: &mut Vec<Action>) -> Option<ModelId> {
        let &Finished { id, attempt, outcome, .. } = end;
        let flight = self.flights.remove(&(id, attempt));
        if let Some(flight) = &flight {
            self.learn(flight, end);
        }
        let model = flight.as_ref().map(|flight| flight.model);
        let Some(pending) = self.pending.get_mut(&id) else { return model };
        if end.closed {
            self.pending.remove(&id);
            return model;
        }
        flight?;
        pending.out = pending.out.saturating_sub(1);
        let unharmed = outcome.proves_not_run();
        if unharmed {
            pending.ran.retain(|ran| ran.0 != attempt);
        }
        let may_repeat = match self.set.classes[pending.request.class].effect {
            Effect::Unsafe => pending.ran.is_empty(),
            Effect::Keyed(_, window) => pending.ran.first().is_none_or(|ran| self.now < ran.2 + window),
            Effect::Repeatable => true,
        };
        // Only what may have run draws on the budget: it is the kind of retry that adds work. Whatever its
        // client makes up is tried in few places, and leaves the budget to others.
        let proven = self.models.get(&pending.request.model).is_some_and(|model| model.proven);
        let free = unharmed || outcome == Outcome::Error && !proven;
        let paid = free || self.retries >= 1.0;
        let over = pending.request.expires <= self.now + 2.0 * self.set.tick;
        let reason = match () {
            _ if over => Some(EndReason::NoTime),
            _ if !may_repeat => Some(EndReason::MayNotRepeat),
            _ if !paid => Some(EndReason::RetryBudget),
            _ if pending.attempts >= self.set.max_attempts => Some(EndReason::NoAttempts),
            _ => None,
        };
        if let Some(reason) = reason {
            self.end(id, reason, act);
        } else {
            self.retries -= if free { 0.0 } else { 1.0 };
            self.hungry.insert(pending.request.model);
            self.models.entry(pending.request.model).or_default().waiting.push(id);
        }
        model
    }

    /// Corrects beliefs from the end of an attempt.
    fn learn(&mut self, flight: &Flight, end: &Finished) {
        let &Finished { outcome, took, warmth, .. } = end;
        let (now, keep, class) = (self.now, self.set.keep, flight.class);
        let aim = self.set.classes[class].aim;
        let Some(worker) = self.workers.get_mut(&flight.worker) else { return };
        let Some(model) = self.models.get_mut(&flight.model) else { return };
        model.told(outcome, outcome == Outcome::Ok, now + keep / 2.0);
        let holder = model.holders.entry(flight.worker).or_default();
        holder.out = holder.out.saturating_sub(1);
        // What an earlier process did tells nothing of this one.
        if flight.life != worker.life {
            return;
        }
        worker.out = worker.out.saturating_sub(u32::from(!flight.lost));
        // After a stall of our own the time taken is ours, not the worker's.
        let own = flight.sent < self.awake && now - self.awake < aim / TICKS_PER_AIM;
        let mut shed = 0.0;
        // One broken connection takes all its calls along, and is one failure.
        let again = outcome == Outcome::Reset && now < worker.reset + worker.health.len() as f64;
        worker.reset = if outcome == Outcome::Reset { now } else { worker.reset };
        // That a worker can't use a name which none could use so far tells nothing of the worker.
        let error = outcome == Outcome::Error && warmth != Warmth::LoadFailed && model.proven;
        let failed = error || outcome == Outcome::ConnectFailed || outcome == Outcome::Reset && !again;
        if failed || outcome == Outcome::Ok {
            blend(&mut self.doubt[class], f64::from(u8::from(failed)));
            worker.health[class].note(now, keep, failed);
        }
        let usual = &mut self.usual[class];
        match outcome {
            Outcome::Ok => {
                (holder.copies, holder.seen, holder.lacks) = (holder.copies.max(1), now, 0.0);
                self.served.add(now, keep);
                worker.answered.add(now, self.half);
                let loaded = matches!(warmth, Warmth::Loaded | Warmth::Waited)
                    || warmth == Warmth::Untold && !flight.warm && took > self.load_ms / 2.0;
                if !loaded && !own {
                    blend(&mut worker.pace, (took / usual.max(1.0)).clamp(0.1, 10.0));
                    worker.paced_at = now;
                    blend(usual, took);
                    let fastest = self.zone_ms.entry(worker.zone).or_insert(took);
                    *fastest = fastest.min(took);
                    if took < aim / 2.0 {
                        worker.limit = (worker.limit + 1.0 / worker.limit).min(MOST_LIMIT);
                    } else if took > 0.75 * aim {
                        worker.narrow(now, took);
                    }
                    shed = SHED * (f64::from(u8::from(took > aim)) - LATE);
                }
            }
            Outcome::Miss => (holder.copies, holder.lacks) = (0, now + keep / 2.0),
            Outcome::Full => {
                worker.full_until = now + *usual;
                worker.narrow(now, *usual);
                // Others may have room: only where most are full is there too much to do.
                let full = self.workers.values().filter(|worker| worker.ready && worker.full_until > now);
                shed = if 2 * full.count() > self.ready { SHED * (1.0 - LATE) } else { 0.0 };
            }
            _ if warmth == Warmth::LoadFailed => holder.copies = 0,
            _ => {}
        }
        self.shed = (self.shed + shed).clamp(0.0, self.usual.len() as f64);
        if outcome == Outcome::ConnectFailed {
            self.broke(flight.worker);
        }
    }

    /// A connection was refused or never came up: bad for every class. A process that broke connections
    /// just before has died and holds nothing, and the list tells late that its successor is cold: it
    /// counts as just started from now on. A connection that breaks alone proves nothing of the kind.
    fn broke(&mut self, id: WorkerId) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.health.iter_mut().for_each(|health| health.note(now, self.set.keep, true));
        let died = worker.reset > 0.0 && now < worker.reset + self.set.keep;
        worker.broke = now;
        for model in worker.lines.iter().filter(|_| died) {
            let holder = self.models.get_mut(model).and_then(|model| model.holders.get_mut(&id));
            holder.into_iter().for_each(|holder| holder.copies = 0);
        }
    }

    fn loaded(&mut self, id: WorkerId, name: ModelId, outcome: Outcome, copies: u32, took: Ms) {
        let now = self.now;
        let Some(model) = self.models.get_mut(&name) else { return };
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.lines.insert(name);
        model.told(outcome, copies > 0, now + self.set.keep / 2.0);
        let holder = model.holders.entry(id).or_default();
        let ours = self.loads.remove(&(name, id));
        model.asking = model.asking.saturating_sub(u32::from(!ours));
        holder.copies = copies;
        match outcome {
            Outcome::Ok => {
                holder.seen = now;
                holder.lacks = if copies > 0 { 0.0 } else { now + self.load_ms };
                if ours && took > self.aim / TICKS_PER_AIM {
                    blend(&mut self.load_ms, took);
                    self.loads_cap = (self.loads_cap + 0.1).min(MOST_LIMIT);
                }
            }
            _ => {
                // No room, or a jammed store: fewer loads at a time, and each model waits its turn. A lost
                // question tells of neither.
                let jam = outcome == Outcome::Error && (model.proven || model.strange < UNKNOWN);
                if ours && (jam || matches!(outcome, Outcome::Full | Outcome::Timeout)) {
                    self.loads_cap = (self.loads_cap * NARROWER).max(1.0);
                }
                if outcome == Outcome::Full {
                    worker.no_room_until = now + self.load_ms;
                } else {
                    model.retry_at = now + self.load_ms / 2.0;
                }
                if outcome == Outcome::ConnectFailed {
                    self.broke(id);
                }
            }
        }
    }

    /// Gives waiting calls of these models to workers, the worthiest first, those past their aim last.
    fn pump(&mut self, names: Vec<ModelId>, act: &mut Vec<Action>) {
        let mut queue: Vec<(bool, f64, u64, RequestId)> = Vec::new();
        for name in names {
            let waiting = self.models.get_mut(&name).map(|model| std::mem::take(&mut model.waiting));
            for id in waiting.unwrap_or_default() {
                if let Some(pending) = self.pending.get(&id) {
                    queue.push((self.late(pending), -pending.value, pending.seq, id));
                }
            }
            self.hungry.remove(&name);
            self.homes(name);
        }
        queue.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        // What one call of a model found shut is shut to its like behind it.
        let mut shut: BTreeSet<(ModelId, usize)> = BTreeSet::new();
        for (_, _, _, id) in queue {
            let Some(pending) = self.pending.get(&id) else { continue };
            let (name, class, first) = (pending.request.model, pending.request.class, pending.attempts == 0);
            if first && shut.contains(&(name, class)) || !self.place(id, act) {
                self.models.entry(name).or_default().waiting.push(id);
                self.hungry.insert(name);
                shut.insert((name, class));
            }
        }
    }

    /// Odds that a call of a class fails at a worker, from its own answers and failures and, as far as
    /// there are few of those, the other classes' failures and the part that fails everywhere: so a
    /// worker known to answer is preferred while many do not, and none is shunned when all are alike.
    fn odds(&self, worker: &Worker, class: usize) -> f64 {
        let faded = |health: &Health| 0.5f64.powf((self.now - health.at) / self.set.keep);
        let all: f64 = worker.health.iter().map(|health| health.bad * faded(health)).sum();
        let own = &worker.health[class];
        let (good, own) = (own.good * faded(own), own.bad * faded(own));
        let bad = own + (all - own) / (1.0 + good);
        (bad + self.doubt[class]) / (good + 1.0 - self.doubt[class]).max(0.01)
    }

    /// Whether a call may go to a worker now, as far as the rules go.
    fn open(&self, worker: &Worker, pending: &Pending) -> bool {
        let shut = !worker.ready || worker.full_until > self.now || f64::from(worker.out) >= worker.limit;
        !shut && self.within_group(worker, pending)
    }

    /// Whether a keyed call that may have run may go to a worker.
    fn within_group(&self, worker: &Worker, pending: &Pending) -> bool {
        let effect = self.set.classes[pending.request.class].effect;
        let (Effect::Keyed(group, window), Some(ran)) = (effect, pending.ran.first()) else { return true };
        self.now + self.set.tick < ran.2 + window
            && self.workers.get(&ran.1).is_some_and(|first| match group {
                Group::All => true,
                Group::Zone => first.zone == worker.zone,
                Group::Cell => first.cell == worker.cell && first.cell >= 0,
            })
    }

    /// Expected time of a call at a worker, its risk of failure and the crossing of zones counted in.
    /// Gives also the time for which it would wait for a lane.
    fn cost(&self, worker: &Worker, holder: Option<&Holder>, pending: &Pending, lanes: f64) -> (f64, Ms) {
        let (class, now) = (pending.request.class, self.now);
        let usual = self.usual[class].max(1.0);
        let load = f64::from(worker.out) + 1.0;
        let pace = 1.0 + (worker.pace - 1.0) * 0.5f64.powf((now - worker.paced_at) / self.set.keep);
        let busy = holder.map_or(0.0, |line| f64::from(line.out));
        let copies = f64::from(holder.map_or(1, |line| line.copies.max(1)));
        let queue = ((busy + 1.0) / (lanes * copies) - 1.0).max(0.0);
        let time = usual * pace * load / worker.weight.max(0.1) + usual * queue;
        (time + self.odds(worker, class) * self.set.classes[class].aim, usual * queue)
    }

    fn place(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let may_order = self.set.orders && self.within_ration();
        let Some(pending) = self.pending.get(&id).filter(|pending| pending.out == 0) else { return true };
        let (name, class, now) = (pending.request.model, pending.request.class, self.now);
        // Work that cannot be answered in time is wasted, and where nothing stops it, so is the worker.
        let usual = self.usual[class];
        let reason = match () {
            _ if self.models.get(&name).is_some_and(|model| model.unknown_until > now) => {
                Some(EndReason::UnknownModel)
            }
            _ if pending.attempts >= self.set.max_attempts => Some(EndReason::NoAttempts),
            _ if pending.request.expires - now < usual => Some(EndReason::NoTime),
            _ => None,
        };
        if let Some(reason) = reason {
            self.end(id, reason, act);
            return true;
        }
        let Some(mut found) = self.survey(pending, may_order) else { return false };
        while found.best.is_some_and(|best| !self.admitted(id, best.1)) {
            found = self.pending.get(&id).and_then(|call| self.survey(call, may_order)).unwrap_or_default();
        }
        let dear = found.best.is_none_or(|best| best.0 .2 > self.load_ms + usual);
        // Before a load, other zones are asked; where a call would load by itself, the own one too.
        let loads = self.set.lacking == Lacking::Loads;
        if self.set.orders && !self.roams() && !found.known && (dear || loads) && self.ask(name, act) {
            return false;
        }
        if dear {
            self.order(id, name, act);
        }
        found.best.is_some_and(|(_, at)| self.send(id, at, act))
    }

    /// Whether calls look in each zone themselves: where a question costs more than half a crossing.
    fn roams(&self) -> bool {
        self.set.lacking == Lacking::Misses && 2.0 * self.set.price_probe > self.set.price_cross
    }

    /// Looks for the best worker for a call: the likeliest home and what else is believed to stand; cold ones
    /// left out where they are spared.
    fn survey(&self, pending: &Pending, may_order: bool) -> Option<Found> {
        let (name, class, now) = (pending.request.model, pending.request.class, self.now);
        let (model, &Class { aim, effect, .. }) = (self.models.get(&name)?, &self.set.classes[class]);
        let crossing_pays = |zone: usize| {
            let own = self.zone_ms.get(&self.set.zone).copied().unwrap_or(0.0);
            let there = self.zone_ms.get(&zone).copied().unwrap_or(own);
            let crossing = self.set.price_cross + (there - own).max(0.0) / self.aim;
            crossing <= self.set.price_fetch + self.load_ms / self.aim
        };
        // A call goes and looks itself where that proves harmless, or no order may be given.
        let misses = self.set.lacking == Lacking::Misses;
        let look = misses && pending.attempts + 1 < self.set.max_attempts || !may_order;
        // Unsafe calls are no bait: not sent where they rather fail than not, unless they do everywhere.
        let doubt = self.doubt[class] / (1.0 - self.doubt[class]).max(0.01);
        let (roams, mut zones, mut found) = (self.roams(), BTreeSet::new(), Found::default());
        for &at in &model.homes {
            let line = model.holders.get(&at);
            let stands = line.is_some_and(|line| line.stands(now, self.set.keep));
            let Some(worker) = self.workers.get(&at) else { continue };
            let cold = worker.cold(now, &self.set);
            // A cold worker that is far holds little yet, and has no calls to spare.
            let near = zones.is_empty() || roams && !cold && !zones.contains(&worker.zone);
            // One that has come back is looked at once, whatever stands elsewhere.
            let back = cold && worker.life > 1 && pending.attempts == 0 && worker.untried(&self.set);
            if !(stands || near || back) || self.spares(pending, worker, at) || !self.open(worker, pending) {
                continue;
            }
            let odds = self.odds(worker, class);
            zones.extend((odds < 1.0).then_some(worker.zone));
            if effect == Effect::Unsafe && odds > 1.0 + doubt {
                continue;
            }
            if back {
                return Some(Found { best: Some(((false, false, 0.0), at)), known: true });
            }
            let clear = line.is_none_or(|line| line.lacks <= now) && !self.loads.contains(&(name, at));
            let presumed = near && look && (clear || !may_order);
            if !stands && !presumed {
                continue;
            }
            found.known |= stands;
            let foreign = worker.zone != self.set.zone;
            let (cost, queue) = self.cost(worker, line, pending, model.lanes);
            // A queue there is worth joining while it is cleared well within the aim.
            let fits = if foreign { queue <= 0.0 && crossing_pays(worker.zone) } else { queue < QUEUE * aim };
            // Where it may have run without an answer it is tried again last.
            let cost = cost + if pending.ran.iter().any(|ran| ran.1 == at) { aim } else { 0.0 };
            let key = (foreign, foreign && roams && !stands, cost);
            if fits && found.best.is_none_or(|best| key < best.0) {
                found.best = Some((key, at));
            }
        }
        Some(found)
    }

    /// Asks the first home of each zone whether the model stands there, once in half a keep time: a
    /// front end with little traffic finds what others brought. Tells whether answers are to come.
    fn ask(&mut self, name: ModelId, act: &mut Vec<Action>) -> bool {
        let Some(model) = self.models.get_mut(&name) else { return false };
        let (now, since) = (self.now, self.now - model.asked_at);
        if model.asked_at > 0.0 && since < self.set.keep / 2.0 {
            return model.asking > 0 && since < self.aim / TICKS_PER_AIM;
        }
        (model.asked_at, model.asking) = (now, 0);
        let mut zones = BTreeSet::new();
        for &at in &model.homes {
            let Some(worker) = self.workers.get_mut(&at) else { continue };
            let broke = worker.broke > 0.0 && now < worker.broke + self.set.fall_span;
            let lacks = model.holders.get(&at).is_some_and(|line| line.lacks > now);
            if worker.full_until <= now && !broke && zones.insert(worker.zone) && !lacks {
                worker.lines.insert(name);
                model.holders.entry(at).or_default();
                model.asking += 1;
                act.push(Action::Load { worker: at, model: name, copies: 0 });
            }
        }
        model.asking > 0
    }

    fn send(&mut self, id: RequestId, at: WorkerId, act: &mut Vec<Action>) -> bool {
        let (now, keep) = (self.now, self.set.keep);
        let (Some(pending), Some(worker)) = (self.pending.get_mut(&id), self.workers.get_mut(&at)) else {
            return true;
        };
        let (class, model, attempt) = (pending.request.class, pending.request.model, pending.attempts);
        worker.out += 1;
        worker.sent.add(now, self.set.fall_span.min(self.set.cold_span));
        (pending.attempts, pending.out) = (attempt + 1, pending.out + 1);
        pending.ran.push((attempt, at, now));
        let holder = self.models.entry(model).or_default().holders.entry(at).or_default();
        holder.out += 1;
        worker.lines.insert(model);
        let (warm, life) = (holder.stands(now, keep), worker.life);
        let flight = Flight { worker: at, life, model, class, sent: now, warm, ..Flight::default() };
        self.plan(now + self.patience(&flight), Due::Answer(id, attempt));
        self.flights.insert((id, attempt), flight);
        act.push(Action::Send { id, worker: at, within: 0.0 });
        true
    }

    fn patience(&self, flight: &Flight) -> Ms {
        PATIENCE * self.usual[flight.class].max(1.0) + if flight.warm { 0.0 } else { self.load_ms }
    }

    /// Calls of ours that a cold worker bears in the span in which too many would fell it: its share, by its
    /// present capacity, of what the fleet served of late, or was asked for where it served hardly any yet,
    /// and what it proved by answers of its own, less than what would fell one of the usual speed.
    fn bears(&self, worker: &Worker) -> f64 {
        let [taken, served] = [&self.taking, &self.served].map(|calls| calls.at(self.now, self.set.keep));
        let asked = (taken - UNSERVED * served) / self.ready.max(1) as f64;
        let rate = (served / self.whole.value.max(1.0)).max(asked) / self.set.keep;
        let share = worker.warmth(self.now, &self.set) * worker.weight / self.weight * rate * self.half;
        let proved = (self.set.fall_multiple - 1.0) * worker.answered.at(self.now, self.half);
        (share + proved).min(self.set.fall_multiple * share)
    }

    /// Whether a call spares a worker: that one is cold, and has its fill or the call lost its draw there of
    /// late, or at several others.
    fn spares(&self, pending: &Pending, worker: &Worker, at: WorkerId) -> bool {
        let lost = pending.draws.iter().filter(|draw| !draw.1 && self.now < draw.2 + self.set.fall_span);
        let lost = || lost.clone().count() >= DRAWS || lost.clone().any(|draw| draw.0 == at);
        let full = || worker.sent.count(self.now, self.set.fall_span) >= self.bears(worker).max(1.0);
        worker.cold(self.now, &self.set) && (full() || lost())
    }

    /// Whether a call may go to a worker. Where that one is cold and bears less than one call of each front
    /// end, it is drawn. Each counts how many of its own would go there, so that one with few calls needs
    /// no allowance saved up beforehand.
    fn admitted(&mut self, id: RequestId, at: WorkerId) -> bool {
        let (now, set) = (self.now, &self.set);
        let Some(worker) = self.workers.get(&at).filter(|worker| worker.cold(now, set)) else { return true };
        let left = self.bears(worker) - worker.sent.count(now, set.fall_span);
        let (Some(pending), Some(worker)) = (self.pending.get_mut(&id), self.workers.get_mut(&at)) else {
            return true;
        };
        pending.draws.retain(|draw| now < draw.2 + set.fall_span);
        if let Some(met) = pending.draws.iter().find(|draw| draw.0 == at) {
            return met.1;
        }
        let wanted = worker.wanted.add(now, self.half);
        let part = if left < 1.0 { left / wanted } else { 1.0 };
        let least = if wanted <= 1.0 { FIRST_CALLS / f64::from(set.front_ends) } else { 0.0 };
        let drawn = self.rng.random::<f64>() < part.max(least);
        pending.draws.push((at, drawn, now));
        drawn
    }

    /// Whether one more load keeps the ration, which is counted where orders arrive: each within the lag.
    fn within_ration(&self) -> bool {
        let (set, since, lag) = (&self.set, self.now - self.set.load_window, self.set.order_lag);
        let allowed = set.load_free + set.load_share * self.taken.since(since + lag) as f64;
        set.load_window <= 0.0 || self.ordered.since(since - lag) as f64 + 1.0 <= allowed
    }

    /// Ranks the homes of a model, own zone first, and there in the order that every front end would
    /// name (highest random weight), so that copies are shared without a word between them.
    fn homes(&mut self, name: ModelId) {
        let Some(model) = self.models.get_mut(&name) else { return };
        // By the same clock, so that all see cold workers grow in the same steps.
        let now = (self.now / STEP).floor() * STEP;
        if model.homes_of != (self.roster_of, now) {
            let key = |(id, worker): (&WorkerId, &Worker)| {
                let warmth = if worker.untried(&self.set) { 1.0 } else { worker.warmth(now, &self.set) };
                (worker.zone != self.set.zone, rank(worker, name, warmth), *id)
            };
            let mut ranked: Vec<_> = self.workers.iter().filter(|entry| entry.1.ready).map(key).collect();
            ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            model.homes = ranked.into_iter().map(|entry| entry.2).collect();
            model.homes_of = (self.roster_of, now);
        }
    }

    /// Orders one more copy of a model held, making room by the paper's draw.
    fn order(&mut self, id: RequestId, name: ModelId, act: &mut Vec<Action>) {
        let (Some(model), Some(pending)) = (self.models.get(&name), self.pending.get(&id)) else { return };
        let under_way = self.loads.range((name, WorkerId(0))..=(name, WorkerId(u32::MAX))).count();
        let barred = !self.set.orders || under_way >= LOADS_PER_MODEL || self.now < model.retry_at;
        if barred || self.loads.len() as f64 >= self.loads_cap || !self.within_ration() {
            return;
        }
        let class = pending.request.class;
        let shut = |id: &WorkerId, worker: &Worker| {
            let stands = model.holders.get(id).is_some_and(|line| line.stands(self.now, self.set.keep));
            let until = worker.no_room_until.max(worker.full_until);
            !worker.ready
                || !self.within_group(worker, pending)
                || stands
                || until > self.now
                || self.loads.contains(&(name, *id))
                || self.spares(pending, worker, *id)
        };
        let key = |worker: &Worker| (self.odds(worker, class) >= 1.0, worker.zone != self.set.zone);
        let homes = model.homes.iter().filter_map(|id| self.workers.get(id).map(|worker| (*id, worker)));
        let open = homes.filter(|(id, worker)| !shut(id, worker));
        let Some((worker, _)) = open.min_by_key(|home| key(home.1)) else { return };
        if !self.admitted(id, worker) {
            return self.order(id, name, act);
        }
        self.make_room(worker, name, act);
        self.models.entry(name).or_default().holders.entry(worker).or_default();
        self.workers.entry(worker).and_modify(|worker| _ = worker.lines.insert(name));
        self.loads.insert((name, worker));
        self.seq += 1;
        self.ordered.add(self.now, self.seq, self.set.load_window + self.set.order_lag);
        self.plan(self.now + PATIENCE / 2.0 * self.load_ms, Due::Order(name, worker));
        act.push(Action::Load { worker, model: name, copies: 1 });
    }

    fn make_room(&mut self, at: WorkerId, name: ModelId, act: &mut Vec<Action>) {
        let Some(worker) = self.workers.get(&at) else { return };
        let Some(&total) = self.set.kind_memory.get(worker.kind) else { return };
        let mut placed = self.models.get(&name).map_or(0.0, |model| model.memory);
        let mut idle: Vec<(ModelId, f64, f64)> = Vec::new();
        for &id in worker.lines.iter().filter(|id| **id != name) {
            let Some(model) = self.models.get(&id) else { continue };
            let Some(holder) = model.holders.get(&at) else { continue };
            let stands = holder.stands(self.now, self.set.keep);
            let loading = self.loads.contains(&(id, at));
            if stands || loading {
                let held = model.memory * f64::from(holder.copies.max(1));
                placed += held;
                if stands && holder.out == 0 && !loading {
                    idle.push((id, held, self.eviction_weight(model)));
                }
            }
        }
        while placed > total {
            let Ok(&(id, held, _)) = idle.choose_weighted(&mut self.rng, |victim| victim.2) else { break };
            idle.retain(|victim| victim.0 != id);
            placed -= held;
            if let Some(holder) = self.models.get_mut(&id).and_then(|model| model.holders.get_mut(&at)) {
                holder.copies = 0;
            }
            act.push(Action::Evict { worker: at, model: id });
        }
    }

    /// The paper's u / (f + t), with f halved every keep time and t a recency between 0 and 1.
    fn eviction_weight(&self, model: &Model) -> f64 {
        let age = (self.now - model.used.last).max(0.0) / self.set.keep;
        model.memory.max(1.0) / (model.used.at(self.now, self.set.keep) + 1.0 / (1.0 + age))
    }

    /// Does what is due by then.
    fn due(&mut self, until: Ms, act: &mut Vec<Action>) {
        let until = (until * 1000.0) as u64;
        while self.agenda.first().is_some_and(|entry| entry.0 <= until) {
            let Some((_, due)) = self.agenda.pop_first() else { return };
            match due {
                Due::Expiry(id) if self.pending.get(&id).is_some_and(|p| !p.streaming) => {
                    self.end(id, EndReason::NoTime, act);
                }
                Due::Answer(id, attempt) => self.overdue(id, attempt, act),
                // An order that is long overdue is counted as lost; the load may go elsewhere.
                Due::Order(model, at) if self.loads.remove(&(model, at)) => {
                    let until = self.now + self.load_ms;
                    self.workers.entry(at).and_modify(|worker| worker.no_room_until = until);
                }
                Due::Expiry(_) | Due::Order(..) => {}
                Due::Sweep => self.sweep(),
            }
        }
    }

    /// Silence: an attempt is out for far longer than usual and nothing of its class was heard since,
    /// or it is out for twice as long whatever was heard.
    fn overdue(&mut self, id: RequestId, attempt: u32, act: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&(id, attempt)) else { return };
        let (patience, since) = (self.patience(flight), flight.sent.max(self.awake));
        let (class, at) = (flight.class, flight.worker);
        if since + patience > self.now + 2.0 * (self.period() + self.set.tick) {
            return self.plan(since + patience, Due::Answer(id, attempt));
        }
        let Some(worker) = self.workers.get_mut(&at).filter(|w| w.life == flight.life) else { return };
        if !flight.overdue && worker.health[class].heard > since {
            // Others are answered there: this one is lost, and takes no place that is of use to others.
            worker.out = worker.out.saturating_sub(1);
            self.flights.entry((id, attempt)).and_modify(|flight| flight.lost = true);
            self.plan(self.now + patience, Due::Answer(id, attempt));
        } else {
            worker.health[class].note(self.now, self.set.keep, true);
            blend(&mut self.doubt[class], 1.0);
            let more = |p: &Pending| p.attempts < self.set.max_attempts && !p.streaming;
            let may = self.pending.get(&id).is_some_and(more) && self.set.cancel && self.retries >= 1.0;
            if may && self.set.classes[class].effect == Effect::Repeatable && !flight.called_off {
                self.flights.entry((id, attempt)).and_modify(|flight| flight.called_off = true);
                act.push(Action::Cancel { id, attempt });
            }
        }
        self.flights.entry((id, attempt)).and_modify(|flight| flight.overdue = true);
    }

    /// Forgets what is no longer of use, so that a process that runs for months stays bounded.
    fn sweep(&mut self) {
        let (now, keep) = (self.now, self.set.keep);
        self.plan(now + keep + 4.0 * (self.period() + self.set.tick), Due::Sweep);
        self.workers.retain(|_, worker| !worker.gone || worker.out > 0);
        for (name, model) in &mut self.models {
            model.holders.retain(|at, line| {
                let loading = self.loads.contains(&(*name, *at));
                let used = line.out > 0 || loading || now - line.seen < FORGET_KEEPS * keep;
                let worker = self.workers.get_mut(at);
                let kept = used && worker.is_some();
                worker.filter(|_| !kept).into_iter().for_each(|worker| _ = worker.lines.remove(name));
                kept
            });
        }
        let used = |model: &Model| !model.holders.is_empty() || !model.waiting.is_empty();
        // A name that never stood anywhere is hardly a model: clients can make up any number of them.
        let kept = |model: &Model| if model.proven { FORGET_KEEPS * keep } else { keep };
        self.models.retain(|_, model| used(model) || now - model.used.last < kept(model));
    }
}
