//! The one dispatcher and the life of each request round it.
use super::{now_ms, until, Answer, AttemptError, Call, Cause, Exchange, Failure, Workers};
use crate::memory::counters::Counters;
use crate::memory::roster::{Directory, Host, Listing};
use corkbay::{
    Action, Dispatcher, Event, Finished, Ms, Names, Outcome, RequestId, Settings, Warmth, WorkerId,
};
use may::sync::{mpsc, Condvar, Mutex};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long after its time a request waits for the decisions' last word before it is failed here.
const LAST_WORD_MS: Ms = 10.0;

/// A request that ends unserved this short before its time, as the decisions do, ends for want of time.
const LAST_CALL_MS: Ms = 40.0;

/// What reaches the task of a request.
#[derive(Debug)]
enum Note {
    Send {
        worker: WorkerId,
        within: Ms,
    },
    Cancel {
        attempt: u32,
    },
    Refuse {
        retry_after: Ms,
    },
    Fail,
    Withdrawn,
    /// The process is about to end.
    Close,
    Ended {
        attempt: u32,
        end: Result<Vec<u8>, AttemptError>,
    },
}

/// Why a request was not taken; nothing of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// Its id is open already.
    Open,
    /// As many are open as memory allows.
    Crowded,
    /// The process is about to end.
    Draining,
}

/// The mailbox of one request's task.
pub struct Inbox {
    notes: mpsc::Receiver<Note>,
    sender: mpsc::Sender<Note>,
}

/// A request that was taken: a place in the books that ends with its final answer.
pub struct Taken {
    invoker: Arc<Invoker>,
    call: Arc<Call>,
    inbox: Inbox,
}

/// An attempt that is out.
struct Flight {
    attempt: u32,
    worker: WorkerId,
    started: Ms,
    until: Ms,
    exchange: Box<dyn Exchange>,
}

/// The attempts of a request that are out. However its task ends, each is given up and the decisions hear
/// of it.
struct Out<'a> {
    taken: &'a Taken,
    flights: Vec<Flight>,
}

impl Out<'_> {
    fn position(&self, attempt: u32) -> Option<usize> {
        self.flights.iter().position(|flight| flight.attempt == attempt)
    }

    /// Calls off what is still out; true if any of it may have run.
    fn call_off(&mut self) -> bool {
        let mut may_have_run = false;
        for mut flight in self.flights.drain(..) {
            let error = flight.exchange.give_up(Cause::GivenUp);
            let error = error.unwrap_or(AttemptError::Unanswered(Cause::GivenUp));
            may_have_run |= self.taken.lost(&flight, error, true);
        }
        may_have_run
    }
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.call_off();
    }
}

struct Core {
    dispatcher: Dispatcher,
    open: HashMap<RequestId, mpsc::Sender<Note>>,
}

/// Spans for what the decisions do not time themselves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spans {
    pub order: Duration,
    pub probe: Duration,
}

/// Owns the dispatcher, feeds it events and hands its actions to whom they concern.
pub struct Invoker {
    core: Mutex<Core>,
    directory: Mutex<Directory>,
    workers: Arc<dyn Workers>,
    spans: Spans,
    most_open: usize,
    owed: Mutex<usize>,
    settled: Condvar,
    draining: AtomicBool,
    /// Numbers and names of classes, tenants, zones and kinds.
    pub names: Names,
    /// What the decisions were told at the start.
    pub settings: Settings,
    /// How long a client may wait, by class.
    pub give_up: Vec<Ms>,
    /// What was taken, sent and answered.
    pub counters: Counters,
}

impl Invoker {
    /// An invoker with the platform's settings object, a seed, a way to the workers, and how many requests
    /// may be open at once.
    pub fn new(
        setup: &serde_json::Value,
        seed: u64,
        workers: Arc<dyn Workers>,
        most_open: usize,
    ) -> Arc<Self> {
        let settings = Settings::from_json(setup);
        let names = Names::from_json(setup);
        let span = |value: &serde_json::Value, default: f64| {
            Duration::from_secs_f64(value.as_f64().filter(|ms| *ms > 0.0).unwrap_or(default) / 1000.0)
        };
        let spans = Spans {
            order: span(&setup["specifics"]["answerWithinMs"], 10_000.0),
            probe: span(&setup["ceilings"]["connectTimeoutMs"], 250.0),
        };
        let classes = setup["classes"].as_array().map(Vec::as_slice).unwrap_or_default();
        let give_up = classes.iter().map(|class| class["giveUpMs"].as_f64().unwrap_or(1000.0)).collect();
        let core = Core { dispatcher: Dispatcher::new(settings.clone(), seed), open: HashMap::new() };
        Arc::new(Invoker {
            core: Mutex::new(core),
            directory: Mutex::new(Directory::new(&names)),
            workers,
            spans,
            most_open,
            owed: Mutex::new(0),
            settled: Condvar::new(),
            draining: AtomicBool::new(false),
            names,
            settings,
            give_up,
            counters: Counters::default(),
        })
    }

