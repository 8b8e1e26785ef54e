//! Reports events to the dispatcher and performs the actions that it returns.
use super::messages::TaskMessage;
use super::{lock, DispatcherState, Invoker};
use crate::core::{monotonic_ms, AttemptError};
use crate::state::roster::Host;
use crate::timers;
use corkbay::{Action, Event, Location, ModelId, Ms, Outcome, WorkerId};
use corkbay_ledger::{Purpose, Reservation};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Memory of the task of a timer or an order, in bytes: the touched part of its stack.
const TASK_STACK_BYTES: usize = 10 << 10;

/// Token of the dispatcher's recurring timer.
const RECURRING_TIMER_TOKEN: u64 = 0;

/// Longest delay of a timer.
const MAX_TIMER_DELAY_MS: Ms = 4e6;

impl Invoker {
    /// Reports an event to the dispatcher, and then each event that follows at once from its actions.
    pub(super) fn feed(self: &Arc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            self.dispatch_one(event, &mut events);
        }
    }

    /// Reports one event to the dispatcher and performs its actions in order. Actions that there is no memory
    /// for are added to `ends` as failed.
    fn dispatch_one(self: &Arc<Self>, event: Event, ends: &mut VecDeque<Event>) {
        let mut actions = Vec::new();
        let mut core = lock(&self.core);
        core.dispatcher.handle(monotonic_ms(), event, &mut actions);
        for action in actions {
            ends.extend(self.perform(&core, action));
        }
    }

    /// Performs an action; returns the event that follows at once, if any.
    fn perform(self: &Arc<Self>, core: &DispatcherState, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, worker, within } => {
                core.send_message(id, TaskMessage::Send { worker, within })
            }
            Action::Cancel { id, attempt } => core.send_message(id, TaskMessage::Cancel { attempt }),
            Action::Refuse { id, retry_after, reason } => {
                core.send_message(id, TaskMessage::Refuse { retry_after, reason })
            }
            Action::Fail { id, reason } => core.send_message(id, TaskMessage::Fail { reason }),
            Action::Timer { token, delay } => self.start_timer(token, delay),
            Action::Load { worker, model, copies } => return self.order_load(worker, model, copies),
            // Sent immediately, so that it goes out before the load order that needs the memory.
            Action::Evict { worker, model } => self.order_eviction(worker, model),
            Action::Probe { worker } => return self.probe(worker),
            // The command channel is always read; there is nothing to subscribe to.
            Action::Subscribe => {}
        }
        None
    }

    fn start_timer(self: &Arc<Self>, token: u64, delay: Ms) {
        let account = self.ledger.account(Purpose::Timers);
        // The recurring timer keeps the dispatcher running, so it is started over the cap. If another timer
        // is dropped, its work is done when the recurring timer fires next.
        let reservation = if token == RECURRING_TIMER_TOKEN {
            Ok(account.reserve_over_cap(TASK_STACK_BYTES))
        } else {
            account.reserve(TASK_STACK_BYTES)
        };
        let Ok(reservation) = reservation else { return };
        self.spawn(reservation, move |invoker| {
            timers::sleep(Duration::from_secs_f64(delay.clamp(0.0, MAX_TIMER_DELAY_MS) / 1000.0));
            invoker.feed(Event::Timer { token });
        });
    }

    fn order_load(self: &Arc<Self>, worker: WorkerId, model: ModelId, copies: u32) -> Option<Event> {
        let Some(reservation) = self.reserve_order_task() else {
            let (outcome, copies, took) = (Outcome::Moot, 0, 0.0);
            return Some(Event::Loaded { worker, model, outcome, copies, took });
        };
        let started = monotonic_ms();
        let by = started + self.settings.order_lag;
        self.spawn(reservation, move |invoker| {
            let (end, copies) = match invoker.host(worker) {
                Some(host) => {
                    let counters = &invoker.counters;
                    if copies > 0 { &counters.orders } else { &counters.questions }.increment();
                    invoker.workers.load(&host, model, copies, by, invoker.timeouts.order)
                }
                None => (Err(AttemptError::ConnectFailed), 0),
            };
            let outcome = end.map_or_else(AttemptError::outcome, |()| Outcome::Ok);
            let took = monotonic_ms() - started;
            invoker.feed(Event::Loaded { worker, model, outcome, copies, took });
        });
        None
    }

    fn order_eviction(&self, worker: WorkerId, model: ModelId) {
        if let Some(host) = self.host(worker) {
            self.counters.evictions.increment();
            self.workers.evict(&host, model);
        }
    }

    fn probe(self: &Arc<Self>, worker: WorkerId) -> Option<Event> {
        let Some(reservation) = self.reserve_order_task() else {
            let (outcome, took, report) = (Outcome::Moot, 0.0, None);
            return Some(Event::Probed { worker, outcome, took, report });
        };
        self.spawn(reservation, move |invoker| {
            let started = monotonic_ms();
            let end = match invoker.host(worker) {
                Some(host) => invoker.workers.probe(&host, invoker.timeouts.probe),
                None => Err(AttemptError::ConnectFailed),
            };
            let outcome = end.map_or_else(AttemptError::outcome, |()| Outcome::Ok);
            invoker.feed(Event::Probed { worker, outcome, took: monotonic_ms() - started, report: None });
        });
        None
    }

    pub(super) fn host(&self, worker: WorkerId) -> Option<Arc<Host>> {
        lock(&self.directory).host(worker)
    }

    /// The host of a worker, and where it is listed.
    pub(super) fn listed_host(&self, worker: WorkerId) -> Option<(Arc<Host>, Location)> {
        lock(&self.directory).listed_host(worker)
    }

    /// The name of the zone of a place, for logs.
    pub(super) fn zone_name(&self, location: Location) -> String {
        lock(&self.directory).zone_name(location).to_string()
    }

    /// Reserves memory for the task of an order to a worker.
    fn reserve_order_task(&self) -> Option<Reservation> {
        self.ledger.account(Purpose::Workers).reserve(TASK_STACK_BYTES).ok()
    }

    /// Starts a task that holds its memory reservation until it ends.
    fn spawn(self: &Arc<Self>, reservation: Reservation, task: impl FnOnce(&Arc<Invoker>) + Send + 'static) {
        let invoker = self.clone();
        crate::lifecycle::spawn(move || {
            task(&invoker);
            drop(reservation);
        });
    }
}
