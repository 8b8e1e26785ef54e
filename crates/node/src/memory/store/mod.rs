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
use crate::clock::UnixTime;
use crate::core::{lock, monotonic_ms};
use corkbay::Ms;
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
    /// Until when it is kept here, on the monotonic clock; infinity for ever.
    keep_until: Ms,
    _held: Reservation,
}

impl Entry {
    fn is_kept(&self, now: Ms) -> bool {
        self.keep_until > now
    }
}

/// For how long records that expire are kept that a process before this one wrote, in milliseconds. The wall clock may
/// have been stepped since then, so their dates are believed within these limits.
#[derive(Clone, Copy, Debug)]
pub struct KeptAfterRestart {
    /// From the start on, at least so long.
    pub least: Ms,
    /// At most so long.
    pub most: Ms,
}

impl KeptAfterRestart {
    /// Their dates are believed as they stand.
    pub const AS_DATED: KeptAfterRestart = KeptAfterRestart { least: 0.0, most: Ms::INFINITY };

    fn keep_until(self, expires: UnixTime, now: Ms) -> Ms {
        now + (expires.at_start_clock() - now).clamp(self.least, self.most)
    }
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
    pub fn open(
        node: &str,
        folder: &Path,
        ledger: Arc<Ledger>,
        kept: KeptAfterRestart,
    ) -> Result<Self, LogError> {
        let mut store = Store::in_memory(node, ledger);
        let queued = store.ledger.account(Purpose::Log).clone();
        let now = monotonic_ms();
        let log = Log::open(folder, queued, |record| {
            if is_foreign_seed(&record.key, node) {
                return;
            }
            let held = store.ledger.owe(record.purpose(), record.size());
            let keep_until = match record.expires {
                never if never.is_none() => Ms::INFINITY,
                expires => kept.keep_until(expires, now),
            };
            store.apply_until(&mut lock(&store.writing), record, held, keep_until);
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
        let now = monotonic_ms();
        let records = lock(&self.records);
        records.get(key).filter(|entry| entry.is_kept(now)).map(|entry| entry.record.clone())
    }

    /// The records whose keys begin so, tombstones left out. They share what they hold with the store.
    pub fn under(&self, prefix: &str) -> Vec<Record> {
        let now = monotonic_ms();
        let records = lock(&self.records);
        let range = records.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let with_prefix = range.take_while(|(key, _)| key.starts_with(prefix));
        let live = with_prefix.filter(|(_, entry)| entry.is_kept(now)).map(|(_, entry)| &entry.record);
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
    fn apply(&self, expiry: &mut ExpiryState, record: Record, held: Reservation) {
        let expires = record.expires;
        let keep_until = if expires.is_none() { Ms::INFINITY } else { expires.at_start_clock() };
        self.apply_until(expiry, record, held, keep_until);
    }

    fn apply_until(&self, expiry: &mut ExpiryState, mut record: Record, held: Reservation, keep_until: Ms) {
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
            let entry = Entry { record: record.clone(), keep_until, _held: held };
            records.insert(record.key.clone(), entry);
            expiry.note_expiry(keep_until);
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
