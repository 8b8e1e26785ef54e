//! Every decision of corkbay. Its types, events and actions are in `src/interface.rs`, what it remembers in
//! `src/state.rs`.
//!
//! The ordinary path is the paper's: a call goes to a believed-idle warm instance, own zone first,
//! across zones only when that is cheaper than a load; before a load on a full worker, idle models
//! drawn with weight size / (frequency + recency) are dropped. All else guards that path.
//!
//! | module | job |
//! | --- | --- |
//! | `requests` | requests taken in, shed and ended unserved |
//! | `routing` | which worker gets a call |
//! | `survey` | the look over the workers that a call may go to |
//! | `slow_start` | what workers that have just started are spared |
//! | `loading` | where a missing model is loaded, and what gives way |
//! | `outcomes` | the ends of attempts and orders |
//! | `beliefs` | what is believed of workers and models |
//! | `roster` | news of the workers |
//! | `timers` | what comes due, and what is forgotten |
mod beliefs;
mod loading;
mod outcomes;
mod requests;
mod roster;
mod routing;
mod slow_start;
mod survey;
mod timers;

use crate::fleet::{ColdWorkers, Fleet, RankedWorker, Side, GREATEST_WEIGHT, SIDES};
use crate::homes::{self, Homes, WorkerWarmth};
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
/// Retries of calls that may have run, as a part of the calls taken.
const RETRY_PART: f64 = 0.1;
/// Part of the answers that may be late before calls are refused, how fast that follows, and the most
/// of a class that is refused.
const LATE: f64 = 0.1;
const SHED: f64 = 0.02;
const MOST_LIMIT: f64 = 64.0;
/// Ticks in an aim, and ticks without any event after which the front end itself stood still.
const TICKS_PER_AIM: f64 = 40.0;
const STALL_TICKS: f64 = 8.0;

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
    /// The ready workers.
    fleet: Fleet,
    /// Those of them that are cold.
    cold: ColdWorkers,
    /// Those of them that have come back and were not tried since.
    returned: BTreeSet<WorkerId>,
    /// Those of them that said that they are full, and until when that counts.
    full: BTreeMap<WorkerId, Ms>,
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

fn blend(old: &mut f64, new: f64) {
    *old += NEWEST * (new - *old);
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
            fleet: Fleet::default(),
            cold: ColdWorkers::default(),
            returned: BTreeSet::new(),
            full: BTreeMap::new(),
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
            let whole = self.whole_workers();
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
        Tables::of(&self.models, &self.workers, &self.fleet, self.agenda.len())
    }

    /// What a call of the model adds to that, in bytes: nothing where the model is known.
    pub fn adds(&self, model: ModelId) -> usize {
        self.models.get(&model).map_or(Model::cost(self.fleet.len()), |_| 0)
    }

    fn period(&self) -> Ms {
        (self.aim / TICKS_PER_AIM).max(self.set.tick).max(1.0)
    }

    fn plan(&mut self, at: Ms, due: Due) {
        self.agenda.insert(((at.clamp(0.0, 1e15) * 1000.0) as u64, due));
    }
}
