//! Invocations of the invoke API: repeats of a key, and the records of deferred calls.
use super::store::{Record, Store, StoreError, Writers};
use crate::core::{lock, now_ms, Answer, Failure};
use corkbay::{Ms, RequestId};
use may::sync::{mpsc, Mutex};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const PREFIX: &str = "invocation/";
/// Pauses between tries to keep a final answer that the log did not take.
const KEEP_PAUSES_MS: [u64; 4] = [50, 200, 1000, 3000];

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
    pub repeats_until: Ms,
    /// Its one final answer.
    pub answer: Option<Answer>,
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
}

struct Known {
    id: RequestId,
    body_check: u32,
    until: Ms,
    answer: Option<Answer>,
}

/// The invocations of one node.
pub struct Invocations {
    store: Arc<Store>,
    retention: Ms,
    keys: Mutex<HashMap<Key, Known>>,
    waiting: Mutex<Vec<mpsc::Sender<()>>>,
}

impl Invocations {
    /// Takes over what the store holds. A call that this node had accepted and not finished when it
    /// stopped may have run, so it fails; nothing of it is sent again.
    pub fn new(store: Arc<Store>, retention: Duration) -> Result<Self, StoreError> {
        let retention = retention.as_secs_f64() * 1000.0;
        let invocations = Invocations { store, retention, keys: Mutex::default(), waiting: Mutex::default() };
        for record in invocations.store.under(PREFIX) {
            let (Some(id), Some(mut deferred)) = (id_of(&record), read(&record)) else { continue };
            if record.node != invocations.store.node() {
                continue;
            }
            if !record.is_final {
                deferred.answer = Some(Answer::Failed(Failure { may_have_run: true, late: false }));
                invocations.write(id, &deferred, true)?;
            }
            let Deferred { function, key, body_check, repeats_until: until, answer } = deferred;
            // A call that never ran had freed its key.
            if let Some(key) = key.filter(|_| answer.as_ref().is_some_and(may_have_run)) {
                let known = Known { id, body_check, until, answer };
                lock(&invocations.keys).insert((function, key), known);
            }
        }
        Ok(invocations)
    }

    /// Notes a call with a key, unless one is known.
    pub fn admit(&self, key: &Key, id: RequestId, body: &[u8], until: Ms) -> Repeat {
        let mut keys = lock(&self.keys);
        let now = now_ms();
        keys.retain(|_, known| known.answer.is_none() || known.until > now);
        let body_check = crc32fast::hash(body);
        match keys.get(key) {
            Some(known) if known.body_check != body_check => Repeat::Mismatch,
            Some(Known { id, answer: Some(answer), .. }) => Repeat::Done(*id, answer.clone()),
            Some(known) => Repeat::Open(known.id),
            None => {
                keys.insert(key.clone(), Known { id, body_check, until, answer: None });
                Repeat::Fresh
            }
        }
    }

    /// Frees a key whose call was not taken after all.
    pub fn forget(&self, key: &Key) {
        lock(&self.keys).remove(key);
    }

    /// Keeps a deferred call before it is accepted.
    pub fn accept(&self, id: RequestId, deferred: &Deferred) -> Result<(), StoreError> {
        self.write(id, deferred, false)
    }

