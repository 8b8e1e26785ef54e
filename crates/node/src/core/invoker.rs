//! The dispatcher of this process and the processing of requests with it.
//!
//! | module | job |
//! | --- | --- |
//! | `actions` | reports events to the dispatcher and performs the actions it returns |
//! | `request` | processes one request |
//! | `attempts` | the attempts in flight of a request |
//! | `messages` | messages to the task of a request |
mod actions;
mod attempts;
mod messages;
mod request;

use super::{
    monotonic_ms, process_stalls, time_until, Call, LoadChange, LogLineLimit, Workers, HEARTBEAT_INTERVAL,
};
use crate::event_loop;
use crate::state::counters::Counters;
use crate::state::recent_ids::{RecentIds, TABLE_BYTES};
use crate::state::roster::{SuspensionError, WorkerDirectory, WorkerListing};
use crate::timers;
use corkbay::{Dispatcher, Effect, Event, ModelId, Ms, Names, RequestId, Settings};
use corkbay_duty::{HostOverrides, Leave, LeaveSchedule, ServingState};
use corkbay_ledger::pressure::{decide_at_cap, Decision, FullAccount};
use corkbay_ledger::{CapExceeded, Ledger, Purpose, Reservation};
use may::sync::{mpsc, Condvar, Mutex};
pub use messages::Inbox;
use messages::TaskMessage;
pub use request::AcceptedRequest;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Memory of a call beside its strings and body, in bytes: the touched part of its task's stack, its inbox,
/// and its table entries.
const CALL_OVERHEAD_BYTES: usize = 26 << 10;

/// Work that an accepted request leaves to other tasks in the same round of the event loop.
pub const ACCEPTED_REQUEST_WORK: Duration = Duration::from_micros(100);

/// At least the cap divided by this is forgotten at a time.
const FORGET_DIVISOR: usize = 16;

/// Why a request was not accepted; nothing of it ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionError {
    /// A request with this id is still unanswered.
    DuplicateId,
    /// A request with this id may have run, and its class forbids that it runs again.
    RepeatedId,
    /// There is too little memory or time for it; retry after this many milliseconds, 0 for no advice.
    Overloaded(Ms),
    /// The invoker is draining and accepts no requests.
    Draining,
}

struct DispatcherState {
    dispatcher: Dispatcher,
    inboxes: HashMap<RequestId, mpsc::Sender<TaskMessage>>,
    /// Memory of what the dispatcher has learnt: estimated when models are added, measured from time to time.
    learnt: Reservation,
}

/// Timeouts that the dispatcher does not track itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    pub order: Duration,
    pub probe: Duration,
}

/// Owns the dispatcher, reports events to it and performs its actions.
pub struct Invoker {
    core: Mutex<DispatcherState>,
    directory: Mutex<WorkerDirectory>,
    /// Held while a roster update is applied and reported, so that the dispatcher receives updates in the
    /// order in which they were applied.
    roster_updates: Mutex<()>,
    workers: Arc<dyn Workers>,
    timeouts: Timeouts,
    ledger: Arc<Ledger>,
    unanswered: Mutex<usize>,
    all_answered: Condvar,
    serving_state: Mutex<ServingState>,
    serving_state_changed: Condvar,
    serving: AtomicBool,
    /// Numbers and names of classes, tenants, zones and kinds.
    pub names: Names,
    /// The settings that the dispatcher was created with.
    pub settings: Settings,
    /// How long a client may wait, in milliseconds, by class.
    pub give_up: Vec<Ms>,
    /// Counters of requests, attempts and answers.
    pub counters: Counters,
    /// Called with the number of workers that will be known, before they are added.
    room_for_workers: OnceLock<Box<dyn Fn(usize) + Send + Sync>>,
    /// Limit for log lines on single requests.
    pub(crate) lines: LogLineLimit,
    /// Ids of requests that may have run and must not run again.
    recent_ids: OnceLock<RecentIds>,
}

