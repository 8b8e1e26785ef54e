//! The one dispatcher and the life of each request round it.
use super::{now_ms, until, Answer, AttemptError, Call, Cause, Exchange, Failure, Workers};
use crate::memory::counters::Counters;
use crate::memory::room;
use crate::memory::roster::{Directory, Host, Listing, NotHeeded};
use corkbay::{
    Action, Dispatcher, Effect, Event, Finished, ModelId, Ms, Names, Outcome, RequestId, Settings, Warmth,
    WorkerId,
};
use corkbay_duty::{Bans, Duty, Leave, Terms};
use corkbay_ledger::pressure::{decide, Case, Decision};
use corkbay_ledger::{Full, Ledger, Purpose, Reservation};
use may::sync::{mpsc, Condvar, Mutex};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long after its time a request waits for the decisions' last word before it is failed here.
const LAST_WORD_MS: Ms = 10.0;

/// A request that ends unserved this short before its time, as the decisions do, ends for want of time.
const LAST_CALL_MS: Ms = 40.0;

/// Where a request may have one attempt out at a time, the next one follows so long after the notice that ends one
/// which may be running. Nothing orders what goes out on two connections: without a pause the next overtakes it.
const NOTICE_ARRIVES_MS: Ms = 5.0;

/// What a call takes beside its texts and body: the stack of its task as far as it is touched, its mailbox,
/// its places in tables. Measured.
const CALL: usize = 26 << 10;

/// What the task of a timer or an order takes, likewise.
const TASK: usize = 10 << 10;

/// The token of the timer that recurs.
const RECURRING: u64 = 0;

/// The part of what may be learnt that is forgotten at a time.
const FORGET_PART: usize = 16;

/// Longest wait for room for an answer that has come.
const ANSWER_WAIT_MS: Ms = 500.0;

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
    /// There is no more time for it.
    Close,
    Ended {
        attempt: u32,
        end: Result<Vec<u8>, AttemptError>,
    },
}

/// Why a request was not taken; nothing of it ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NotTaken {
    /// Its id is open already.
    Open,
    /// There is no room for it; come again after so many milliseconds.
    Crowded(Ms),
    /// No requests are taken any more.
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
    held: Mutex<Reservation>,
    since: Ms,
}

/// An attempt that is out.
struct Flight {
    attempt: u32,
    worker: WorkerId,
    started: Ms,
    until: Ms,
    exchange: Box<dyn Exchange>,
    /// How it ended, while its worker may not know yet that it did.
    over: Option<AttemptError>,
}

/// The attempts of a request that are out. However its task ends, each is given up and the decisions hear
/// of it.
struct Out<'a> {
    taken: &'a Taken,
    flights: Vec<Flight>,
    /// Attempts that the decisions asked for and this task has read of.
    asked: u32,
    /// Attempts that went to a worker and are not proved never to have run, with the time of each, in order.
    ran: Vec<(u32, Ms)>,
}

