//! Deferred calls that an earlier life of this node accepted and did not finish.
//!
//! Their records are found in the log at the start, or come from peers later if this node has lost its disk. A call that
//! this process runs is never taken for one of them: it is registered before its record shows, until its final record is
//! stored.
use super::{answer_size, id_of, key_of, key_size, may_have_run, read};
use super::{Deferred, Draft, Invocations, KeyEntry, Resumable};
use crate::core::{lock, monotonic_ms, Answer, Failure};
use crate::state::record::Record;
use crate::state::store::StoreError;
use corkbay::{Ms, RequestId};
use corkbay_ledger::Purpose;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Which of this node's open calls are run by this process, and which are not.
#[derive(Default)]
pub(super) struct OpenCalls {
    running: HashSet<RequestId>,
    /// When each orphan was found, on the monotonic clock in milliseconds.
    orphans: BTreeMap<RequestId, Ms>,
}

impl OpenCalls {
    /// Registers a call that this process runs.
    pub(super) fn start(&mut self, id: RequestId) {
        self.orphans.remove(&id);
        self.running.insert(id);
    }

    /// Registers the end of a call that this process ran.
    pub(super) fn finish(&mut self, id: RequestId) {
        self.running.remove(&id);
    }

    fn adopt(&mut self, id: RequestId, now: Ms) {
        if !self.running.contains(&id) {
            self.orphans.entry(id).or_insert(now);
        }
    }

    /// Takes the orphans of which `is_due` returns true, given when they were found.
    fn take_due(&mut self, is_due: impl Fn(Ms) -> bool) -> Vec<(RequestId, Ms)> {
        let due: Vec<_> =
            self.orphans.iter().filter(|orphan| is_due(*orphan.1)).map(|(id, found)| (*id, *found)).collect();
        due.iter().for_each(|(id, _)| _ = self.orphans.remove(id));
        due
    }
}

impl Invocations {
    /// Restores the keys and open calls of records that this node wrote in an earlier life and that came from a peer.
    pub fn restore_received(&self, keys: &[Arc<str>]) {
        let records = keys.iter().filter_map(|key| self.store.get(key));
        records.for_each(|record| self.restore(&record));
    }

    /// Whether there are orphans, which [`Invocations::end_orphans`] ends.
    pub fn has_orphans(&self) -> bool {
        !lock(&self.open_calls).orphans.is_empty()
    }

    /// Ends the orphans of which `is_due` returns true, given when they were found on the monotonic clock in milliseconds;
    /// returns their number. Each may have run: it is [run again](Invocations::take_resumable) if calls of its class may be
    /// repeated; otherwise it fails and is not sent again. After an error, the rest is ended with the next call.
    pub fn end_orphans(&self, is_due: impl Fn(Ms) -> bool) -> Result<usize, StoreError> {
        let due = lock(&self.open_calls).take_due(is_due);
        let (mut ended, mut first_error) = (0, None);
        for (id, found) in due {
            match self.end_orphan(id) {
                Ok(has_ended) => ended += usize::from(has_ended),
                Err(error) => {
                    lock(&self.open_calls).adopt(id, found);
                    first_error.get_or_insert(error);
                }
            }
        }
        if ended > 0 {
            self.wake();
        }
        first_error.map_or(Ok(ended), Err)
    }

    /// Ends an orphan, unless its final record has come meanwhile; returns whether it was ended here.
    fn end_orphan(&self, id: RequestId) -> Result<bool, StoreError> {
        let Some((record, mut deferred)) = self.get(id) else { return Ok(false) };
        if record.is_final {
            return Ok(false);
        }
        if let Some(rerun) = deferred.rerun.take() {
            lock(&self.open_calls).start(id);
            lock(&self.resumable).push(Resumable { id, deferred, rerun });
            return Ok(true);
        }
        deferred.answer = Some(Answer::Failed(Failure { may_have_run: true, late: false }));
        let draft = self.draft(&deferred, true);
        match self.store.put(&mut Draft { key: &key_of(id), may_exceed_cap: true, ..draft }) {
            Ok(_) => {}
            // Its final record has come since it was read above.
            Err(StoreError::Final) => return Ok(false),
            Err(error) => return Err(error),
        }
        self.restore_key(id, &deferred);
        Ok(true)
    }

    /// Registers a call whose record is still open although this process doesn't run it any more.
    pub(super) fn adopt_if_open(&self, id: RequestId) {
        if self.store.get(&key_of(id)).is_some_and(|record| !record.is_final) {
            lock(&self.open_calls).adopt(id, monotonic_ms());
        }
    }

    /// Restores the key of a record that this node wrote in an earlier life, and registers its call if it is open.
    pub(super) fn restore(&self, record: &Record) {
        let (Some(id), Some(deferred)) = (id_of(record), read(record)) else { return };
        if &*record.node != self.store.node() {
            return;
        }
        if !record.is_final {
            lock(&self.open_calls).adopt(id, monotonic_ms());
        }
        self.restore_key(id, &deferred);
    }

    /// Restores an idempotency key, unless this process has given it to another call. A call that never ran released its
    /// key.
    fn restore_key(&self, id: RequestId, deferred: &Deferred) {
        let Some(key) = &deferred.key else { return };
        let key = (deferred.function.clone(), key.clone());
        let answer = deferred.answer.clone();
        let mut keys = lock(&self.keys);
        if answer.as_ref().is_some_and(|answer| !may_have_run(answer)) {
            if keys.entries.get(&key).is_some_and(|entry| entry.id == id) {
                keys.entries.remove(&key);
            }
            return;
        }
        let size = key_size(&key) + answer.as_ref().map_or(0, answer_size);
        let held = self.store.ledger().reserve_over_cap(Purpose::Keys, size);
        let until = match deferred.repeats_for {
            // Written by an earlier version, which did not store the duration.
            0.0 => deferred.repeats_until.at_start_clock(),
            span => monotonic_ms() + span,
        };
        let restored = KeyEntry { id, body_check: deferred.body_check, until, answer, held };
        match keys.entries.entry(key) {
            Entry::Vacant(vacant) => _ = vacant.insert(restored),
            Entry::Occupied(mut occupied) if occupied.get().id == id => _ = occupied.insert(restored),
            Entry::Occupied(_) => {}
        }
    }
}