impl Invoker {
    /// Creates an invoker from the platform's settings object, a random seed, the access to the workers, and
    /// the memory accounts that limit what it holds.
    pub fn new(
        setup: &serde_json::Value,
        seed: u64,
        workers: Arc<dyn Workers>,
        ledger: Arc<Ledger>,
    ) -> Arc<Self> {
        let settings = Settings::from_json(setup);
        let names = Names::from_json(setup);
        let timeout = |value: &serde_json::Value, default: f64| {
            Duration::from_secs_f64(value.as_f64().filter(|ms| *ms > 0.0).unwrap_or(default) / 1000.0)
        };
        let timeouts = Timeouts {
            order: timeout(&setup["specifics"]["answerWithinMs"], 10_000.0),
            probe: timeout(&setup["ceilings"]["connectTimeoutMs"], 250.0),
        };
        let classes = setup["classes"].as_array().map(Vec::as_slice).unwrap_or_default();
        let give_up = classes.iter().map(|class| class["giveUpMs"].as_f64().unwrap_or(1000.0)).collect();
        let dispatcher = Dispatcher::new(settings.clone(), seed);
        let learnt = ledger.account(Purpose::Learnt).empty_reservation();
        let core = DispatcherState { dispatcher, inboxes: HashMap::new(), learnt };
        let directory = WorkerDirectory::new(&names, ledger.account(Purpose::Roster));
        let counters = Counters::new(workers.connection_attempts());
        Arc::new(Invoker {
            core: Mutex::new(core),
            directory: Mutex::new(directory),
            roster_updates: Mutex::new(()),
            workers,
            timeouts,
            ledger,
            unanswered: Mutex::new(0),
            all_answered: Condvar::new(),
            serving_state: Mutex::default(),
            serving_state_changed: Condvar::new(),
            serving: AtomicBool::new(false),
            names,
            settings,
            give_up,
            counters,
            room_for_workers: OnceLock::new(),
            lines: LogLineLimit::default(),
            recent_ids: OnceLock::new(),
        })
    }

    /// Shares the ids of requests that may have run with another process. Has to be called before a request is accepted.
    pub fn share_recent_ids(&self, ids: RecentIds) {
        // Called once per process start.
        let _ = self.recent_ids.set(ids);
    }

    /// Ids of requests of classes that forbid repeats, as far as they may have run.
    fn recent_ids(&self) -> &RecentIds {
        self.recent_ids.get_or_init(|| {
            RecentIds::in_memory(self.ledger.account(Purpose::Learnt).reserve_over_cap(TABLE_BYTES))
        })
    }

    /// The effect of running a request of a class twice; `None` if the settings do not name the class.
    fn effect(&self, class: usize) -> Option<Effect> {
        self.settings.classes.get(class).map(|class| class.effect)
    }

    /// Whether requests of a class may run any number of times.
    fn may_repeat(&self, class: usize) -> bool {
        self.effect(class) == Some(Effect::Repeatable)
    }

