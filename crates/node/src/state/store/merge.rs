//! Replication: merging records of other nodes, and finding the records that another node lacks.
use super::admission::{LeftOut, Merged, RecordMemory};
use super::error::StoreError;
use super::expiry::ExpiryState;
use super::Store;
use crate::core::{lock, UnixTime};
use crate::state::keys::is_node_local;
use crate::state::log::LogError;
use crate::state::record::{Record, Stamp, Text};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The records of a merge that are new.
#[derive(Default)]
struct Selection {
    kept: Vec<(Record, RecordMemory)>,
    left_out: Vec<LeftOut>,
}

impl Store {
    /// Merges records that another node sent; returns which of them were new and not kept, once the others are durable.
    /// Node-local records are never accepted. If the log can't be written, changes of known workers are applied all the
    /// same, and the error is returned.
    pub fn merge(&self, incoming: Vec<Record>) -> Result<Merged, StoreError> {
        let mut expiry = lock(&self.writing);
        let Selection { kept, left_out } = self.select(incoming);
        let records: Vec<Record> = kept.iter().map(|(record, _)| record.clone()).collect();
        if let Err(error) = self.append_in_pages(&records) {
            self.apply_unlogged(&mut expiry, kept);
            return Err(error);
        }
        Ok(Merged { new_records: self.apply_all(&mut expiry, kept), left_out })
    }

    /// Merges records that another node sent and then writes a node-local record (the note), such as the position up
    /// to which changes were received. `note` returns its value, given the records that are not kept. Returns the result
    /// once all is durable.
    ///
    /// Everything goes into one append if the log's account has room for it. The note is always the last record of the
    /// last append: wherever a crash truncates the log, a note found there follows all records that it covers. If the log
    /// can't be written, the old note stays, and changes of known workers are applied all the same.
    pub fn merge_with_note(
        &self,
        incoming: Vec<Record>,
        note_key: &str,
        note: impl FnOnce(&[LeftOut]) -> serde_json::Result<Text>,
    ) -> Result<Merged, StoreError> {
        if !is_node_local(note_key) {
            return Err(StoreError::NotLocal(note_key.into()));
        }
        let mut expiry = lock(&self.writing);
        let Selection { kept, left_out } = self.select(incoming);
        let note = note(&left_out).map_err(|error| LogError::Io(error.to_string()))?;
        let note = self.next_note(&expiry, note_key, note);
        let note_held = self.ledger.reserve_over_cap(note.purpose(), note.size());
        let records: Vec<Record> =
            kept.iter().map(|(record, _)| record.clone()).chain([note.clone()]).collect();
        if let Err(error) = self.append_in_pages(&records) {
            self.apply_unlogged(&mut expiry, kept);
            return Err(error);
        }
        let new_records = self.apply_all(&mut expiry, kept);
        self.apply(&mut expiry, note, RecordMemory::Whole(note_held));
        Ok(Merged { new_records, left_out })
    }

    /// Selects the records that are new, and reserves memory for them.
    fn select(&self, incoming: Vec<Record>) -> Selection {
        let now = UnixTime::steady();
        let mut selection = Selection::default();
        for record in incoming {
            if !self.supersedes_local(&record, now) {
                continue;
            }
            match self.admit(&record) {
                Ok(memory) => selection.kept.push((record, memory)),
                Err(reason) => {
                    let (key, version) = (record.key, record.version);
                    selection.left_out.push(LeftOut { key, version, reason });
                }
            }
        }
        selection
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

    fn apply_all(&self, expiry: &mut ExpiryState, records: Vec<(Record, RecordMemory)>) -> usize {
        let count = records.len();
        for (record, memory) in records {
            self.apply(expiry, record, memory);
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

/// Whether a record is sent to other nodes.
fn is_shared(record: &Record, now: UnixTime) -> bool {
    !is_node_local(&record.key) && !record.expired(now)
}
