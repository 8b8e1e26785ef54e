//! The one dispatcher and the life of each request round it.
//!
//! | module | job |
//! | --- | --- |
//! | `actions` | events for the dispatcher, and the actions that it asks for |
//! | `request` | the life of one request |
//! | `flights` | its attempts that are out |
//! | `notes` | what reaches its task |
mod actions;
mod flights;
mod notes;
mod request;

use super::{monotonic_ms, until, Call, LineBudget, StallWatch, Turn, Workers, HEARTBEAT};
use crate::memory::counters::Counters;
use crate::memory::roster::{BanError, Directory, Listing};
use crate::timers;
use corkbay::{Dispatcher, Event, ModelId, Ms, Names, RequestId, Settings};
use corkbay_duty::{Bans, Duty, Leave, Terms};
use corkbay_ledger::pressure::{decide, Case, Decision};
use corkbay_ledger::{Full, Ledger, Purpose, Reservation};
use may::sync::{mpsc, Condvar, Mutex};
pub use notes::Inbox;
use notes::Note;
pub use request::Taken;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// What a call takes beside its texts and body: the stack of its task as far as it is touched, its mailbox,
/// its places in tables.
const CALL_BYTES: usize = 26 << 10;

/// The part of what may be learnt that is forgotten at a time.
const FORGET_PART: usize = 16;

/// Why a request was not taken; nothing of it ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NotTaken {
    /// Its id is open already.
    Open,
    /// There is no room or no time for it; come again after so many milliseconds.
    Crowded(Ms),
    /// No requests are taken any more.
    Draining,
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
    /// Called with the number of workers that are to be known, before they are taken in.
    room_for_workers: OnceLock<Box<dyn Fn(usize) + Send + Sync>>,
    /// For log lines on single requests.
    pub(crate) lines: LineBudget,
    stalls: StallWatch,
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
            room_for_workers: OnceLock::new(),
            lines: LineBudget::default(),
            stalls: StallWatch::default(),
        })
    }

    /// Takes a request in: from here on it is owed a final answer.
    pub fn take(self: &Arc<Self>, call: Call) -> Result<Taken, NotTaken> {
        self.admit(call).inspect_err(|_| self.counters.turned_away.add())
    }

    fn admit(self: &Arc<Self>, call: Call) -> Result<Taken, NotTaken> {
        if self.duty().refuses(monotonic_ms()) {
            return Err(NotTaken::Draining);
        }
        if self.stalls.is_behind(monotonic_ms()) {
            self.counters.turned_away_behind.add();
            return Err(NotTaken::Crowded(self.settings.max_retry_after));
        }
        let held = self.ledger.reserve(Purpose::Calls, call.request.tenant, CALL_BYTES + call.size());
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
        Ok(Taken { invoker: self.clone(), call, inbox, held: Mutex::new(held), since: monotonic_ms() })
    }

    /// Has room made for the workers that are to be known, whenever a list is about to be taken in; once.
    pub fn on_workers(&self, make_room: impl Fn(usize) + Send + Sync + 'static) {
        // A second one is never set: there is one start of a process.
        let _ = self.room_for_workers.set(Box::new(make_room));
    }

    /// Notes from now on that this process runs, for as long as it does.
    pub fn watch_for_stalls(self: &Arc<Self>) {
        let invoker = self.clone();
        crate::life::spawn(move || loop {
            match invoker.stalls.beat(monotonic_ms()) {
                Some(Turn::FellBehind(late_ms)) => {
                    invoker.counters.fell_behind.add();
                    tracing::warn!(late_ms = late_ms.round(), "behind: new requests are turned away");
                }
                Some(Turn::CaughtUp) => tracing::info!("caught up"),
                None => {}
            }
            timers::sleep(HEARTBEAT);
        });
    }

    /// The earliest time at which what is read now can have come: a client's time began then.
    pub fn came_at(&self) -> Ms {
        self.stalls.came_at(monotonic_ms())
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
        let known = lock(&self.directory).known_after(&listings, whole);
        if let Some(make_room) = self.room_for_workers.get() {
            make_room(known);
        }
        let roster = lock(&self.directory).apply(listings, whole, remembered);
        self.feed(Event::Roster(roster));
    }

    /// Takes over the operators' overrides on hosts: from here on nothing begins where they hold one out, whatever the
    /// directory says.
    pub fn adopt(self: &Arc<Self>, bans: Bans) {
        let _turn = lock(&self.telling);
        let roster = lock(&self.directory).adopt(bans);
        if !matches!(&roster, corkbay::Roster::Changes(entries) if entries.is_empty()) {
            self.feed(Event::Roster(roster));
        }
    }

    /// Whether a host can be held out.
    pub fn may_suspend(&self, name: &str) -> Result<(), BanError> {
        lock(&self.directory).may_suspend(name)
    }

    /// Whether a host can be let back.
    pub fn may_resume(&self, name: &str) -> Result<(), BanError> {
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

    /// The operators' overrides on hosts.
    pub fn bans(&self) -> Bans {
        lock(&self.directory).bans().clone()
    }

    /// What is done about clients now.
    pub fn duty(&self) -> Duty {
        *lock(&self.duty)
    }

    /// Leaves the clients, on those terms.
    pub fn leave(&self, why: Leave, terms: Terms) {
        lock(&self.duty).leave(why, monotonic_ms(), terms);
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
        let end = monotonic_ms() + within.as_secs_f64() * 1000.0;
        let mut owed = lock(&self.owed);
        while *owed > 0 {
            if monotonic_ms() >= end {
                return false;
            }
            owed = timers::wait(&self.settled, owed, until(end));
        }
        true
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        *lock(&self.owed)
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

/// A lock that outlives a panic elsewhere: what it guards is changed in whole steps only.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> may::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[cfg(test)]
mod tests;