    /// The call has its final answer. What has proved never to have run frees its key: the client's
    /// next try with it is a first try.
    pub fn finish(&self, id: RequestId, key: Option<&Key>, answer: &Answer, deferred: Option<Deferred>) {
        if let Some(mut deferred) = deferred {
            deferred.answer = Some(answer.clone());
            let mut pauses = KEEP_PAUSES_MS.iter();
            while let Err(error) = self.write(id, &deferred, true) {
                eprintln!("invocation {:016x}: {error}", id.0);
                match pauses.next().filter(|_| matches!(error, StoreError::Log(_))) {
                    Some(pause) => may::coroutine::sleep(Duration::from_millis(*pause)),
                    None => break,
                }
            }
        }
        if let Some(key) = key {
            let mut keys = lock(&self.keys);
            if may_have_run(answer) {
                keys.entry(key.clone()).and_modify(|known| known.answer = Some(answer.clone()));
            } else {
                keys.remove(key);
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
        let end = now_ms() + within.as_secs_f64() * 1000.0;
        loop {
            let (sender, news) = mpsc::channel();
            lock(&self.waiting).push(sender);
            let found = self.get(id)?;
            if found.0.is_final || now_ms() >= end {
                return Some(found);
            }
            let _ = news.recv_timeout(crate::core::until(end));
        }
    }

    /// Has those who wait look again.
    pub fn wake(&self) {
        let waiting = std::mem::take(&mut *lock(&self.waiting));
        waiting.into_iter().for_each(|waiter| _ = waiter.send(()));
    }

    fn write(&self, id: RequestId, deferred: &Deferred, is_final: bool) -> Result<(), StoreError> {
        let expires = now_ms().max(deferred.repeats_until) + self.retention;
        let value = serde_json::to_value(deferred).ok();
        self.store.put(&key_of(id), value, is_final, expires, Writers::First).map(|_| ())
    }
}

fn key_of(id: RequestId) -> String {
    format!("{PREFIX}{:016x}", id.0)
}

fn id_of(record: &Record) -> Option<RequestId> {
    u64::from_str_radix(record.key.strip_prefix(PREFIX)?, 16).ok().map(RequestId)
}

fn read(record: &Record) -> Option<Deferred> {
    Deferred::deserialize(record.value.as_ref()?).ok()
}

fn may_have_run(answer: &Answer) -> bool {
    match answer {
        Answer::Served { .. } | Answer::Withdrawn => true,
        Answer::Refused { .. } => false,
        Answer::Failed(failure) => failure.may_have_run,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn deferred(key: &str) -> Deferred {
        Deferred {
            function: "f".into(),
            key: Some(key.into()),
            body_check: crc32fast::hash(b"x"),
            repeats_until: now_ms() + 60_000.0,
            answer: None,
        }
    }

    /// Guards the rule on repeats across a restart: what was open may have run, so it fails, and its key
    /// is not run again.
    #[test]
    fn what_was_open_at_a_restart_fails_and_its_key_stays_taken() {
        let store = Arc::new(Store::in_memory("a"));
        let before = Invocations::new(store.clone(), Duration::from_secs(60)).expect("in memory");
        before.accept(RequestId(7), &deferred("k")).expect("in memory");
        let after = Invocations::new(store, Duration::from_secs(60)).expect("in memory");
        let failed = Answer::Failed(Failure { may_have_run: true, late: false });
        let (record, kept) = after.get(RequestId(7)).expect("kept");
        assert!(record.is_final);
        assert_eq!(kept.answer, Some(failed.clone()));
        let repeat = after.admit(&("f".into(), "k".into()), RequestId(8), b"x", now_ms() + 1000.0);
        assert_eq!(repeat, Repeat::Done(RequestId(7), failed));
    }

    /// Guards a key across a restart: a call that was refused before does not stand for the one that was
    /// served after it.
    #[test]
    fn a_refused_call_does_not_hold_its_key_after_a_restart() {
        let store = Arc::new(Store::in_memory("a"));
        let before = Invocations::new(store.clone(), Duration::from_secs(60)).expect("in memory");
        let key = ("f".to_string(), "k".to_string());
        let refused =
            Answer::Refused { retry_after: 0.0, known: Failure { may_have_run: false, late: false } };
        let served = Answer::Served { body: b"z".to_vec() };
        for (id, answer) in [(9, &refused), (8, &served), (10, &refused)] {
            before.accept(RequestId(id), &deferred("k")).expect("in memory");
            before.finish(RequestId(id), Some(&key), answer, Some(deferred("k")));
        }
        let after = Invocations::new(store, Duration::from_secs(60)).expect("in memory");
        let repeat = after.admit(&key, RequestId(11), b"x", now_ms() + 1000.0);
        assert_eq!(repeat, Repeat::Done(RequestId(8), served));
    }

    /// Guards against a replica that answers for the node that accepted the call.
    #[test]
    fn a_replica_invents_no_answer() {
        let (one, two) = (Arc::new(Store::in_memory("one")), Arc::new(Store::in_memory("two")));
        let accepting = Invocations::new(one.clone(), Duration::from_secs(60)).expect("in memory");
        accepting.accept(RequestId(7), &deferred("k")).expect("in memory");
        two.merge(one.lacking(&two.digest())).expect("in memory");
        let replica = Invocations::new(two.clone(), Duration::from_secs(60)).expect("in memory");
        let (record, kept) = replica.get(RequestId(7)).expect("replicated");
        assert!(!record.is_final && kept.answer.is_none());
    }

    #[test]
    fn a_key_is_free_again_only_if_nothing_ran() {
        let store = Arc::new(Store::in_memory("a"));
        let invocations = Invocations::new(store, Duration::from_secs(60)).expect("in memory");
        let key = ("f".to_string(), "k".to_string());
        let admit = |id, body: &[u8]| invocations.admit(&key, RequestId(id), body, now_ms() + 60_000.0);
        assert_eq!(admit(1, b"x"), Repeat::Fresh);
        assert_eq!(admit(2, b"x"), Repeat::Open(RequestId(1)));
        assert_eq!(admit(2, b"y"), Repeat::Mismatch);
        let refused =
            Answer::Refused { retry_after: 0.0, known: Failure { may_have_run: false, late: false } };
        invocations.finish(RequestId(1), Some(&key), &refused, None);
        assert_eq!(admit(3, b"x"), Repeat::Fresh);
        let served = Answer::Served { body: b"z".to_vec() };
        invocations.finish(RequestId(3), Some(&key), &served, None);
        assert_eq!(admit(4, b"x"), Repeat::Done(RequestId(3), served));
    }
}