    /// The name of the group of workers that drop repeats of requests of a class; "any" if they may run any number of
    /// times, "none" if no worker drops them.
    fn dedup_scope(&self, class: usize) -> &'static str {
        match self.effect(class) {
            Some(Effect::Keyed(group, _)) => group.name(),
            Some(Effect::Repeatable) => "any",
            Some(Effect::Unsafe) | None => "none",
        }
    }

    /// Accepts a request, which must get a final answer from then on.
    pub fn accept(self: &Arc<Self>, call: Call) -> Result<AcceptedRequest, AdmissionError> {
        self.admit(call).inspect_err(|_| self.counters.turned_away.increment())
    }

    fn admit(self: &Arc<Self>, call: Call) -> Result<AcceptedRequest, AdmissionError> {
        if self.serving_state().refuses(monotonic_ms()) {
            return Err(AdmissionError::Draining);
        }
        if process_stalls().is_overloaded(monotonic_ms()) {
            self.counters.turned_away_behind.increment();
            return Err(AdmissionError::Overloaded(self.settings.max_retry_after));
        }
        if !self.may_repeat(call.request.class) && self.recent_ids().contains(call.request.id) {
            self.counters.repeated_ids.increment();
            return Err(AdmissionError::RepeatedId);
        }
        let reservation =
            self.ledger.reserve(Purpose::Calls, call.request.tenant, CALL_OVERHEAD_BYTES + call.size());
        let reservation = reservation.map_err(|full| no_memory(Purpose::Calls, &full))?;
        let (sender, messages) = mpsc::channel();
        {
            let mut core = lock(&self.core);
            if core.inboxes.contains_key(&call.request.id) {
                return Err(AdmissionError::DuplicateId);
            }
            core.reserve_model(call.request.model).map_err(|full| no_memory(Purpose::Learnt, &full))?;
            core.inboxes.insert(call.request.id, sender.clone());
        }
        *lock(&self.unanswered) += 1;
        self.counters.taken.increment();
        self.counters.body_bytes.observe(call.body.len() as f64);
        let (call, inbox) = (Arc::new(call), Inbox { messages, sender });
        Ok(AcceptedRequest {
            invoker: self.clone(),
            call,
            inbox,
            reservation: Mutex::new(reservation),
            accepted_at: monotonic_ms(),
        })
    }

    /// Sets the callback that makes room for the workers that will be known, called before each roster
    /// update; set only once.
    pub fn on_workers(&self, make_room: impl Fn(usize) + Send + Sync + 'static) {
        // Called once per process start, so that no callback is ever replaced.
        let _ = self.room_for_workers.set(Box::new(make_room));
    }

    /// Starts a task that records heartbeats for the life of the process.
    pub fn watch_for_stalls(self: &Arc<Self>) {
        let invoker = self.clone();
        crate::lifecycle::spawn(move || loop {
            event_loop::check_pending_poll();
            event_loop::probe_next_poll();
            match process_stalls().record_heartbeat(monotonic_ms()) {
                Some(LoadChange::Overloaded(late_ms)) => {
                    invoker.counters.fell_behind.increment();
                    tracing::warn!(late_ms = late_ms.round(), "behind: new requests are turned away");
                }
                Some(LoadChange::Recovered) => tracing::info!("caught up"),
                None => {}
            }
            timers::sleep(HEARTBEAT_INTERVAL);
        });
    }

    /// The earliest time at which data read now can have arrived, in milliseconds on the monotonic clock; a
    /// client's deadline is counted from it.
    pub fn earliest_arrival(&self) -> Ms {
        process_stalls().earliest_arrival(monotonic_ms())
    }

    /// The accounts of all memory that is held.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }

    /// Measures the memory of what the dispatcher has learnt, and has it forget what exceeds the cap, as far
    /// as no open request needs it.
    pub fn measure(&self) {
        let core = &mut *lock(&self.core);
        let excess = core.dispatcher.table_sizes().bytes.saturating_sub(core.learnt.account().cap());
        if excess > 0 {
            core.dispatcher.evict_state(excess);
        }
        core.learnt.reserve_over_cap(core.dispatcher.table_sizes().bytes);
    }

    /// Withdraws a request: its client no longer waits.
    pub fn withdraw(&self, id: RequestId) {
        if let Some(inbox) = lock(&self.core).inboxes.get(&id) {
            let _ = inbox.send(TaskMessage::Withdrawn);
        }
    }

    /// Applies an update on the workers. Workers that may no longer be used are blocked before the dispatcher
    /// is notified.
    pub fn update_roster(self: &Arc<Self>, listings: Vec<WorkerListing>, whole: bool, remembered: bool) {
        let _ordered = lock(&self.roster_updates);
        let known = lock(&self.directory).known_after(&listings, whole);
        if let Some(make_room) = self.room_for_workers.get() {
            make_room(known);
        }
        let roster = lock(&self.directory).apply(listings, whole, remembered);
        self.feed(Event::Roster(roster));
    }

    /// Replaces the operators' overrides on hosts: from then on nothing starts on a suspended host, whatever
    /// the directory says.
    pub fn set_host_overrides(self: &Arc<Self>, host_overrides: HostOverrides) {
        let _ordered = lock(&self.roster_updates);
        let roster = lock(&self.directory).set_host_overrides(host_overrides);
        if !matches!(&roster, corkbay::RosterUpdate::Changes(entries) if entries.is_empty()) {
            self.feed(Event::Roster(roster));
        }
    }

    /// Whether a host can be suspended.
    pub fn check_suspend(&self, name: &str) -> Result<(), SuspensionError> {
        lock(&self.directory).check_suspend(name)
    }

    /// Whether a host can be resumed.
    pub fn check_resume(&self, name: &str) -> Result<(), SuspensionError> {
        lock(&self.directory).check_resume(name)
    }

    /// Records that this process is ready for clients.
    pub fn set_serving(&self) {
        self.serving.store(true, Ordering::Release);
    }

    /// Whether this process is ready for clients.
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Acquire)
    }

    /// The operators' overrides on hosts.
    pub fn host_overrides(&self) -> HostOverrides {
        lock(&self.directory).host_overrides().clone()
    }

    /// The current state towards clients: serving, draining or ending.
    pub fn serving_state(&self) -> ServingState {
        *lock(&self.serving_state)
    }

    /// Starts to leave the clients, with these times.
    pub fn start_leaving(&self, why: Leave, schedule: LeaveSchedule) {
        lock(&self.serving_state).leave(why, monotonic_ms(), schedule);
        self.serving_state_changed.notify_all();
    }

    /// Returns to serving clients; false if the process is about to end.
    pub fn return_to_service(&self) -> bool {
        lock(&self.serving_state).come_back()
    }

    /// Waits until a drain or the end of the process has begun.
    pub fn wait_for_leave(&self) {
        let mut serving_state = lock(&self.serving_state);
        while serving_state.leaving().is_none() {
            serving_state = self
                .serving_state_changed
                .wait(serving_state)
                .unwrap_or_else(|poisoned| poisoned.into_inner());
        }
    }

    /// Ends one request: there is no more time for it.
    pub fn end(&self, id: RequestId) {
        lock(&self.core).send_message(id, TaskMessage::Close);
    }

    /// Ends all open requests: the process has no more time.
    pub fn end_all(&self) {
        lock(&self.core).inboxes.values().for_each(|inbox| _ = inbox.send(TaskMessage::Close));
    }

    /// Waits until all requests are answered; false if that takes longer than `within`.
    pub fn wait_until_answered(&self, within: Duration) -> bool {
        let end = monotonic_ms() + within.as_secs_f64() * 1000.0;
        let mut unanswered = lock(&self.unanswered);
        while *unanswered > 0 {
            if monotonic_ms() >= end {
                return false;
            }
            unanswered = timers::wait(&self.all_answered, unanswered, time_until(end));
        }
        true
    }

    /// Number of requests that are not yet answered.
    pub fn unanswered(&self) -> usize {
        *lock(&self.unanswered)
    }
}