    /// Takes a request in: from here on it is owed a final answer.
    pub fn take(self: &Arc<Self>, call: Call) -> Result<Taken, NotTaken> {
        self.admit(call).inspect_err(|_| self.counters.turned_away.add())
    }

    fn admit(self: &Arc<Self>, call: Call) -> Result<Taken, NotTaken> {
        if self.draining.load(Ordering::Acquire) {
            return Err(NotTaken::Draining);
        }
        let (sender, notes) = mpsc::channel();
        {
            let mut core = lock(&self.core);
            if core.open.contains_key(&call.request.id) {
                return Err(NotTaken::Open);
            }
            if core.open.len() >= self.most_open {
                return Err(NotTaken::Crowded);
            }
            core.open.insert(call.request.id, sender.clone());
        }
        *lock(&self.owed) += 1;
        self.counters.taken.add();
        Ok(Taken { invoker: self.clone(), call: Arc::new(call), inbox: Inbox { notes, sender } })
    }

    /// Nobody waits for the request any more.
    pub fn withdraw(&self, id: RequestId) {
        if let Some(inbox) = lock(&self.core).open.get(&id) {
            let _ = inbox.send(Note::Withdrawn);
        }
    }

    /// News of the workers; what is barred is barred before the decisions hear of it.
    pub fn news(self: &Arc<Self>, listings: Vec<Listing>, whole: bool, remembered: bool) {
        let roster = lock(&self.directory).apply(listings, whole, remembered);
        self.feed(Event::Roster(roster));
    }

    /// Takes nothing more from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Ends all that is owed: the process has no more time.
    pub fn end_all(&self) {
        lock(&self.core).open.values().for_each(|inbox| _ = inbox.send(Note::Close));
    }