impl Out<'_> {
    fn position(&self, attempt: u32) -> Option<usize> {
        self.flights.iter().position(|flight| flight.attempt == attempt)
    }

    /// Starts an attempt. One that repeats what may have run goes out within the window of its class.
    fn start(&mut self, worker: WorkerId, within: Ms) {
        let (attempt, call, invoker) = (self.asked, &self.taken.call, &self.taken.invoker);
        self.asked += 1;
        let started = now_ms();
        let Some(host) = invoker.host(worker) else {
            return self.taken.finished(attempt, worker, started, Outcome::Moot, false);
        };
        let expires = call.request.expires;
        let until = if within > 0.0 { expires.min(started + within) } else { expires };
        let window = match invoker.settings.classes.get(call.request.class).map(|class| class.effect) {
            Some(Effect::Keyed(_, window)) => self.ran.first().map(|(_, first)| first + window),
            _ => None,
        };
        let by = window.unwrap_or(until).min(until);
        self.ran.push((attempt, started));
        let sender = self.taken.inbox.sender.clone();
        let end = Box::new(move |end| _ = sender.send(Note::Ended { attempt, end }));
        invoker.counters.sent.add();
        let exchange = invoker.workers.send(&host, call, until, by, end);
        self.flights.push(Flight { attempt, worker, started, until, exchange, over: None });
    }

    /// Tells of an attempt that brought nothing.
    fn lost(&mut self, flight: &Flight, error: AttemptError, closed: bool) {
        let outcome = error.outcome();
        self.taken.invoker.counters.lost(outcome);
        self.taken.finished(flight.attempt, flight.worker, flight.started, outcome, closed);
        if outcome.proves_not_run() {
            self.ran.retain(|(attempt, _)| *attempt != flight.attempt);
        }
    }

    /// Tells of an attempt that brought nothing, now or once its worker has had time to hear.
    fn ended(&mut self, mut flight: Flight, error: AttemptError) {
        let second_copies = self.taken.invoker.settings.second_copies;
        if second_copies || !matches!(error, AttemptError::Unanswered(_)) {
            return self.lost(&flight, error, false);
        }
        (flight.over, flight.until) = (Some(error), now_ms() + NOTICE_ARRIVES_MS);
        self.flights.push(flight);
    }

    /// The time of an attempt is up.
    fn overdue(&mut self, at: usize) {
        let mut flight = self.flights.swap_remove(at);
        let now = now_ms();
        match flight.over {
            Some(error) if flight.exchange.cancel_notice().is_sent() => {
                return self.lost(&flight, error, false)
            }
            Some(_) => flight.until = now + NOTICE_ARRIVES_MS,
            None => match flight.exchange.give_up(Cause::Silent) {
                Some(error) => return self.ended(flight, error),
                // An end that is on its way already comes as the next note.
                None => flight.until = now + LAST_WORD_MS,
            },
        }
        self.flights.push(flight);
    }

    /// Calls off what is still out.
    fn call_off(&mut self) {
        // An attempt that was asked for behind the note that ended the request: the decisions count it as out.
        while let Ok(note) = self.taken.inbox.notes.try_recv() {
            if let Note::Send { worker, .. } = note {
                self.taken.finished(self.asked, worker, now_ms(), Outcome::Moot, true);
                self.asked += 1;
            }
        }
        for mut flight in std::mem::take(&mut self.flights) {
            let error = flight.over.or_else(|| flight.exchange.give_up(Cause::GivenUp));
            let error = error.unwrap_or(AttemptError::Unanswered(Cause::GivenUp));
            self.lost(&flight, error, true);
        }
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
    /// For what the dispatcher has learnt: estimated as models come, measured from time to time.
    learnt: Reservation,
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
    /// Held while news is folded and told, so that the decisions hear it in the order in which it was folded.
    telling: Mutex<()>,
    workers: Arc<dyn Workers>,
    spans: Spans,
    ledger: Arc<Ledger>,
    owed: Mutex<usize>,
    settled: Condvar,
    duty: Mutex<Duty>,
    duty_changed: Condvar,
    serving: AtomicBool,
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
    /// An invoker with the platform's settings object, a seed, a way to the workers, and the accounts that
    /// bound what it holds.
    pub fn new(
        setup: &serde_json::Value,
        seed: u64,
        workers: Arc<dyn Workers>,
        ledger: Arc<Ledger>,
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
        let dispatcher = Dispatcher::new(settings.clone(), seed);
        let learnt = ledger.account(Purpose::Learnt).nothing();
        let core = Core { dispatcher, open: HashMap::new(), learnt };
        let directory = Directory::new(&names, ledger.account(Purpose::Roster));
        let counters = Counters::new(workers.dials());
        Arc::new(Invoker {
            core: Mutex::new(core),
            directory: Mutex::new(directory),
            telling: Mutex::new(()),
            workers,
            spans,
            ledger,
            owed: Mutex::new(0),
            settled: Condvar::new(),
            duty: Mutex::default(),
            duty_changed: Condvar::new(),
            serving: AtomicBool::new(false),
            names,
            settings,
            give_up,
            counters,
        })
    }

    /// Takes a request in: from here on it is owed a final answer.
    pub fn take(self: &Arc<Self>, call: Call) -> Result<Taken, NotTaken> {
        self.admit(call).inspect_err(|_| self.counters.turned_away.add())
    }

    fn admit(self: &Arc<Self>, call: Call) -> Result<Taken, NotTaken> {
        if self.duty().refuses(now_ms()) {
            return Err(NotTaken::Draining);
        }
        let held = self.ledger.reserve(Purpose::Calls, call.request.tenant, CALL + call.size());
        let held = held.map_err(|full| crowded(Purpose::Calls, &full))?;
        let (sender, notes) = mpsc::channel();
        {
            let mut core = lock(&self.core);
            if core.open.contains_key(&call.request.id) {
                return Err(NotTaken::Open);
            }
            core.make_place(call.request.model).map_err(|full| crowded(Purpose::Learnt, &full))?;
            core.open.insert(call.request.id, sender.clone());
        }
        *lock(&self.owed) += 1;
        self.counters.taken.add();
        self.counters.body_bytes.observe(call.body.len() as f64);
        let (call, inbox) = (Arc::new(call), Inbox { notes, sender });
        Ok(Taken { invoker: self.clone(), call, inbox, held: Mutex::new(held), since: now_ms() })
    }

    /// The accounts of all that is held.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }

    /// Measures what has been learnt, and has the decisions forget what is over the cap as far as it is
    /// owed to nobody.
    pub fn measure(&self) {
        let core = &mut *lock(&self.core);
        let excess = core.dispatcher.remembered().bytes.saturating_sub(core.learnt.account().cap());
        if excess > 0 {
            core.dispatcher.forget(excess);
        }
        core.learnt.owe(core.dispatcher.remembered().bytes);
    }

    /// Nobody waits for the request any more.
    pub fn withdraw(&self, id: RequestId) {
        if let Some(inbox) = lock(&self.core).open.get(&id) {
            let _ = inbox.send(Note::Withdrawn);
        }
    }

    /// News of the workers; what is barred is barred before the decisions hear of it.
    pub fn news(self: &Arc<Self>, listings: Vec<Listing>, whole: bool, remembered: bool) {
        let _turn = lock(&self.telling);
        let roster = lock(&self.directory).apply(listings, whole, remembered);
        self.feed(Event::Roster(roster));
    }

    /// Takes over the operators' word on hosts: from here on nothing begins where they hold one out, whatever the
    /// directory says.
    pub fn adopt(self: &Arc<Self>, bans: Bans) {
        let _turn = lock(&self.telling);
        let roster = lock(&self.directory).adopt(bans);
        if !matches!(&roster, corkbay::Roster::Changes(entries) if entries.is_empty()) {
            self.feed(Event::Roster(roster));
        }
    }

    /// Whether a host can be held out.
    pub fn may_suspend(&self, name: &str) -> Result<(), NotHeeded> {
        lock(&self.directory).may_suspend(name)
    }

    /// Whether a host can be let back.
    pub fn may_resume(&self, name: &str) -> Result<(), NotHeeded> {
        lock(&self.directory).may_resume(name)
    }

    /// Clients can come from now on.
    pub fn serving(&self) {
        self.serving.store(true, Ordering::Release);
    }

    /// Whether clients can come, as far as this process goes.
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Acquire)
    }

    /// The operators' word on hosts.
    pub fn bans(&self) -> Bans {
        lock(&self.directory).bans().clone()
    }

    /// What is done about clients now.
    pub fn duty(&self) -> Duty {
        *lock(&self.duty)
    }

    /// Leaves the clients, on those terms.
    pub fn leave(&self, why: Leave, terms: Terms) {
        lock(&self.duty).leave(why, now_ms(), terms);
        self.duty_changed.notify_all();
    }

    /// Wants clients again; false where the process is about to end.
    pub fn come_back(&self) -> bool {
        lock(&self.duty).come_back()
    }

    /// Waits until clients are left.
    pub fn wait_for_leave(&self) {
        let mut duty = lock(&self.duty);
        while duty.leaving().is_none() {
            duty = self.duty_changed.wait(duty).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
    }

    /// Ends what is owed for one request: there is no more time for it.
    pub fn end(&self, id: RequestId) {
        lock(&self.core).note(id, Note::Close);
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

    /// Tells the dispatcher an event, and what becomes at once of what it asks for.
    fn feed(self: &Arc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            self.feed_one(event, &mut events);
        }
    }

    /// Tells the dispatcher one event and routes what it asks for, in order. What there is no room for comes
    /// to its end as an event to follow.
    fn feed_one(self: &Arc<Self>, event: Event, ends: &mut VecDeque<Event>) {
        let mut actions = Vec::new();
        let mut core = lock(&self.core);
        core.dispatcher.handle(now_ms(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, within } => core.note(id, Note::Send { worker, within }),
                Action::Cancel { id, attempt } => core.note(id, Note::Cancel { attempt }),
                Action::Refuse { id, retry_after } => core.note(id, Note::Refuse { retry_after }),
                Action::Fail { id } => core.note(id, Note::Fail),
                Action::Timer { token, delay } => {
                    let timers = self.ledger.account(Purpose::Timers);
                    // The one that recurs keeps the decisions going; without another, what is due comes with
                    // the next recurrence.
                    let held = if token == RECURRING { Ok(timers.owe(TASK)) } else { timers.reserve(TASK) };
                    let Ok(held) = held else { continue };
                    self.spawn(held, move |invoker| {
                        may::coroutine::sleep(Duration::from_secs_f64(delay.clamp(0.0, 4e6) / 1000.0));
                        invoker.feed(Event::Timer { token });
                    });
                }
                Action::Load { worker, model, copies } => {
                    let Some(held) = self.order() else {
                        let (outcome, copies, took) = (Outcome::Moot, 0, 0.0);
                        ends.push_back(Event::Loaded { worker, model, outcome, copies, took });
                        continue;
                    };
                    let started = now_ms();
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
                        let took = now_ms() - started;
                        invoker.feed(Event::Loaded { worker, model, outcome, copies, took });
                    });
                }
                // At once, so that it goes out before the load that wants the room.
                Action::Evict { worker, model } => {
                    if let Some(host) = self.host(worker) {
                        self.counters.evictions.add();
                        self.workers.evict(&host, model);
                    }
                }
                Action::Probe { worker } => {
                    let Some(held) = self.order() else {
                        let (outcome, took, report) = (Outcome::Moot, 0.0, None);
                        ends.push_back(Event::Probed { worker, outcome, took, report });
                        continue;
                    };
                    self.spawn(held, move |invoker| {
                        let started = now_ms();
                        let end = match invoker.host(worker) {
                            Some(host) => invoker.workers.probe(&host, invoker.spans.probe),
                            None => Err(AttemptError::Unconnected),
                        };
                        let outcome = end.map_or_else(AttemptError::outcome, |()| Outcome::Ok);
                        invoker.feed(Event::Probed {
                            worker,
                            outcome,
                            took: now_ms() - started,
                            report: None,
                        });
                    });
                }
                // The command channel is read all the time; there is nothing to subscribe to.
                Action::Subscribe => {}
            }
        }
    }

    /// Room for the task of an order to a worker.
    fn order(&self) -> Option<Reservation> {
        self.ledger.account(Purpose::Workers).reserve(TASK).ok()
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

fn crowded(purpose: Purpose, full: &Full) -> NotTaken {
    let (asked, cap) = (full.asked, full.cap);
    match decide(&Case { purpose, asked, cap, idle: 0, frees_in: None, waited: 0.0 }) {
        Decision::Refuse { retry_after: Some(span) } => NotTaken::Crowded(span),
        _ => NotTaken::Crowded(0.0),
    }
}

impl Core {
    /// Room in the tables for a model that is to be called; those that are missed least give way.
    fn make_place(&mut self, model: ModelId) -> Result<(), Full> {
        let asked = self.dispatcher.adds(model);
        let grown = |core: &Core| core.learnt.bytes() + asked;
        let Err(full) = self.learnt.resize(grown(self)) else { return Ok(()) };
        let (purpose, cap, idle) = (Purpose::Learnt, full.cap, self.learnt.bytes());
        let case = Case { purpose, asked, cap, idle, frees_in: None, waited: 0.0 };
        if let Decision::Evict { bytes } = decide(&case) {
            // More at a time, so that not every newcomer has to look for one that gives way.
            self.dispatcher.forget(bytes.max(cap / FORGET_PART));
            self.learnt.shrink_to(self.dispatcher.remembered().bytes);
        }
        self.learnt.resize(grown(self))
    }

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
        let mut out = Out { taken: self, flights: Vec::new(), asked: 0, ran: Vec::new() };
        invoker.feed(Event::Request(call.request.clone()));
        let mut answer = loop {
            let due = out
                .flights
                .iter()
                .map(|flight| flight.until)
                .fold(call.request.expires + LAST_WORD_MS, f64::min);
            match self.inbox.next(due) {
                Some(Note::Send { worker, within }) => out.start(worker, within),
                Some(Note::Ended { attempt, end }) => {
                    let Some(at) = out.position(attempt) else {
                        continue;
                    };
                    let flight = out.flights.swap_remove(at);
                    match end {
                        Ok(body) => {
                            self.hold(&body);
                            self.finished(attempt, flight.worker, flight.started, Outcome::Ok, true);
                            break Answer::Served { body };
                        }
                        Err(error) => out.ended(flight, error),
                    }
                }
                Some(Note::Cancel { attempt }) => {
                    let Some(at) = out.position(attempt) else {
                        continue;
                    };
                    if let Some(error) = out.flights[at].exchange.give_up(Cause::GivenUp) {
                        let flight = out.flights.swap_remove(at);
                        out.ended(flight, error);
                    }
                }
                Some(Note::Refuse { retry_after }) => {
                    break Answer::Refused { retry_after, known: self.known() }
                }
                Some(Note::Fail) => break Answer::Failed(self.known()),
                Some(Note::Close) => {
                    invoker.feed(Event::Withdrawn { id: call.request.id });
                    if !out.ran.is_empty() {
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
                        out.overdue(at);
                    } else if now >= call.request.expires {
                        invoker.feed(Event::Withdrawn { id: call.request.id });
                        break Answer::Failed(self.known());
                    }
                }
            }
        };
        out.call_off();
        if let Answer::Refused { known, .. } | Answer::Failed(known) = &mut answer {
            known.may_have_run = !out.ran.is_empty();
        }
        answer
    }

    /// Counts the answer on the call until it is written: once, and once more as it is written. Where there is no room
    /// it waits a little, and is counted all the same: it is owed.
    fn hold(&self, body: &Vec<u8>) {
        let held = &mut *lock(&self.held);
        let bytes = CALL + self.call.size() + 2 * body.capacity();
        if let Err(full) = held.resize(bytes) {
            // It must still be written in time.
            let left = (self.call.request.expires - now_ms()) / 2.0;
            room::wait(&full.account, full.asked, left.clamp(0.0, ANSWER_WAIT_MS));
            held.owe(bytes);
        }
    }

    /// The call.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// What is known at the end; how far the attempts had come is added when all have ended.
    fn known(&self) -> Failure {
        Failure { may_have_run: false, late: now_ms() + LAST_CALL_MS >= self.call.request.expires }
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
        self.invoker.counters.call_seconds.observe((now_ms() - self.since) / 1000.0);
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
mod tests;