fn no_memory(purpose: Purpose, full: &CapExceeded) -> AdmissionError {
    let (asked, cap) = (full.asked, full.cap);
    match decide_at_cap(&FullAccount { purpose, asked, cap, idle: 0, frees_in: None, waited: 0.0 }) {
        Decision::Refuse { retry_after: Some(span) } => AdmissionError::Overloaded(span),
        _ => AdmissionError::Overloaded(0.0),
    }
}

impl DispatcherState {
    /// Reserves memory for a model that is to be called. If there is none left, the dispatcher forgets models:
    /// those that were never loaded first, then the least recently used.
    fn reserve_model(&mut self, model: ModelId) -> Result<(), CapExceeded> {
        let asked = self.dispatcher.model_cost_bytes(model);
        let grown_bytes = |core: &DispatcherState| core.learnt.bytes() + asked;
        let Err(full) = self.learnt.resize(grown_bytes(self)) else { return Ok(()) };
        let (purpose, cap, idle) = (Purpose::Learnt, full.cap, self.learnt.bytes());
        let case = FullAccount { purpose, asked, cap, idle, frees_in: None, waited: 0.0 };
        if let Decision::Evict { bytes } = decide_at_cap(&case) {
            // Forgets a larger part at a time, so that not every new model has to search for something to
            // forget.
            self.dispatcher.evict_state(bytes.max(cap / FORGET_DIVISOR));
            self.learnt.shrink_to(self.dispatcher.table_sizes().bytes);
        }
        self.learnt.resize(grown_bytes(self))
    }

    fn send_message(&self, id: RequestId, message: TaskMessage) {
        if let Some(inbox) = self.inboxes.get(&id) {
            let _ = inbox.send(message);
        }
    }
}

/// Locks a mutex even if a holder panicked: the guarded data is never left half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> may::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[cfg(test)]
mod tests;
