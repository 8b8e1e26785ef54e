//! Invocations of the invoke API: idempotency keys, and the records of deferred calls.
//!
//! Memory for what a call leaves behind is reserved before the call runs: for the largest answer that a repeat of its
//! idempotency key may receive, and for the largest final record that its client may fetch. Memory that the answer
//! doesn't need is released when the call ends.
//!
//! Invariant: an open record of this node is that of a call which this process runs, or of an orphan, which this process
//! ends. It makes no difference whether the record was found at the start or came later from a peer (see `orphans`).
mod orphans;
mod rerun;

pub use rerun::{Rerun, Resumable};

use super::keys::INVOCATION;
use super::record::{Record, Text};
use super::store::{refuse, Draft, Store, StoreError, Writers};
use crate::core::{lock, monotonic_ms, Answer, UnixTime};
use crate::timers;
use corkbay::{Ms, RequestId};
use corkbay_ledger::{Purpose, Reservation};
use may::sync::{mpsc, Mutex};
use orphans::OpenCalls;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Delays between attempts to store a final answer after a log error, in milliseconds.
const STORE_RETRY_DELAYS_MS: [u64; 4] = [50, 200, 1000, 3000];
/// Memory overhead of a key beside its texts and its answer, in bytes: its entry in a map that may be half empty, and
/// the allocator headers of its allocations.
const KEY_OVERHEAD_BYTES: usize = 2 * (std::mem::size_of::<Key>() + std::mem::size_of::<KeyEntry>()) + 3 * 32;
/// Additional size of a final record compared to the open one, without the answer's body, in bytes.
const FINAL_OVERHEAD_BYTES: usize = 128;
/// Minimum interval between two scans for expired keys, in milliseconds.
const KEY_SCAN_INTERVAL_MS: Ms = 250.0;

/// The name of a function and an idempotency key.
pub type Key = (String, String);

/// The stored state of a deferred call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Deferred {
    /// Name of the called function.
    pub function: String,
    /// The idempotency key, if the class requires one.
    pub key: Option<String>,
    /// CRC-32 of the body that was sent with the key.
    pub body_check: u32,
    /// Until when a repeat of the key is answered from this record.
    pub repeats_until: UnixTime,
    /// The same as a duration from the acceptance of the call, in milliseconds. After a restart the key is kept for this
    /// duration again, as the wall clock may have been stepped while the process was down.
    #[serde(default)]
    pub repeats_for: Ms,
    /// The final answer.
    pub answer: Option<Answer>,
    /// The data to run the call again after a restart, while it is open and if calls of its class may be repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rerun: Option<Rerun>,
}

/// An accepted deferred call, with memory reserved for its final record.
pub struct AcceptedCall {
    deferred: Deferred,
    reservation: Reservation,
}

/// The result of looking up the idempotency key of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Repeat {
    /// A new key: run the call and then report its end to [`Invocations::finish`].
    Fresh,
    /// The first call with this key is still running.
    Open(RequestId),
    /// The first call with this key has this answer.
    Done(RequestId, Answer),
    /// The key was used with another body before.
    Mismatch,
    /// There is no room for another key. Holds the suggested delay before a retry in milliseconds, `None` if a retry won't
    /// help.
    Crowded(Option<Ms>),
}

struct KeyEntry {
    id: RequestId,
    /// CRC-32 of the body that was sent with the key.
    body_check: u32,
    /// When the key expires, on the monotonic clock in milliseconds.
    until: Ms,
    answer: Option<Answer>,
    held: Reservation,
}

/// The idempotency keys of one node.
#[derive(Default)]
struct Keys {
    entries: HashMap<Key, KeyEntry>,
    /// When the keys were last scanned, on the monotonic clock in milliseconds.
    last_scan: Ms,
    /// When the first key expires, as of the last scan, on the monotonic clock in milliseconds.
    next_expiry: Ms,
}

impl Keys {
    /// Drops expired keys.
    fn forget(&mut self, now: Ms) {
        self.last_scan = now;
        self.entries.retain(|_, entry| entry.answer.is_none() || entry.until > now);
        self.next_expiry = self.entries.values().map(|entry| entry.until).fold(f64::INFINITY, f64::min);
        if self.entries.capacity() > 4 * self.entries.len() {
            self.entries.shrink_to(2 * self.entries.len());
        }
    }
}

/// Callers that wait for the end of a call.
#[derive(Default)]
struct Waiters {
    next: u64,
    senders: BTreeMap<u64, mpsc::Sender<()>>,
}

