//! Several invokers with one emulated fleet of workers, and totals over all of them.
use super::*;
use std::collections::BTreeMap;

/// Time to load a copy, and to serve a call unless a test sets another time.
const LOAD_MS: Ms = 400.0;
const SERVICE_MS: Ms = 80.0;
/// Network delay from an invoker to a worker, one way.
const ONE_WAY_MS: Ms = 1.0;

/// An emulated worker.
#[derive(Default, Clone)]
pub struct EmulatedWorker {
    /// Models with a copy that is loaded or loading, and the time from which it is loaded.
    pub copies: BTreeMap<u64, Ms>,
    /// Answers every call with an error.
    pub fails: bool,
    /// Refuses connections.
    pub unreachable: bool,
    /// Has no memory for further copies.
    pub full: bool,
    /// Calls are served one after the other in this time each, in ms; 0 for all at once.
    pub service_ms: Ms,
    /// Time at which all calls sent so far are served.
    pub free_at: Ms,
}

/// Counts of what passed between all invokers and the workers.
#[derive(Default, Debug, Clone)]
pub struct Totals {
    pub taken: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    pub sent: usize,
    pub crossed: usize,
    pub missed: usize,
    pub errors: usize,
    pub queries: usize,
    pub orders: usize,
    pub evictions: usize,
    /// Calls sent, by worker.
    pub sent_to: BTreeMap<u32, usize>,
    /// Orders that brought copies, by worker.
    pub loaded_at: BTreeMap<u32, usize>,
    /// Calls served, by worker.
    pub served_at: BTreeMap<u32, usize>,
}

pub struct Fleet {
    pub now: Ms,
    pub invokers: Vec<Dispatcher>,
    pub zones: Vec<Option<ZoneId>>,
    pub workers: BTreeMap<u32, (Option<ZoneId>, EmulatedWorker)>,
    pub totals: Totals,
    /// Future events, by time in microseconds and order of scheduling.
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    sequence: u64,
    attempts: BTreeMap<u64, u32>,
}

impl Fleet {
    /// Creates invokers and workers, spread evenly over the zones; all invokers get the roster.
    pub fn new(settings: &Settings, invokers: usize, workers: u32, zones: usize) -> Fleet {
        let invoker = |number: usize| {
            let own = Settings {
                zone: Some(ZoneId((number % zones) as u64)),
                invokers: invokers as u32,
                ..settings.clone()
            };
            Dispatcher::new(own, 100 + number as u64)
        };
        let list: Vec<RosterEntry> =
            (0..workers).map(|number| entry(number, number as usize % zones)).collect();
        let mut fleet = Fleet {
            now: 1000.0,
            invokers: (0..invokers).map(invoker).collect(),
            zones: (0..invokers).map(|number| Some(ZoneId((number % zones) as u64))).collect(),
            workers: list
                .iter()
                .map(|entry| (entry.worker.0, (entry.location.zone, EmulatedWorker::default())))
                .collect(),
            totals: Totals::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            attempts: BTreeMap::new(),
        };
        for number in 0..invokers {
            fleet.schedule(0.0, number, Event::Roster(RosterUpdate::Stored(list.clone())));
        }
        fleet
    }

    /// Sends roster changes to all invokers.
    pub fn announce(&mut self, entries: &[RosterEntry]) {
        for entry in entries {
            self.workers
                .entry(entry.worker.0)
                .or_insert_with(|| (entry.location.zone, EmulatedWorker::default()));
        }
        for number in 0..self.invokers.len() {
            self.schedule(0.0, number, Event::Roster(RosterUpdate::Changes(entries.to_vec())));
        }
    }

    pub fn worker(&mut self, number: u32) -> &mut EmulatedWorker {
        &mut self.workers.get_mut(&number).expect("a known worker").1
    }

    /// Schedules a call at an invoker. A number may be used only once per model.
    pub fn call(&mut self, delay: Ms, invoker: usize, number: u64, class: usize, model: u64, time_limit: Ms) {
        let request = call(model << 32 | number, class, model, self.now + delay + time_limit);
        self.schedule(delay, invoker, Event::Request(request));
    }

    fn schedule(&mut self, delay: Ms, invoker: usize, event: Event) {
        self.sequence += 1;
        self.queue.insert((((self.now + delay) * 1000.0) as u64, self.sequence), (invoker, event));
    }

