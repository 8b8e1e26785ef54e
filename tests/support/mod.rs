//! Test helpers: settings, an invoker under test, and events for it.
#![allow(dead_code)]
use corkbay::*;

pub mod fleet;

pub fn class(effect: Effect, worth: f64) -> Class {
    Class { aim: 1000.0, worth, late_worth: 0.2, effect }
}

pub fn settings() -> Settings {
    Settings {
        zone: Some(ZoneId(0)),
        tick: 2.0,
        invokers: 3,
        classes: vec![class(Effect::Repeatable, 1.0), class(Effect::Unsafe, 3.0)],
        tenants: vec![],
        over_share_worth: 0.2,
        worth_by_work: false,
        kind_memory: vec![1000.0],
        max_attempts: 4,
        cancel: true,
        probes: false,
        second_copies: false,
        retry_after: false,
        max_retry_after: 500.0,
        roster_on_request: false,
        roster_max_age: 10000.0,
        drain_grace: 250.0,
        cold_from: 0.2,
        cold_span: 10000.0,
        overload_multiple: 2.0,
        overload_span: 1500.0,
        on_missing_model: MissingModelBehavior::Loads,
        load_orders_allowed: true,
        min_idle_keep: 8000.0,
        load_quota_base: 0.0,
        load_quota_per_request: 0.0,
        load_window: 0.0,
        order_lag: 0.0,
        reports_warmth: true,
        price_cross: 0.04,
        price_probe: 0.01,
        price_fetch: 0.1,
    }
}

pub fn location(zone: u64, cell: u64) -> Location {
    Location { zone: Some(ZoneId(zone)), cell: Some(cell) }
}

pub fn entry(number: u32, zone: usize) -> RosterEntry {
    RosterEntry {
        worker: WorkerId(number),
        name: format!("w{number}"),
        location: location(zone as u64, zone as u64),
        kind: Some(0),
        state: WorkerState::Ready,
        weight: 1.0,
        started_at: 0.0,
    }
}

pub fn call(id: u64, class: usize, model: u64, expires: Ms) -> Request {
    Request {
        id: RequestId(id),
        class,
        model: ModelId(model),
        memory: 100.0,
        lanes: 2.0,
        expires,
        ..Request::default()
    }
}

/// An invoker under test.
pub struct Invoker {
    pub dispatcher: Dispatcher,
    pub now: Ms,
}

impl Invoker {
    pub fn new(settings: Settings, entries: Vec<RosterEntry>) -> Invoker {
        let mut invoker = Invoker { dispatcher: Dispatcher::new(settings, 7), now: 1000.0 };
        invoker.handle_event(Event::Roster(RosterUpdate::Stored(entries)));
        invoker
    }

    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances time by `span` ms and fires the recurring timer every 20 ms.
    pub fn wait(&mut self, span: Ms) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += 20.0;
            actions.extend(self.handle_event(Event::Timer { token: 0 }));
        }
        actions
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.handle_event(Event::Request(request))
    }

    pub fn finish(&mut self, id: u64, attempt: u32, worker: u32, outcome: Outcome) -> Vec<Action> {
        self.handle_event(Event::Finished(Finished {
            id: RequestId(id),
            attempt,
            worker: WorkerId(worker),
            closed: outcome == Outcome::Ok,
            outcome,
            took: 100.0,
            warmth: Warmth::Warm,
            concurrent_calls: Some(0),
            report: None,
        }))
    }

    pub fn loaded(
        &mut self,
        worker: u32,
        model: u64,
        outcome: Outcome,
        copies: u32,
        took: Ms,
    ) -> Vec<Action> {
        let (worker, model) = (WorkerId(worker), ModelId(model));
        self.handle_event(Event::Loaded { worker, model, outcome, copies, took })
    }
}

pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { id, worker, .. } => Some((id.0, worker.0)),
            _ => None,
        })
        .collect()
}

/// Load orders among the actions, without queries.
pub fn loads(actions: &[Action]) -> Vec<(u32, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Load { worker, model, copies } if *copies > 0 => Some((worker.0, model.0)),
            _ => None,
        })
        .collect()
}

pub fn queries(actions: &[Action]) -> Vec<u32> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Load { worker, copies: 0, .. } => Some(worker.0),
            _ => None,
        })
        .collect()
}

pub fn ended(actions: &[Action]) -> Vec<(u64, bool)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { id, .. } => Some((id.0, true)),
            Action::Fail { id, .. } => Some((id.0, false)),
            _ => None,
        })
        .collect()
}
