//! Invocations of the invoke API: repeats of a key, and the records of deferred calls.
//!
//! What a call will have to keep is reserved before it is run: the largest answer that a repeat of its key
//! may be given, and the largest final record that its client may collect. What the answer turns out not to
//! need goes back at its end.
mod rerun;

pub use rerun::{Rerun, Resumable};

use super::keys::INVOCATION;
use super::record::{Record, Text};
use super::store::{refuse, Draft, Store, StoreError, Writers};
use crate::core::{lock, monotonic_ms, Answer, Failure, UnixTime};
use crate::timers;
use corkbay::{Ms, RequestId};
use corkbay_ledger::{Purpose, Reservation};
use may::sync::{mpsc, Mutex};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Pauses between tries to keep a final answer that the log did not take.
const KEEP_PAUSES_MS: [u64; 4] = [50, 200, 1000, 3000];
/// What a key costs beside its texts and its answer: its place in a map that is at times half empty, and the
/// heads of its allocations.
const KEY_COST: usize = 2 * (std::mem::size_of::<Key>() + std::mem::size_of::<Known>()) + 3 * 32;
/// What a final record holds beside what the open one does and the answer's own bytes.
const END_COST: usize = 128;
/// Least time between two looks for keys whose window is over, in milliseconds.
const LOOK_MS: Ms = 250.0;

/// A function and an idempotency key.
pub type Key = (String, String);

/// What the store holds of a deferred call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Deferred {
    /// The function called.
    pub function: String,
    /// The idempotency key, where the class wants one.
    pub key: Option<String>,
    /// A check over the body that came with the key.
    pub body_check: u32,
    /// Until then a repeat of the key is answered from here.
    pub repeats_until: UnixTime,
    /// For how long that is from the time at which the call was accepted, in milliseconds. After a restart the key is
    /// kept for so long again: the wall clock may have been stepped while nobody ran.
    #[serde(default)]
    pub repeats_for: Ms,
    /// Its one final answer.
    pub answer: Option<Answer>,
    /// What it takes to run it again, while it is open and where its class may be repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rerun: Option<Rerun>,
}

/// A deferred call that was accepted, with the room for its end.
pub struct Promise {
    deferred: Deferred,
    room: Reservation,
}

/// What a call with a key turns out to be.
#[derive(Clone, Debug, PartialEq)]
pub enum Repeat {
    /// New: it is to be run, and then told to [`Invocations::finish`].
    Fresh,
    /// The first call with this key is still open.
    Open(RequestId),
    /// It has this answer.
    Done(RequestId, Answer),
    /// The key came with another body before.
    Mismatch,
    /// There is no room for another key; come again after so many milliseconds, where that is of use.
    Crowded(Option<Ms>),
}

struct Known {
    id: RequestId,
    body_check: u32,
    until: Ms,
    answer: Option<Answer>,
    held: Reservation,
}

/// The keys of one node.
#[derive(Default)]
struct Keys {
    known: HashMap<Key, Known>,
    looked: Ms,
    /// When the first of them is over, as of the last look.
    soonest: Ms,
}

impl Keys {
    /// Forgets keys whose window is over.
    fn forget(&mut self, now: Ms) {
        self.looked = now;
        self.known.retain(|_, known| known.answer.is_none() || known.until > now);
        self.soonest = self.known.values().map(|known| known.until).fold(f64::INFINITY, f64::min);
        if self.known.capacity() > 4 * self.known.len() {
            self.known.shrink_to(2 * self.known.len());
        }
    }
}

/// Who waits for an end.
#[derive(Default)]
struct Waiting {
    next: u64,
    senders: BTreeMap<u64, mpsc::Sender<()>>,
}

/// The invocations of one node.
pub struct Invocations {
    store: Arc<Store>,
    retention: Ms,
    /// Largest body of an answer, in bytes.
    largest: usize,
    keys: Mutex<Keys>,
    waiting: Mutex<Waiting>,
    /// Calls that were found open at the start and may be run again.
    resumable: Mutex<Vec<Resumable>>,
}