    /// Waits until nothing is owed; false if that took longer than the time given.
    pub fn settle(&self, within: Duration) -> bool {
        let end = now_ms() + within.as_secs_f64() * 1000.0;
        let mut owed = lock(&self.owed);
        while *owed > 0 {
            if now_ms() >= end {
                return false;
            }
            owed = match self.settled.wait_timeout(owed, until(end)) {
                Ok((guard, _)) => guard,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        true
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        *lock(&self.owed)
    }

    fn host(&self, worker: WorkerId) -> Option<Arc<Host>> {
        lock(&self.directory).host(worker)
    }

    /// Tells the dispatcher one event and routes what it asks for, in order.
    fn feed(self: &Arc<Self>, event: Event) {
        let mut actions = Vec::new();
        let mut core = lock(&self.core);
        core.dispatcher.handle(now_ms(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, within } => core.note(id, Note::Send { worker, within }),
                Action::Cancel { id, attempt } => core.note(id, Note::Cancel { attempt }),
                Action::Refuse { id, retry_after } => core.note(id, Note::Refuse { retry_after }),
                Action::Fail { id } => core.note(id, Note::Fail),
                Action::Timer { token, delay } => self.spawn(move |invoker| {
                    may::coroutine::sleep(Duration::from_secs_f64(delay.clamp(0.0, 4e6) / 1000.0));
                    invoker.feed(Event::Timer { token });
                }),
                Action::Load { worker, model, copies } => self.spawn(move |invoker| {
                    let started = now_ms();
                    let (end, copies) = match invoker.host(worker) {
                        Some(host) => {
                            invoker.counters.orders.add();
                            invoker.workers.load(&host, model, copies, invoker.spans.order)
                        }
                        None => (Err(AttemptError::Unconnected), 0),
                    };
                    let outcome = end.map_or_else(AttemptError::outcome, |()| Outcome::Ok);
                    let took = now_ms() - started;
                    invoker.feed(Event::Loaded { worker, model, outcome, copies, took });
                }),
                // At once, so that it goes out before the load that wants the room.
                Action::Evict { worker, model } => {
                    if let Some(host) = self.host(worker) {
                        self.counters.evictions.add();
                        self.workers.evict(&host, model);
                    }
                }
                Action::Probe { worker } => self.spawn(move |invoker| {
                    let started = now_ms();
                    let end = match invoker.host(worker) {
                        Some(host) => invoker.workers.probe(&host, invoker.spans.probe),
                        None => Err(AttemptError::Unconnected),
                    };
                    let outcome = end.map_or_else(AttemptError::outcome, |()| Outcome::Ok);
                    invoker.feed(Event::Probed { worker, outcome, took: now_ms() - started, report: None });
                }),
                // The command channel is read all the time; there is nothing to subscribe to.
                Action::Subscribe => {}
            }
        }
    }

    fn spawn(self: &Arc<Self>, task: impl FnOnce(&Arc<Invoker>) + Send + 'static) {
        let invoker = self.clone();
        crate::life::spawn(move || task(&invoker));
    }
}

impl Core {
    fn note(&self, id: RequestId, note: Note) {
        if let Some(inbox) = self.open.get(&id) {
            let _ = inbox.send(note);
        }
    }
}

impl Taken {
    /// The life of the request, from its first event to its one final answer.
    pub fn serve(&self) -> Answer {
        let (invoker, call) = (&self.invoker, &self.call);
        let mut out = Out { taken: self, flights: Vec::new() };
        let (mut sent, mut may_have_run) = (0, false);
        invoker.feed(Event::Request(call.request.clone()));
        let mut answer = loop {
            let due = out
                .flights
                .iter()
                .map(|flight| flight.until)
                .fold(call.request.expires + LAST_WORD_MS, f64::min);
            match self.inbox.next(due) {
                Some(Note::Send { worker, within }) => {
                    let flight = self.start(sent, worker, within);
                    sent += 1;
                    match flight {
                        Some(flight) => out.flights.push(flight),
                        None => self.finished(sent - 1, worker, now_ms(), Outcome::Moot, false),
                    }
                }
                Some(Note::Ended { attempt, end }) => {
                    let Some(at) = out.position(attempt) else {
                        continue;
                    };
                    let flight = out.flights.swap_remove(at);
                    match end {
                        Ok(body) => {
                            self.finished(attempt, flight.worker, flight.started, Outcome::Ok, true);
                            break Answer::Served { body };
                        }
                        Err(error) => may_have_run |= self.lost(&flight, error, false),
                    }
                }
                Some(Note::Cancel { attempt }) => {
                    let Some(at) = out.position(attempt) else {
                        continue;
                    };
                    if let Some(error) = out.flights[at].exchange.give_up(Cause::GivenUp) {
                        let flight = out.flights.swap_remove(at);
                        may_have_run |= self.lost(&flight, error, false);
                    }
                }
                Some(Note::Refuse { retry_after }) => {
                    break Answer::Refused { retry_after, known: self.known() }
                }
                Some(Note::Fail) => break Answer::Failed(self.known()),
                Some(Note::Close) => {
                    invoker.feed(Event::Withdrawn { id: call.request.id });
                    if may_have_run || !out.flights.is_empty() {
                        break Answer::Failed(self.known());
                    }
                    let retry_after = invoker.settings.max_retry_after;
                    break Answer::Refused { retry_after, known: self.known() };
                }
                Some(Note::Withdrawn) => {
                    invoker.feed(Event::Withdrawn { id: call.request.id });
                    break Answer::Withdrawn;
                }
                None => {
                    let now = now_ms();
                    let over = out.flights.iter().position(|flight| flight.until <= now);
                    if let Some(at) = over {
                        // An end that is on its way already comes as the next note.
                        let mut flight = out.flights.swap_remove(at);
                        match flight.exchange.give_up(Cause::Silent) {
                            Some(error) => may_have_run |= self.lost(&flight, error, false),
                            None => out.flights.push(Flight { until: now + LAST_WORD_MS, ..flight }),
                        }
                    } else if now >= call.request.expires {
                        invoker.feed(Event::Withdrawn { id: call.request.id });
                        break Answer::Failed(self.known());
                    }
                }
            }
        };
        may_have_run |= out.call_off();
        if let Answer::Refused { known, .. } | Answer::Failed(known) = &mut answer {
            known.may_have_run = may_have_run;
        }
        answer
    }

    /// The call.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// What is known at the end; how far the attempts had come is added when all have ended.
    fn known(&self) -> Failure {
        Failure { may_have_run: false, late: now_ms() + LAST_CALL_MS >= self.call.request.expires }
    }

    fn start(&self, attempt: u32, worker: WorkerId, within: Ms) -> Option<Flight> {
        let host = self.invoker.host(worker)?;
        let started = now_ms();
        let until = if within > 0.0 {
            self.call.request.expires.min(started + within)
        } else {
            self.call.request.expires
        };
        let sender = self.inbox.sender.clone();
        let end = Box::new(move |end| _ = sender.send(Note::Ended { attempt, end }));
        self.invoker.counters.sent.add();
        let exchange = self.invoker.workers.send(&host, &self.call, until, end);
        Some(Flight { attempt, worker, started, until, exchange })
    }

