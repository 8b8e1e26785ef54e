//! The replicated store: versioned records under keys, merged by taking the greater of two.
//!
//! The greater of two under a total order is the same in whatever order and however often records arrive, so
//! replicas that have seen the same records agree. Each record is accounted for what it is kept for, before
//! it is kept.
//!
//! | module | job |
//! | --- | --- |
//! | `batch` | writes of this node |
//! | `merge` | records of other nodes, digests |
//! | `configuration` | functions and workers, page by page |
//! | `listeners` | who is told of records |
//! | `expiry` | expired records, tombstones, compaction of the log |
mod batch;
mod configuration;
mod draft;
mod error;
mod expiry;
mod listeners;
mod merge;
#[cfg(test)]
mod tests;

pub use batch::MAX_BATCH;
pub use configuration::ConfigurationPages;
pub use draft::{Draft, Writers};
pub use error::{refuse, StoreError};

use super::keys::is_foreign_seed;
use super::log::{Log, LogError};
use super::record::Record;
use crate::core::{lock, now_ms};
use corkbay_ledger::{Ledger, Purpose, Reservation};
use expiry::ExpiryState;
use listeners::Listeners;
use may::sync::Mutex;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::path::Path;
use std::sync::Arc;

/// Largest value, as text.
pub const MAX_VALUE: usize = 256 << 10;
/// Records that are written to a new log at a time.
const PAGE: usize = 64;

/// A record with what is reserved for it.
struct Entry {
    record: Record,
    _held: Reservation,
}

/// The records of one node.
pub struct Store {
    node: Arc<str>,
    ledger: Arc<Ledger>,
    records: Mutex<BTreeMap<Arc<str>, Entry>>,
    /// Held from the decision to write until the write lasts and shows: nobody sees what a crash could
    /// take back, and no new log misses a write.
    writing: Mutex<ExpiryState>,
    listeners: Mutex<Listeners>,
    log: Option<Log>,
}

impl Store {
    /// A store in memory only.
    pub fn in_memory(node: &str, ledger: Arc<Ledger>) -> Self {
        Store {
            node: node.into(),
            ledger,
            records: Mutex::default(),
            writing: Mutex::default(),
            listeners: Mutex::default(),
            log: None,
        }
    }

    /// A store that lasts in the log of a folder. What the log holds is owed already, whatever fits. What other
    /// nodes' deploy files said is left out: earlier versions handed such records on.
    pub fn open(node: &str, folder: &Path, ledger: Arc<Ledger>) -> Result<Self, LogError> {
        let mut store = Store::in_memory(node, ledger);
        let queued = store.ledger.account(Purpose::Log).clone();
        let log = Log::open(folder, queued, |record| {
            if is_foreign_seed(&record.key, node) {
                return;
            }
            let held = store.ledger.owe(record.purpose(), record.size());
            lock(&store.writing).note_expiry(record.expires);
            store.apply(record, held);
        })?;
        store.log = Some(log);
        Ok(store)
    }

    /// The name of this node.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// The accounts that records count in.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }

    /// What stands under a key.
    pub fn get(&self, key: &str) -> Option<Record> {
        let record = self.stored(key)?;
        (!record.expired(now_ms())).then_some(record)
    }

    /// The records whose keys begin so, tombstones left out. They share what they hold with the store.
    pub fn under(&self, prefix: &str) -> Vec<Record> {
        let now = now_ms();
        let records = lock(&self.records);
        let range = records.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let with_prefix = range.take_while(|(key, _)| key.starts_with(prefix));
        let live = with_prefix.map(|(_, entry)| &entry.record).filter(|record| !record.expired(now));
        live.filter(|record| record.value.is_some()).cloned().collect()
    }

    /// What is held under a key, expired or not.
    fn stored(&self, key: &str) -> Option<Record> {
        lock(&self.records).get(key).map(|entry| entry.record.clone())
    }

    /// Makes records last, in as few appends as the log's account has room for.
    fn append_in_pages(&self, records: &[Record]) -> Result<(), StoreError> {
        let most_bytes = self.ledger.account(Purpose::Log).cap() / 2;
        let mut rest = records;
        while !rest.is_empty() {
            let (page, behind) = rest.split_at(page_length(rest, most_bytes));
            self.append(page)?;
            rest = behind;
        }
        Ok(())
    }

    /// Makes records last in one append.
    fn append(&self, records: &[Record]) -> Result<(), StoreError> {
        let Some(log) = &self.log else { return Ok(()) };
        if records.is_empty() {
            return Ok(());
        }
        Ok(log.append(records)?)
    }

    /// Has a record stand if it is greater than what does, and tells of it. Only whoever holds `writing` calls this.
    fn apply(&self, mut record: Record, held: Reservation) {
        if record.node == self.node {
            // Records from the log bring a copy of the name each.
            record.node = self.node.clone();
        }
        {
            let mut records = lock(&self.records);
            if let Some(old) = records.get(&record.key) {
                if record.order(&old.record) != Ordering::Greater {
                    return;
                }
                record.key = old.record.key.clone();
            }
            records.insert(record.key.clone(), Entry { record: record.clone(), _held: held });
        }
        lock(&self.listeners).tell_change(&record);
    }
}

/// How many of these records make up a page of so many bytes: one at least, [`MAX_BATCH`] at most.
fn page_length(records: &[Record], most_bytes: usize) -> usize {
    let mut bytes = 0;
    let fitting = records.iter().take(MAX_BATCH).take_while(|record| {
        bytes += record.size();
        bytes <= most_bytes
    });
    fitting.count().max(1)
}
