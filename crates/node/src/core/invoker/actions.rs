//! Events for the dispatcher, and what becomes of the actions that it asks for.
use super::notes::Note;
use super::{lock, Core, Invoker};
use crate::core::{monotonic_ms, AttemptError};
use crate::memory::roster::Host;
use crate::timers;
use corkbay::{Action, Event, ModelId, Ms, Outcome, WorkerId};
use corkbay_ledger::{Purpose, Reservation};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// What the task of a timer or an order takes: the stack of its task as far as it is touched.
const TASK_BYTES: usize = 10 << 10;

/// The token of the timer that recurs.
const RECURRING: u64 = 0;

/// Longest delay of a timer, in milliseconds.
const LONGEST_DELAY_MS: Ms = 4e6;

impl Invoker {
    /// Tells the dispatcher an event, and what becomes at once of what it asks for.
    pub(super) fn feed(self: &Arc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            self.feed_one(event, &mut events);
        }
    }

    /// Tells the dispatcher one event and performs what it asks for, in order. What there is no room for comes
    /// to its end as an event to follow.
    fn feed_one(self: &Arc<Self>, event: Event, ends: &mut VecDeque<Event>) {
        let mut actions = Vec::new();
        let mut core = lock(&self.core);
        core.dispatcher.handle(monotonic_ms(), event, &mut actions);
        for action in actions {
            ends.extend(self.perform(&core, action));
        }
    }

    /// Performs an action; the event that follows at once, if one does.
    fn perform(self: &Arc<Self>, core: &Core, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, worker, within } => core.note(id, Note::Send { worker, within }),
            Action::Cancel { id, attempt } => core.note(id, Note::Cancel { attempt }),
            Action::Refuse { id, retry_after, reason } => core.note(id, Note::Refuse { retry_after, reason }),
            Action::Fail { id, reason } => core.note(id, Note::Fail { reason }),
            Action::Timer { token, delay } => self.start_timer(token, delay),
            Action::Load { worker, model, copies } => return self.order_load(worker, model, copies),
            // At once, so that it goes out before the load that wants the room.
            Action::Evict { worker, model } => self.order_eviction(worker, model),
            Action::Probe { worker } => return self.probe(worker),
            // The command channel is read all the time; there is nothing to subscribe to.
            Action::Subscribe => {}
        }
        None
    }

    fn start_timer(self: &Arc<Self>, token: u64, delay: Ms) {
        let account = self.ledger.account(Purpose::Timers);
        // The one that recurs keeps the decisions going; without another, what is due comes with the next recurrence.
        let held = if token == RECURRING { Ok(account.owe(TASK_BYTES)) } else { account.reserve(TASK_BYTES) };
        let Ok(held) = held else { return };
        self.spawn(held, move |invoker| {
            timers::sleep(Duration::from_secs_f64(delay.clamp(0.0, LONGEST_DELAY_MS) / 1000.0));
            invoker.feed(Event::Timer { token });
        });
    }

    fn order_load(self: &Arc<Self>, worker: WorkerId, model: ModelId, copies: u32) -> Option<Event> {
        let Some(held) = self.order_room() else {
            let (outcome, copies, took) = (Outcome::Moot, 0, 0.0);
            return Some(Event::Loaded { worker, model, outcome, copies, took });
        };
        let started = monotonic_ms();
        let by = started + self.settings.order_lag;
        self.spawn(held, move |invoker| {
            let (end, copies) = match invoker.host(worker) {
                Some(host) => {
                    let counters = &invoker.counters;
                    if copies > 0 { &counters.orders } else { &counters.questions }.add();
                    invoker.workers.load(&host, model, copies, by, invoker.spans.order)
                }
                None => (Err(AttemptError::Unconnected), 0),
            };
            let outcome = end.map_or_else(AttemptError::outcome, |()| Outcome::Ok);
            let took = monotonic_ms() - started;
            invoker.feed(Event::Loaded { worker, model, outcome, copies, took });
        });
        None
    }

    fn order_eviction(&self, worker: WorkerId, model: ModelId) {
        if let Some(host) = self.host(worker) {
            self.counters.evictions.add();
            self.workers.evict(&host, model);
        }
    }

    fn probe(self: &Arc<Self>, worker: WorkerId) -> Option<Event> {
        let Some(held) = self.order_room() else {
            let (outcome, took, report) = (Outcome::Moot, 0.0, None);
            return Some(Event::Probed { worker, outcome, took, report });
        };
        self.spawn(held, move |invoker| {
            let started = monotonic_ms();
            let end = match invoker.host(worker) {
                Some(host) => invoker.workers.probe(&host, invoker.spans.probe),
                None => Err(AttemptError::Unconnected),
            };
            let outcome = end.map_or_else(AttemptError::outcome, |()| Outcome::Ok);
            invoker.feed(Event::Probed { worker, outcome, took: monotonic_ms() - started, report: None });
        });
        None
    }

    pub(super) fn host(&self, worker: WorkerId) -> Option<Arc<Host>> {
        lock(&self.directory).host(worker)
    }

    /// Room for the task of an order to a worker.
    fn order_room(&self) -> Option<Reservation> {
        self.ledger.account(Purpose::Workers).reserve(TASK_BYTES).ok()
    }

    /// Starts a task that holds what was reserved for it.
    fn spawn(self: &Arc<Self>, held: Reservation, task: impl FnOnce(&Arc<Invoker>) + Send + 'static) {
        let invoker = self.clone();
        crate::life::spawn(move || {
            task(&invoker);
            drop(held);
        });
    }
}