impl Invocations {
    /// Takes over what the store holds; `largest` is the largest body of an answer, in bytes. A call that this node had
    /// accepted and not finished when it stopped may have run. It is [run again](Invocations::take_resumable) where its
    /// class may be repeated; any other fails, and nothing of it is sent again.
    pub fn new(store: Arc<Store>, retention: Duration, largest: usize) -> Result<Self, StoreError> {
        let retention = retention.as_secs_f64() * 1000.0;
        let (keys, waiting, resumable) = (Mutex::default(), Mutex::default(), Mutex::default());
        let invocations = Invocations { store, retention, largest, keys, waiting, resumable };
        for record in invocations.store.under(INVOCATION) {
            let (Some(id), Some(mut deferred)) = (id_of(&record), read(&record)) else { continue };
            if &*record.node != invocations.store.node() {
                continue;
            }
            if let Some(rerun) = deferred.rerun.take().filter(|_| !record.is_final) {
                lock(&invocations.resumable).push(Resumable { id, deferred, rerun });
                continue;
            }
            if !record.is_final {
                deferred.answer = Some(Answer::Failed(Failure { may_have_run: true, late: false }));
                let end = Draft { owed: true, ..invocations.draft(&deferred, true) };
                invocations.store.put(&mut Draft { key: &key_of(id), ..end })?;
            }
            let Deferred { function, key, body_check, repeats_until, repeats_for, answer, .. } = deferred;
            let until = match repeats_for {
                // Written by an earlier version.
                0.0 => repeats_until.at_start_clock(),
                span => monotonic_ms() + span,
            };
            // A call that never ran had freed its key.
            if let Some(key) = key.filter(|_| answer.as_ref().is_some_and(may_have_run)) {
                let key = (function, key);
                let size = cost(&key) + answer.as_ref().map_or(0, kept);
                let held = invocations.store.ledger().owe(Purpose::Keys, size);
                let known = Known { id, body_check, until, answer, held };
                lock(&invocations.keys).known.insert(key, known);
            }
        }
        Ok(invocations)
    }

    /// The calls that were found open at the start and may be run again; each is to be [finished](Invocations::finish).
    pub fn take_resumable(&self) -> Vec<Resumable> {
        std::mem::take(&mut *lock(&self.resumable))
    }

    /// Room for the end of a call that an earlier process accepted: it is owed, whatever is full.
    pub fn promise_again(&self, deferred: &Deferred) -> Promise {
        let room = self.store.ledger().owe(Purpose::DeferredFinal, self.largest.div_ceil(3) * 4);
        Promise { deferred: deferred.clone(), room }
    }

    /// Notes a call with a key, unless one is known.
    pub fn admit(&self, key: &Key, id: RequestId, body: &[u8], until: Ms, tenant: Option<usize>) -> Repeat {
        let mut keys = lock(&self.keys);
        let now = monotonic_ms();
        if now - keys.looked >= LOOK_MS {
            keys.forget(now);
        }
        let body_check = crc32fast::hash(body);
        match keys.known.get(key) {
            Some(known) if known.body_check != body_check => return Repeat::Mismatch,
            Some(Known { id, answer: Some(answer), until, .. }) if *until > now => {
                return Repeat::Done(*id, answer.clone());
            }
            Some(known @ Known { answer: None, .. }) => return Repeat::Open(known.id),
            _ => {}
        }
        let size = cost(key) + self.largest;
        match self.store.ledger().reserve(Purpose::Keys, tenant, size) {
            Ok(held) => {
                keys.known.insert(key.clone(), Known { id, body_check, until, answer: None, held });
                Repeat::Fresh
            }
            Err(full) => {
                let frees_in = keys.soonest.is_finite().then(|| keys.soonest - now);
                match refuse(Purpose::Keys, full, frees_in) {
                    StoreError::Full { retry_after, .. } => Repeat::Crowded(retry_after),
                    _ => Repeat::Crowded(None),
                }
            }
        }
    }

    /// Frees a key whose call was not taken after all.
    pub fn forget(&self, key: &Key) {
        lock(&self.keys).known.remove(key);
    }

    /// Keeps a deferred call before it is accepted, and holds room for its end.
    pub fn accept(
        &self,
        id: RequestId,
        deferred: Deferred,
        tenant: Option<usize>,
    ) -> Result<Promise, StoreError> {
        let (key, open) = (key_of(id), self.draft(&deferred, false));
        let text = open.value.as_ref().map_or(0, |text| text.as_str().len());
        let node = self.store.node().len();
        let open_size = Record::size_of(key.len(), text) + node;
        let end_size = open_size + END_COST + self.largest.div_ceil(3) * 4;
        let room = self.store.reserve(Purpose::DeferredFinal, tenant, end_size)?;
        let held = Some(self.store.reserve(Purpose::DeferredOpen, tenant, open_size)?);
        self.store.put(&mut Draft { key: &key, held, ..open })?;
        Ok(Promise { deferred, room })
    }