/// The invocations of one node.
pub struct Invocations {
    store: Arc<Store>,
    /// How long a deferred call is kept after its last write or the expiry of its key, whichever is later; in
    /// milliseconds.
    retention: Ms,
    /// Maximum body of an answer, in bytes.
    max_answer_bytes: usize,
    keys: Mutex<Keys>,
    waiters: Mutex<Waiters>,
    /// Which of this node's open calls are run by this process.
    open_calls: Mutex<OpenCalls>,
    /// Calls that were open when the previous process ended and may be run again.
    resumable: Mutex<Vec<Resumable>>,
}

impl Invocations {
    /// Restores the keys and open calls from the store; `max_answer_bytes` is the maximum body of an answer. Calls that this
    /// node had accepted but not finished when it stopped are ended as [`Invocations::end_orphans`] does.
    pub fn new(store: Arc<Store>, retention: Duration, max_answer_bytes: usize) -> Result<Self, StoreError> {
        let invocations = Invocations::restored(store, retention, max_answer_bytes);
        invocations.end_orphans(|_| true)?;
        Ok(invocations)
    }

    /// Like [`Invocations::new`], but leaves open calls to be ended by the caller.
    pub fn restored(store: Arc<Store>, retention: Duration, max_answer_bytes: usize) -> Self {
        let invocations = Invocations {
            store,
            retention: retention.as_secs_f64() * 1000.0,
            max_answer_bytes,
            keys: Mutex::default(),
            waiters: Mutex::default(),
            open_calls: Mutex::default(),
            resumable: Mutex::default(),
        };
        let records = invocations.store.records_with_prefix(INVOCATION);
        records.iter().for_each(|record| invocations.restore(record));
        invocations
    }

    /// Takes the calls that were open when the previous process ended and may be run again; each must be
    /// [finished](Invocations::finish).
    pub fn take_resumable(&self) -> Vec<Resumable> {
        std::mem::take(&mut *lock(&self.resumable))
    }

    /// Reserves memory for the final record of a call that an earlier process accepted, even above the account's cap.
    pub fn accept_again(&self, deferred: &Deferred) -> AcceptedCall {
        let reservation = self
            .store
            .ledger()
            .reserve_over_cap(Purpose::DeferredFinal, self.max_answer_bytes.div_ceil(3) * 4);
        AcceptedCall { deferred: deferred.clone(), reservation }
    }

    /// Registers a call under its idempotency key, unless the key is in use. `until` is when the key expires, on the
    /// monotonic clock in milliseconds.
    pub fn admit(&self, key: &Key, id: RequestId, body: &[u8], until: Ms, tenant: Option<usize>) -> Repeat {
        let mut keys = lock(&self.keys);
        let now = monotonic_ms();
        if now - keys.last_scan >= KEY_SCAN_INTERVAL_MS {
            keys.forget(now);
        }
        let body_check = crc32fast::hash(body);
        match keys.entries.get(key) {
            Some(entry) if entry.body_check != body_check => return Repeat::Mismatch,
            Some(KeyEntry { id, answer: Some(answer), until, .. }) if *until > now => {
                return Repeat::Done(*id, answer.clone());
            }
            Some(entry @ KeyEntry { answer: None, .. }) => return Repeat::Open(entry.id),
            _ => {}
        }
        let size = key_size(key) + self.max_answer_bytes;
        match self.store.ledger().reserve(Purpose::Keys, tenant, size) {
            Ok(held) => {
                keys.entries.insert(key.clone(), KeyEntry { id, body_check, until, answer: None, held });
                Repeat::Fresh
            }
            Err(full) => {
                let frees_in = keys.next_expiry.is_finite().then(|| keys.next_expiry - now);
                match refuse(Purpose::Keys, full, frees_in) {
                    StoreError::Full { retry_after, .. } => Repeat::Crowded(retry_after),
                    _ => Repeat::Crowded(None),
                }
            }
        }
    }

    /// Releases a key whose call was not accepted.
    pub fn forget(&self, key: &Key) {
        lock(&self.keys).entries.remove(key);
    }

