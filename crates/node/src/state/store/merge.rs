//! Replication: merging records of other nodes, and finding the records that another node lacks.
use super::error::{refuse, StoreError};
use super::expiry::ExpiryState;
use super::{Store, MAX_VALUE};
use crate::core::{lock, UnixTime};
use crate::state::keys::is_node_local;
use crate::state::record::{Record, Stamp, Text};
use corkbay_ledger::{CapExceeded, Reservation};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Store {
    /// Merges records that another node sent; returns the number of records that were new, once they are durable.
    /// Records that don't fit in memory are skipped; the other node sends them again. Node-local records are never
    /// accepted.
    pub fn merge(&self, incoming: Vec<Record>) -> Result<usize, StoreError> {
        let mut expiry = lock(&self.writing);
        let now = UnixTime::steady();
        let mut new_records: Vec<(Record, Reservation)> = Vec::new();
        let mut left_out = 0;
        for record in incoming {
            if record.text().len() > MAX_VALUE || !self.supersedes_local(&record, now) {
                continue;
            }
            match self.reserve_merged(&record) {
                Ok(held) => new_records.push((record, held)),
                Err(_) => left_out += 1,
            }
        }
        if left_out > 0 {
            tracing::warn!(left_out, "replication: there is no room for records of a peer");
        }
        let records: Vec<Record> = new_records.iter().map(|(record, _)| record.clone()).collect();
        self.append_in_pages(&records)?;
        Ok(self.apply_all(&mut expiry, new_records))
    }

    /// Merges records that another node sent and then writes a node-local record (the note), such as the position up
    /// to which changes were received. Returns the number of merged records that were new, once all is durable.
    ///
    /// Everything goes into one append if the log's account has room for it. The note is always the last record of the
    /// last append: wherever a crash truncates the log, a note found there follows all records that it covers. No
    /// record is skipped: if one is too large or doesn't fit in memory, nothing is merged and the old note stays.
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
        let mut new_records = Vec::new();
        for record in incoming {
            if record.text().len() > MAX_VALUE {
                return Err(not_kept(&record, StoreError::Large));
            }
            if self.supersedes_local(&record, now) {
                let held = self.reserve_merged(&record);
                let held = held.map_err(|full| not_kept(&record, refuse(record.purpose(), full, None)))?;
                new_records.push((record, held));
            }
        }
        let note = self.next_note(&expiry, note_key, note);
        let note_held = self.ledger.reserve_over_cap(note.purpose(), note.size());
        let records: Vec<Record> =
            new_records.iter().map(|(record, _)| record.clone()).chain([note.clone()]).collect();
        self.append_in_pages(&records)?;
        let count = self.apply_all(&mut expiry, new_records);
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

    /// Whether a record that another node sent would replace the local version.
    pub fn is_news(&self, record: &Record) -> bool {
        self.supersedes_local(record, UnixTime::steady())
    }

    /// Whether a record of another node would replace the local version.
    fn supersedes_local(&self, record: &Record, now: UnixTime) -> bool {
        if is_node_local(&record.key) || record.expired(now) {
            return false;
        }
        let records = lock(&self.records);
        let old = records.get(&record.key);
        old.is_none_or(|old| record.order(&old.record) == Ordering::Greater)
    }

    /// Reserves memory for a record of another node. Updates of known keys are accepted even if the account is full, so
    /// that a worker can always be drained.
    fn reserve_merged(&self, record: &Record) -> Result<Reservation, CapExceeded> {
        let is_known = lock(&self.records).contains_key(&record.key);
        if is_known {
            return Ok(self.ledger.reserve_over_cap(record.purpose(), record.size()));
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

    /// The stamps of all records that are shared with other nodes, by key.
    pub fn digest(&self) -> BTreeMap<Arc<str>, Stamp> {
        let now = UnixTime::steady();
        let records = lock(&self.records);
        let shared = records.values().map(|entry| &entry.record).filter(|record| is_shared(record, now));
        shared.map(|record| (record.key.clone(), record.stamp())).collect()
    }

    /// The records that a node with this digest lacks or has in another version, up to `most` bytes of them. The rest
    /// is returned for the node's next digest.
    pub fn missing_records(&self, digest: &BTreeMap<Arc<str>, Stamp>, most: usize) -> Vec<Record> {
        let now = UnixTime::steady();
        let records = lock(&self.records);
        let shared = records.values().map(|entry| &entry.record).filter(|record| is_shared(record, now));
        let differing = shared.filter(|record| digest.get(&record.key) != Some(&record.stamp()));
        let mut remaining_bytes = most;
        let fits = |record: &&Record| {
            remaining_bytes = remaining_bytes.saturating_sub(record.size());
            remaining_bytes > 0
        };
        differing.take_while(fits).cloned().collect()
    }
}

fn not_kept(record: &Record, cause: StoreError) -> StoreError {
    StoreError::NotKept { key: record.key.clone(), version: record.version, cause: Box::new(cause) }
}

/// Whether a record is sent to other nodes.
fn is_shared(record: &Record, now: UnixTime) -> bool {
    !is_node_local(&record.key) && !record.expired(now)
}