    /// The call has its final answer. What has proved never to have run frees its key: the client's
    /// next try with it is a first try.
    pub fn finish(&self, id: RequestId, key: Option<&Key>, answer: &Answer, promise: Option<Promise>) {
        if let Some(Promise { mut deferred, room }) = promise {
            (deferred.answer, deferred.rerun) = (Some(answer.clone()), None);
            let key = key_of(id);
            let mut end = Draft { key: &key, held: Some(room), owed: true, ..self.draft(&deferred, true) };
            let mut pauses = KEEP_PAUSES_MS.iter();
            while let Err(error) = self.store.put(&mut end) {
                tracing::error!(invocation = %key, %error, "a final answer was not kept");
                match pauses.next().filter(|_| matches!(error, StoreError::Log(_))) {
                    Some(pause) => timers::sleep(Duration::from_millis(*pause)),
                    None => break,
                }
            }
        }
        if let Some(key) = key {
            let mut keys = lock(&self.keys);
            if may_have_run(answer) {
                keys.known.entry(key.clone()).and_modify(|known| {
                    known.answer = Some(answer.clone());
                    known.held.shrink_to(cost(key) + kept(answer));
                });
            } else {
                keys.known.remove(key);
            }
        }
        self.wake();
    }

    /// The record of a deferred call.
    pub fn get(&self, id: RequestId) -> Option<(Record, Deferred)> {
        let record = self.store.get(&key_of(id))?;
        let deferred = read(&record)?;
        Some((record, deferred))
    }

    /// The same, once it is final or that time has passed.
    pub fn wait(&self, id: RequestId, within: Duration) -> Option<(Record, Deferred)> {
        let end = monotonic_ms() + within.as_secs_f64() * 1000.0;
        loop {
            let (sender, news) = mpsc::channel();
            let number = {
                let mut waiting = lock(&self.waiting);
                waiting.next += 1;
                let number = waiting.next;
                waiting.senders.insert(number, sender);
                number
            };
            let found = self.get(id);
            let over = found.as_ref().is_none_or(|found| found.0.is_final || monotonic_ms() >= end);
            if !over {
                let _ = timers::receive(&news, crate::core::until(end));
            }
            lock(&self.waiting).senders.remove(&number);
            if over {
                return found;
            }
        }
    }

    /// Has those who wait look again.
    pub fn wake(&self) {
        let waiting = std::mem::take(&mut lock(&self.waiting).senders);
        waiting.into_values().for_each(|waiter| _ = waiter.send(()));
    }

    /// What is to be kept of a call, its key aside.
    fn draft(&self, deferred: &Deferred, is_final: bool) -> Draft<'static> {
        let expires =
            UnixTime::of(monotonic_ms().max(deferred.repeats_until.at_start_clock()) + self.retention);
        Draft { is_final, expires, writers: Writers::First, ..Draft::new("", Text::of(deferred).ok()) }
    }
}

/// What a key takes without its answer, in bytes.
fn cost(key: &Key) -> usize {
    KEY_COST + key.0.len() + key.1.len()
}

/// What an answer holds beside its place, in bytes.
fn kept(answer: &Answer) -> usize {
    match answer {
        Answer::Served { body } => body.capacity(),
        Answer::Refused { .. } | Answer::Failed(_) | Answer::Withdrawn => 0,
    }
}

fn key_of(id: RequestId) -> String {
    format!("{INVOCATION}{:016x}", id.0)
}

fn id_of(record: &Record) -> Option<RequestId> {
    u64::from_str_radix(record.key.strip_prefix(INVOCATION)?, 16).ok().map(RequestId)
}

fn read(record: &Record) -> Option<Deferred> {
    record.value.as_ref()?.read().ok()
}

fn may_have_run(answer: &Answer) -> bool {
    match answer {
        Answer::Served { .. } | Answer::Withdrawn => true,
        Answer::Refused { .. } => false,
        Answer::Failed(failure) => failure.may_have_run,
    }
}

#[cfg(test)]
mod tests;