    /// Processes the events of the next `span` ms.
    pub fn run(&mut self, span: Ms) {
        let end = ((self.now + span) * 1000.0) as u64;
        while let Some(next) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), (invoker, event)) = next.remove_entry();
            self.now = at as f64 / 1000.0;
            self.totals.taken += usize::from(matches!(event, Event::Request(_)));
            let mut actions = Vec::new();
            self.invokers[invoker].handle(self.now, event, &mut actions);
            for action in actions {
                self.carry_out(invoker, action);
            }
        }
        self.now = end as f64 / 1000.0;
    }

    fn carry_out(&mut self, invoker: usize, action: Action) {
        match action {
            Action::Send { id, worker, .. } => self.receive_call(invoker, id, worker),
            Action::Load { worker, model, copies } => self.receive_order(invoker, worker, model, copies),
            Action::Evict { worker, model } => {
                self.totals.evictions += 1;
                self.worker(worker.0).copies.remove(&model.0);
            }
            Action::Refuse { .. } => self.totals.refused += 1,
            Action::Fail { .. } => self.totals.failed += 1,
            Action::Timer { token, delay } => self.schedule(delay, invoker, Event::Timer { token }),
            Action::Cancel { .. } | Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    fn receive_call(&mut self, invoker: usize, id: RequestId, worker: WorkerId) {
        let model = id.0 >> 32;
        let attempt = self.attempts.entry(id.0).or_default();
        let number = *attempt;
        *attempt += 1;
        let (zone, emulated_worker) = self.workers[&worker.0].clone();
        self.totals.sent += 1;
        self.totals.crossed += usize::from(zone != self.zones[invoker]);
        *self.totals.sent_to.entry(worker.0).or_default() += 1;
        let (outcome, took) = match emulated_worker.copies.get(&model) {
            _ if emulated_worker.unreachable => (Outcome::ConnectFailed, 2.0 * ONE_WAY_MS),
            _ if emulated_worker.fails => (Outcome::Error, 2.0 * ONE_WAY_MS),
            None => (Outcome::Miss, 2.0 * ONE_WAY_MS),
            Some(loaded_from) if emulated_worker.service_ms <= 0.0 => {
                (Outcome::Ok, (loaded_from - self.now).max(0.0) + SERVICE_MS)
            }
            Some(loaded_from) => {
                let free_at =
                    emulated_worker.free_at.max(*loaded_from).max(self.now) + emulated_worker.service_ms;
                self.worker(worker.0).free_at = free_at;
                (Outcome::Ok, free_at - self.now)
            }
        };
        let closed = outcome == Outcome::Ok;
        self.totals.served += usize::from(closed);
        *self.totals.served_at.entry(worker.0).or_default() += usize::from(closed);
        self.totals.missed += usize::from(outcome == Outcome::Miss);
        self.totals.errors += usize::from(outcome == Outcome::Error);
        let (warmth, crowd, report) = (Warmth::Unknown, None, None);
        let end = Finished {
            id,
            attempt: number,
            worker,
            closed,
            outcome,
            took,
            warmth,
            concurrent_calls: crowd,
            report,
        };
        self.schedule(took, invoker, Event::Finished(end));
    }

    fn receive_order(&mut self, invoker: usize, worker: WorkerId, model: ModelId, copies: u32) {
        let now = self.now;
        *(if copies == 0 { &mut self.totals.queries } else { &mut self.totals.orders }) += 1;
        let emulated_worker = &mut self.workers.get_mut(&worker.0).expect("a known worker").1;
        let (outcome, copies, took) = if emulated_worker.unreachable {
            (Outcome::ConnectFailed, 0, 2.0 * ONE_WAY_MS)
        } else if copies == 0 {
            (Outcome::Ok, u32::from(emulated_worker.copies.contains_key(&model.0)), 2.0 * ONE_WAY_MS)
        } else if emulated_worker.full && !emulated_worker.copies.contains_key(&model.0) {
            (Outcome::Full, 0, 2.0 * ONE_WAY_MS)
        } else {
            *self.totals.loaded_at.entry(worker.0).or_default() += 1;
            let loaded_from = *emulated_worker.copies.entry(model.0).or_insert(now + LOAD_MS);
            (Outcome::Ok, 1, (loaded_from - now).max(2.0 * ONE_WAY_MS))
        };
        self.schedule(took, invoker, Event::Loaded { worker, model, outcome, copies, took });
    }
}