    /// Stores a deferred call before it is acknowledged, and reserves memory for its final record.
    pub fn accept(
        &self,
        id: RequestId,
        deferred: Deferred,
        tenant: Option<usize>,
    ) -> Result<AcceptedCall, StoreError> {
        let (key, open) = (key_of(id), self.draft(&deferred, false));
        let text = open.value.as_ref().map_or(0, |text| text.as_str().len());
        let node = self.store.node().len();
        let open_size = Record::size_of(key.len(), text) + node;
        let final_size = open_size + FINAL_OVERHEAD_BYTES + self.max_answer_bytes.div_ceil(3) * 4;
        let reservation = self.store.reserve(Purpose::DeferredFinal, tenant, final_size)?;
        let held = Some(self.store.reserve(Purpose::DeferredOpen, tenant, open_size)?);
        // Before the record shows, so that it is never taken for that of an orphan.
        lock(&self.open_calls).start(id);
        self.store
            .put(&mut Draft { key: &key, held, ..open })
            .inspect_err(|_| lock(&self.open_calls).finish(id))?;
        Ok(AcceptedCall { deferred, reservation })
    }

    /// Stores the final answer of a call. A call that certainly did not run releases its key, so that the client's next
    /// call with the key is run.
    pub fn finish(
        &self,
        id: RequestId,
        key: Option<&Key>,
        answer: &Answer,
        accepted_call: Option<AcceptedCall>,
    ) {
        if let Some(AcceptedCall { mut deferred, reservation }) = accepted_call {
            (deferred.answer, deferred.rerun) = (Some(answer.clone()), None);
            let key = key_of(id);
            let mut final_draft = Draft {
                key: &key,
                held: Some(reservation),
                may_exceed_cap: true,
                ..self.draft(&deferred, true)
            };
            let mut delays = STORE_RETRY_DELAYS_MS.iter();
            while let Err(error) = self.store.put(&mut final_draft) {
                tracing::error!(invocation = %key, %error, "a final answer was not kept");
                match delays.next().filter(|_| matches!(error, StoreError::Log(_))) {
                    Some(delay) => timers::sleep(Duration::from_millis(*delay)),
                    None => break,
                }
            }
            lock(&self.open_calls).finish(id);
            self.adopt_if_open(id);
        }
        if let Some(key) = key {
            let mut keys = lock(&self.keys);
            if may_have_run(answer) {
                keys.entries.entry(key.clone()).and_modify(|entry| {
                    entry.answer = Some(answer.clone());
                    entry.held.shrink_to(key_size(key) + answer_size(answer));
                });
            } else {
                keys.entries.remove(key);
            }
        }
        self.wake();
    }

    /// The record of a deferred call, if it is stored.
    pub fn get(&self, id: RequestId) -> Option<(Record, Deferred)> {
        let record = self.store.get(&key_of(id))?;
        let deferred = read(&record)?;
        Some((record, deferred))
    }

    /// The record of a deferred call, once it is final or the time has passed.
    pub fn wait(&self, id: RequestId, within: Duration) -> Option<(Record, Deferred)> {
        let deadline = monotonic_ms() + within.as_secs_f64() * 1000.0;
        loop {
            let (sender, wakeup) = mpsc::channel();
            let number = {
                let mut waiters = lock(&self.waiters);
                waiters.next += 1;
                let number = waiters.next;
                waiters.senders.insert(number, sender);
                number
            };
            let found = self.get(id);
            let is_done = found.as_ref().is_none_or(|found| found.0.is_final || monotonic_ms() >= deadline);
            if !is_done {
                let _ = timers::receive(&wakeup, crate::core::time_until(deadline));
            }
            lock(&self.waiters).senders.remove(&number);
            if is_done {
                return found;
            }
        }
    }

    /// Wakes all waiting callers, which look up their records again.
    pub fn wake(&self) {
        let waiters = std::mem::take(&mut lock(&self.waiters).senders);
        waiters.into_values().for_each(|waiter| _ = waiter.send(()));
    }

    /// The record of a call to be stored, with an empty key.
    fn draft(&self, deferred: &Deferred, is_final: bool) -> Draft<'static> {
        let expires =
            UnixTime::of(monotonic_ms().max(deferred.repeats_until.at_start_clock()) + self.retention);
        Draft { is_final, expires, writers: Writers::First, ..Draft::new("", Text::of(deferred).ok()) }
    }
}

/// Memory that a key takes without its answer, in bytes.
fn key_size(key: &Key) -> usize {
    KEY_OVERHEAD_BYTES + key.0.len() + key.1.len()
}

/// Memory that an answer holds on the heap, in bytes.
fn answer_size(answer: &Answer) -> usize {
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
