//! Records of other nodes: taking them in, and telling what another node lacks.
use super::error::{refuse, StoreError};
use super::expiry::ExpiryState;
use super::{Store, MAX_VALUE};
use crate::core::{lock, UnixTime};
use crate::memory::keys::is_node_local;
use crate::memory::record::{Record, Stamp, Text};
use corkbay_ledger::{Full, Reservation};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Store {
    /// Takes in what another node sent; returns what was news, once it lasts. What there is no room for is
    /// left out, and comes again. Node-local records are never taken in.
    pub fn merge(&self, incoming: Vec<Record>) -> Result<usize, StoreError> {
        let mut expiry = lock(&self.writing);
        let now = UnixTime::steady();
        let mut news: Vec<(Record, Reservation)> = Vec::new();
        let mut left_out = 0;
        for record in incoming {
            if record.text().len() > MAX_VALUE || !self.is_news(&record, now) {
                continue;
            }
            match self.reserve_merged(&record) {
                Ok(held) => news.push((record, held)),
                Err(_) => left_out += 1,
            }
        }
        if left_out > 0 {
            tracing::warn!(left_out, "replication: there is no room for records of a peer");
        }
        let records: Vec<Record> = news.iter().map(|(record, _)| record.clone()).collect();
        self.append_in_pages(&records)?;
        Ok(self.apply_all(&mut expiry, news))
    }

    /// Takes in what another node sent, and after it a note of this node under a node-local key. Returns what was
    /// news, once all of it lasts.
    ///
    /// All of it is one append where the log's account has room for it, and the note is always the last record of the
    /// last one: wherever a crash tears the log, a note that is found there stands behind all records that it tells
    /// of. Nothing is left out: where one record has no room or is too large, nothing is taken in and the older note
    /// stays.
    pub fn merge_with_note(
        &self,
        incoming: Vec<Record>,
        note_key: &str,
        note: Text,
    ) -> Result<usize, StoreError> {
        if !is_node_local(note_key) {
            return Err(StoreError::NotLocal(note_key.into()));
        }
        let mut expiry = lock(&self.writing);
        let now = UnixTime::steady();
        let mut news = Vec::new();
        for record in incoming {
            if record.text().len() > MAX_VALUE {
                return Err(StoreError::Large);
            }
            if self.is_news(&record, now) {
                let held = self.reserve_merged(&record);
                let held = held.map_err(|full| refuse(record.purpose(), full, None))?;
                news.push((record, held));
            }
        }
        let note = self.next_note(&expiry, note_key, note);
        let note_held = self.ledger.owe(note.purpose(), note.size());
        let records: Vec<Record> =
            news.iter().map(|(record, _)| record.clone()).chain([note.clone()]).collect();
        self.append_in_pages(&records)?;
        let count = self.apply_all(&mut expiry, news);
        self.apply(&mut expiry, note, note_held);
        Ok(count)
    }

    fn next_note(&self, expiry: &ExpiryState, key: &str, value: Text) -> Record {
        let old = self.stored(key);
        let version = old.as_ref().map_or(expiry.dropped_version, |old| old.version) + 1;
        Record {
            key: old.map_or_else(|| key.into(), |old| old.key),
            is_final: false,
            version,
            node: self.node.clone(),
            expires: UnixTime::NONE,
            value: Some(value),
        }
    }

    /// Whether a record of another node would stand here.
    fn is_news(&self, record: &Record, now: UnixTime) -> bool {
        if is_node_local(&record.key) || record.expired(now) {
            return false;
        }
        let records = lock(&self.records);
        let old = records.get(&record.key);
        old.is_none_or(|old| record.order(&old.record) == Ordering::Greater)
    }

    /// Reserves for a record of another node. What is known already may change, above all where a worker drains.
    fn reserve_merged(&self, record: &Record) -> Result<Reservation, Full> {
        let is_known = lock(&self.records).contains_key(&record.key);
        if is_known {
            return Ok(self.ledger.owe(record.purpose(), record.size()));
        }
        self.ledger.reserve(record.purpose(), None, record.size())
    }

    fn apply_all(&self, expiry: &mut ExpiryState, records: Vec<(Record, Reservation)>) -> usize {
        let count = records.len();
        for (record, held) in records {
            self.apply(expiry, record, held);
        }
        count
    }

    /// The stamps of all records but node-local ones.
    pub fn digest(&self) -> BTreeMap<Arc<str>, Stamp> {
        let now = UnixTime::steady();
        let records = lock(&self.records);
        let shared = records.values().map(|entry| &entry.record).filter(|record| is_shared(record, now));
        shared.map(|record| (record.key.clone(), record.stamp())).collect()
    }

    /// The records that a node with that digest lacks or has in another version, up to so many bytes of
    /// them: the rest comes with its next digest.
    pub fn lacking(&self, digest: &BTreeMap<Arc<str>, Stamp>, most: usize) -> Vec<Record> {
        let now = UnixTime::steady();
        let records = lock(&self.records);
        let shared = records.values().map(|entry| &entry.record).filter(|record| is_shared(record, now));
        let differing = shared.filter(|record| digest.get(&record.key) != Some(&record.stamp()));
        let mut left = most;
        let fits = |record: &&Record| {
            left = left.saturating_sub(record.size());
            left > 0
        };
        differing.take_while(fits).cloned().collect()
    }
}

/// Whether other nodes are told of a record.
fn is_shared(record: &Record, now: UnixTime) -> bool {
    !is_node_local(&record.key) && !record.expired(now)
}
