//! The decision logic: routing of calls, loading and eviction of models. Its public types, events and
//! actions are in `src/interface.rs`, its state in `src/state.rs`.
//!
//! The common path follows the paper: a call goes to a loaded copy that is presumed idle, in the
//! invoker's own zone first and across zones only when that is cheaper than a load. Before a load on a
//! full worker, idle models drawn with weight size / (frequency + recency) are evicted. The rest of the
//! code handles overload, failures and restarts.
//!
//! | module | job |
//! | --- | --- |
//! | `requests` | admits requests, sheds load, ends requests unserved |
//! | `routing` | chooses the worker for a call and sends it |
//! | `survey` | searches the workers that a call may go to |
//! | `slow_start` | limits the calls to workers that have just started |
//! | `loading` | chooses where to load a missing model and what to evict |
//! | `outcomes` | processes the results of attempts and load orders |
//! | `beliefs` | estimates of the state of workers and models |
//! | `roster` | applies changes of the list of workers |
//! | `timers` | runs scheduled tasks and expires unused state |
mod beliefs;
mod loading;
mod outcomes;
mod requests;
mod roster;
mod routing;
mod slow_start;
mod survey;
mod timers;

use crate::fleet::{ColdWorkers, Fleet, RankedWorker, Side, MAX_WEIGHT, SIDES};
use crate::interface::*;
use crate::preferred_workers::{self, PreferredWorkers, WorkerWarmth};
use crate::state::*;
use rand::{rngs::SmallRng, seq::IndexedRandom, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of concurrent loads of one model; also the initial limit on all loads that this invoker
/// has ordered.
const MAX_LOADS_PER_MODEL: usize = 2;
/// Weight of the newest sample in exponential moving averages.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.2;
/// An attempt counts as unanswered after this many times the usual latency.
const ANSWER_TIMEOUT_FACTOR: f64 = 10.0;
/// Retries allowed per request taken, for calls that may have run.
const RETRY_RATIO: f64 = 0.1;
/// Ratio of late answers above which calls are shed.
const TOLERATED_LATE_RATIO: f64 = 0.1;
/// Step of the shedding level for each answer.
const SHED_STEP: f64 = 0.02;
/// Upper bound of the limits on attempts in flight at a worker and on concurrent loads.
const MAX_LIMIT: f64 = 64.0;
/// Timer periods per latency target.
const TICKS_PER_AIM: f64 = 40.0;
/// Timer periods without any event after which the invoker itself is taken to have stalled.
const STALL_TICKS: f64 = 8.0;

/// Makes the decisions of one invoker. See [`Event`] and [`Action`].
pub struct Dispatcher {
    settings: Settings,
    rng: SmallRng,
    now: Ms,
    next_tick_at: Ms,
    /// End of the last stall of this invoker itself.
    running_since: Ms,
    seq: u64,
    workers: BTreeMap<WorkerId, Worker>,
    /// The ready workers.
    fleet: Fleet,
    /// The ready workers that are cold.
    cold_workers: ColdWorkers,
    /// Cold ready workers that came back under a new incarnation and have had no call since.
    returned_workers: BTreeSet<WorkerId>,
    /// Ready workers that answered "full", with the time until which that counts.
    full_workers: BTreeMap<WorkerId, Ms>,
    models: BTreeMap<ModelId, Model>,
    /// Models with waiting calls.
    backlogged_models: BTreeSet<ModelId>,
    pending: BTreeMap<RequestId, PendingRequest>,
    attempts_in_flight: BTreeMap<(RequestId, u32), InFlightAttempt>,
    /// Tasks by due time in microseconds.
    scheduled_tasks: BTreeSet<(u64, ScheduledTask)>,
    /// By class: moving average of the latency of answers from a loaded copy, in ms.
    usual_latency_ms: Vec<f64>,
    /// By class: moving average of the share of calls that fail.
    failure_rate: Vec<f64>,
    /// Load shedding level, from 0 to the number of classes: a class with n less valuable ones is shed with
    /// probability `shed_level - n`, with an upper bound.
    shed_level: f64,
    /// Moving average of the time of a load, in ms.
    load_ms: f64,
    /// Load orders of this invoker that have no result yet.
    loads_in_progress: BTreeSet<(ModelId, WorkerId)>,
    max_concurrent_loads: f64,
    /// Tokens for retries of calls that may have run.
    retry_budget: f64,
    /// Calls taken and served, and an average over the same time of [`Dispatcher::effective_worker_count`].
    taken_calls: DecayingCount,
    served_calls: DecayingCount,
    effective_workers: DecayingAverage,
    /// Half-life, in ms, of counts that cover about one `overload_span`.
    half_life: Ms,
    recent_requests: RecentUnique<RequestId>,
    recent_load_orders: RecentUnique<u64>,
    /// The shortest latency target of all classes.
    min_aim: Ms,
    /// Fastest answer seen from each zone, in ms.
    fastest_answer_ms: BTreeMap<Option<ZoneId>, Ms>,
    last_subscribed_at: Ms,
}

fn update_moving_average(old: &mut f64, new: f64) {
    *old += NEWEST_SAMPLE_WEIGHT * (new - *old);
}

impl Dispatcher {
    /// Creates a dispatcher with an empty state.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        for class in &mut settings.classes {
            class.aim = class.aim.max(1.0);
        }
        let min_aim = settings.classes.iter().map(|class| class.aim).reduce(f64::min).unwrap_or(1000.0);
        settings.min_idle_keep =
            if settings.min_idle_keep > 0.0 { settings.min_idle_keep } else { 10.0 * min_aim };
        (settings.order_lag, settings.overload_span) =
            (settings.order_lag.max(settings.tick), settings.overload_span.max(1.0));
        Dispatcher {
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            next_tick_at: -1.0,
            running_since: 0.0,
            seq: 0,
            workers: BTreeMap::new(),
            fleet: Fleet::default(),
            cold_workers: ColdWorkers::default(),
            returned_workers: BTreeSet::new(),
            full_workers: BTreeMap::new(),
            models: BTreeMap::new(),
            backlogged_models: BTreeSet::new(),
            pending: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            scheduled_tasks: BTreeSet::from([(0, ScheduledTask::Sweep)]),
            usual_latency_ms: settings.classes.iter().map(|class| class.aim / 8.0).collect(),
            failure_rate: vec![0.0; settings.classes.len()],
            shed_level: 0.0,
            load_ms: min_aim,
            loads_in_progress: BTreeSet::new(),
            max_concurrent_loads: MAX_LOADS_PER_MODEL as f64,
            retry_budget: 1.0 / RETRY_RATIO,
            taken_calls: DecayingCount::default(),
            served_calls: DecayingCount::default(),
            effective_workers: DecayingAverage::default(),
            half_life: settings.overload_span * std::f64::consts::LN_2,
            recent_requests: RecentUnique::default(),
            recent_load_orders: RecentUnique::default(),
            min_aim,
            fastest_answer_ms: BTreeMap::new(),
            last_subscribed_at: f64::NEG_INFINITY,
            settings,
        }
    }

    /// Processes one event at `now` (ms on the host's clock) and appends the resulting actions.
    pub fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        let timer_period = self.timer_period();
        if now.is_finite() && now > self.now {
            // The recurring timer is overdue: this invoker stalled, so missing answers say nothing of
            // workers.
            self.running_since =
                if now - self.now > STALL_TICKS * timer_period { now } else { self.running_since };
            self.now = now;
        }
        let model = match event {
            Event::Request(request) => self.take_request(request, actions),
            Event::Finished(end) => self.handle_finished(&end, actions),
            Event::Loaded { worker, model, outcome, copies, took } => {
                self.handle_loaded(worker, model, outcome, copies, took);
                Some(model)
            }
            other => {
                match other {
                    Event::Roster(roster) => self.apply_roster(roster),
                    Event::Started { id } => _ = self.pending.entry(id).and_modify(|p| p.streaming = true),
                    Event::Withdrawn { id } => {
                        let pending = self.pending.remove(&id);
                        self.cancel_attempts(
                            id,
                            pending.is_some_and(|pending| self.is_past_aim(&pending)),
                            actions,
                        );
                    }
                    _ => self.run_due_tasks(self.now + 2.0 * self.settings.tick, actions),
                }
                None
            }
        };
        if self.next_tick_at <= self.now {
            self.next_tick_at = self.now + timer_period;
            actions.push(Action::Timer { token: 0, delay: timer_period });
            let effective_workers = self.effective_worker_count();
            self.effective_workers.record(self.now, effective_workers, self.settings.min_idle_keep);
            if self.settings.roster_on_request
                && self.now - self.last_subscribed_at > self.settings.roster_max_age / 4.0
            {
                self.last_subscribed_at = self.now;
                actions.push(Action::Subscribe);
            }
            self.run_due_tasks(self.now + timer_period + 2.0 * self.settings.tick, actions);
            self.dispatch_waiting(self.backlogged_models.iter().copied().collect(), actions);
        } else if let Some(model) = model {
            self.dispatch_waiting(vec![model], actions);
        }
    }

    /// Sizes of the tables, for monitoring.
    pub fn table_sizes(&self) -> TableSizes {
        let (zones, planned) = (self.fastest_answer_ms.len(), self.scheduled_tasks.len());
        TableSizes::of(&self.models, &self.workers, &self.fleet, zones, planned)
    }

    /// Memory that a call of the model would add to the tables, in bytes: 0 if the model is known.
    pub fn model_cost_bytes(&self, model: ModelId) -> usize {
        self.models.get(&model).map_or(Model::cost(self.fleet.len()), |_| 0)
    }

    fn timer_period(&self) -> Ms {
        (self.min_aim / TICKS_PER_AIM).max(self.settings.tick).max(1.0)
    }

    fn schedule(&mut self, at: Ms, due: ScheduledTask) {
        self.scheduled_tasks.insert(((at.clamp(0.0, 1e15) * 1000.0) as u64, due));
    }
}