    /// Tells of an attempt that brought nothing; true if it may have run.
    fn lost(&self, flight: &Flight, error: AttemptError, closed: bool) -> bool {
        let outcome = error.outcome();
        self.invoker.counters.lost(outcome);
        self.finished(flight.attempt, flight.worker, flight.started, outcome, closed);
        !outcome.proves_not_run()
    }

    fn finished(&self, attempt: u32, worker: WorkerId, started: Ms, outcome: Outcome, closed: bool) {
        self.invoker.feed(Event::Finished(Finished {
            id: self.call.request.id,
            attempt,
            worker,
            closed,
            outcome,
            took: now_ms() - started,
            warmth: Warmth::Untold,
            crowd: None,
            report: None,
        }));
    }
}

impl Drop for Taken {
    /// The place in the books ends with the request, also when its task panics.
    fn drop(&mut self) {
        lock(&self.invoker.core).open.remove(&self.call.request.id);
        if std::thread::panicking() {
            self.invoker.feed(Event::Withdrawn { id: self.call.request.id });
        }
        let mut owed = lock(&self.invoker.owed);
        *owed -= 1;
        if *owed == 0 {
            self.invoker.settled.notify_all();
        }
    }
}

impl Inbox {
    /// The next note; `None` once that time has come.
    fn next(&self, at: Ms) -> Option<Note> {
        self.notes.try_recv().ok().or_else(|| self.notes.recv_timeout(until(at)).ok())
    }
}

/// A lock that outlives a panic elsewhere: what it guards is changed in whole steps only.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> may::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::Ending;
    use corkbay::{ModelId, Request, Standing};
    use std::sync::atomic::AtomicUsize;

    /// Workers whose first send panics and whose others serve.
    #[derive(Default)]
    struct Panicking(AtomicUsize);

    struct Over;

    impl Exchange for Over {
        fn give_up(&mut self, _: Cause) -> Option<AttemptError> {
            None
        }
    }

    impl Workers for Panicking {
        fn send(&self, _: &Arc<Host>, call: &Arc<Call>, _: Ms, end: Ending) -> Box<dyn Exchange> {
            assert!(self.0.fetch_add(1, Ordering::Relaxed) > 0, "the first send panics");
            end(Ok(call.body.clone()));
            Box::new(Over)
        }

        fn load(&self, _: &Arc<Host>, _: ModelId, _: u32, _: Duration) -> (Result<(), AttemptError>, u32) {
            (Err(AttemptError::Unconnected), 0)
        }

        fn evict(&self, _: &Arc<Host>, _: ModelId) {}

        fn probe(&self, _: &Arc<Host>, _: Duration) -> Result<(), AttemptError> {
            Ok(())
        }
    }

    /// Guards against a panic that takes more down than its request: nothing stays owed, and the next
    /// request is served.
    #[test]
    fn a_panic_ends_its_request_and_no_other() {
        let setup = serde_json::json!({
            "classes": [{"name": "check", "aimMs": 1000.0, "giveUpMs": 4000.0, "idempotency": "pure"}],
            "zones": ["a"], "myZone": "a", "ceilings": {"attemptsCap": 5, "cancel": true},
            "specifics": {"notLoaded": "load", "keepMs": 1000.0}, "safety": {},
        });
        let invoker = Invoker::new(&setup, 1, Arc::new(Panicking::default()), 2);
        let address = "127.0.0.1:1".parse().expect("address");
        let (name, zone, kind) = ("w".to_string(), "a".to_string(), String::new());
        let (standing, weight, born) = (Standing::Ready, 1.0, 0.0);
        let listing = Listing { name, address, zone, kind, cell: 0, standing, weight, born };
        invoker.news(vec![listing], true, true);
        let request = |id| Request { id: RequestId(id), expires: now_ms() + 4000.0, ..Request::default() };
        let call = |id| Call { request: request(id), body: vec![7], ..Call::default() };
        let taken = invoker.take(call(1)).expect("taken");
        assert_eq!(invoker.take(call(1)).err(), Some(NotTaken::Open));
        let end = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || taken.serve()));
        assert!(end.is_err());
        assert_eq!(invoker.owed(), 0);
        let taken = invoker.take(call(2)).expect("taken");
        assert_eq!(taken.serve(), Answer::Served { body: vec![7] });
        drop(taken);
        invoker.drain();
        assert!(invoker.settle(Duration::ZERO));
        assert_eq!(invoker.take(call(3)).err(), Some(NotTaken::Draining));
    }
}
