//! The replicated store: versioned records by key; two versions are merged by taking the greater one.
//!
//! The maximum under a total order does not depend on the order in which records arrive or on duplicates, so replicas
//! that have received the same records agree. The memory of each record is reserved, under the purpose it is kept for,
//! before the record is stored.
//!
//! | module | contents |
//! | --- | --- |
//! | `admission` | which records of other nodes are kept when memory is short |
//! | `batch` | local writes |
//! | `merge` | replication: records of other nodes, digests |
//! | `configuration` | paged reads of functions and workers |
//! | `listeners` | notification of writes and changes |
//! | `unlogged` | changes of workers that hold although the log can't be written |
//! | `expiry` | expired records, tombstones, log compaction |
mod admission;
mod batch;
mod configuration;
mod draft;
mod error;
mod expiry;
mod listeners;
mod merge;
#[cfg(test)]
mod tests;
mod unlogged;

pub use admission::{LeftOut, LeftOutReason, Merged};
pub use batch::MAX_BATCH;
pub use configuration::ConfigurationPages;
pub use draft::{Draft, Writers};
pub use error::{refuse, StoreError};

use super::keys::is_foreign_seed;
use super::log::{Log, LogError};
use super::record::Record;
use crate::clock::UnixTime;
use crate::core::{lock, monotonic_ms};
use admission::RecordMemory;
use corkbay::Ms;
use corkbay_ledger::{Ledger, Purpose, Reservation};
use expiry::ExpiryState;
use listeners::Listeners;
use may::sync::Mutex;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// Maximum length of a value as JSON text, in bytes.
pub const MAX_VALUE: usize = 256 << 10;
/// Number of records that are written at a time when the log is compacted.
const COMPACTION_PAGE_RECORDS: usize = 64;

/// A record with the memory reserved for it.
struct Entry {
    record: Record,
    /// When the record expires, on the monotonic clock in milliseconds; infinity if never.
    keep_until: Ms,
    held: Reservation,
}

impl Entry {
    fn is_kept(&self, now: Ms) -> bool {
        self.keep_until > now
    }
}

/// Limits on how long expiring records from the log are kept after a restart, in milliseconds. The wall clock may have
/// been stepped since they were written, so their expiry dates are trusted only within these limits.
#[derive(Clone, Copy, Debug)]
pub struct RestartRetention {
    /// Minimum time after the restart.
    pub least: Ms,
    /// Maximum time after the restart.
    pub most: Ms,
}

impl RestartRetention {
    /// No limits: expiry dates are taken as written.
    pub const AS_DATED: RestartRetention = RestartRetention { least: 0.0, most: Ms::INFINITY };

    fn keep_until(self, expires: UnixTime, now: Ms) -> Ms {
        now + (expires.at_start_clock() - now).clamp(self.least, self.most)
    }
}

/// The records of one node.
pub struct Store {
    node: Arc<str>,
    ledger: Arc<Ledger>,
    records: Mutex<BTreeMap<Arc<str>, Entry>>,
    /// Write lock, held from the decision to write until the write is durable and visible: readers never see a record
    /// that a crash could undo, and log compaction misses no write.
    writing: Mutex<ExpiryState>,
    listeners: Mutex<Listeners>,
    /// What the indexes of its records take for each record, in bytes.
    index_entry_bytes: AtomicUsize,
    log: Option<Log>,
    /// Records that are in force although the log could not be written, by key; see [`unlogged`]. Accessed only under the
    /// write lock.
    unlogged: Mutex<BTreeMap<Arc<str>, Record>>,
    /// Whether there were records in the log when it was opened, and nothing behind them.
    is_restored: bool,
}

impl Store {
    /// A store without a log, in memory only.
    pub fn in_memory(node: &str, ledger: Arc<Ledger>) -> Self {
        Store {
            node: node.into(),
            ledger,
            records: Mutex::default(),
            writing: Mutex::default(),
            listeners: Mutex::default(),
            index_entry_bytes: AtomicUsize::new(0),
            log: None,
            unlogged: Mutex::default(),
            is_restored: false,
        }
    }

    /// A durable store with its log in `folder`. Records from the log are kept even if they exceed their account's cap,
    /// as they were accepted before. Seed records of other nodes are skipped: earlier versions replicated them.
    pub fn open(
        node: &str,
        folder: &Path,
        ledger: Arc<Ledger>,
        kept: RestartRetention,
    ) -> Result<Self, LogError> {
        let mut store = Store::in_memory(node, ledger);
        let queued = store.ledger.account(Purpose::Log).clone();
        let now = monotonic_ms();
        let log = Log::open(folder, queued, |record| {
            if is_foreign_seed(&record.key, node) {
                return;
            }
            let held = store.ledger.reserve_over_cap(record.purpose(), record.size());
            let keep_until = match record.expires {
                never if never.is_none() => Ms::INFINITY,
                expires => kept.keep_until(expires, now),
            };
            store.apply_until(&mut lock(&store.writing), record, RecordMemory::Whole(held), keep_until);
        })?;
        store.is_restored = !lock(&store.records).is_empty() && !log.was_truncated();
        store.log = Some(log);
        Ok(store)
    }

    /// Whether records that this node wrote in an earlier life may be missing: it started without a log, with an empty one
    /// or with one that was damaged. Its peers may send them later.
    pub fn may_lack_own_records(&self) -> bool {
        !self.is_restored
    }

    /// Announces an index that reserves so many bytes for each record once the record is stored. Records of other nodes
    /// are kept only if there is room for these as well.
    pub fn add_index(&self, entry_bytes: usize) {
        self.index_entry_bytes.fetch_add(entry_bytes, Relaxed);
    }

    /// The name of this node.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// The memory accounts that records are charged to.
    pub fn ledger(&self) -> &Arc<Ledger> {
        &self.ledger
    }

    /// The record of a key, unless it has expired. May be a tombstone.
    pub fn get(&self, key: &str) -> Option<Record> {
        let now = monotonic_ms();
        let records = lock(&self.records);
        records.get(key).filter(|entry| entry.is_kept(now)).map(|entry| entry.record.clone())
    }

    /// The live records whose keys start with a prefix, without tombstones. They share their contents with the store.
    pub fn records_with_prefix(&self, prefix: &str) -> Vec<Record> {
        let now = monotonic_ms();
        let records = lock(&self.records);
        let range = records.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let with_prefix = range.take_while(|(key, _)| key.starts_with(prefix));
        let live = with_prefix.filter(|(_, entry)| entry.is_kept(now)).map(|(_, entry)| &entry.record);
        live.filter(|record| record.value.is_some()).cloned().collect()
    }

    /// The stored record of a key, expired or not.
    fn stored(&self, key: &str) -> Option<Record> {
        lock(&self.records).get(key).map(|entry| entry.record.clone())
    }

    /// Appends records to the log durably, in as few appends as the log's account has room for.
    fn append_in_pages(&self, records: &[Record]) -> Result<(), StoreError> {
        self.pages(records).try_for_each(|page| self.append(page))
    }

    /// Splits records into pages of which the log's account has room for one at a time.
    fn pages<'a>(&self, records: &'a [Record]) -> impl Iterator<Item = &'a [Record]> {
        let most_bytes = self.ledger.account(Purpose::Log).cap() / 2;
        let mut rest = records;
        std::iter::from_fn(move || {
            let (page, remaining) = rest.split_at(page_length(rest, most_bytes));
            rest = remaining;
            (!page.is_empty()).then_some(page)
        })
    }

    /// Appends records to the log durably in one append.
    fn append(&self, records: &[Record]) -> Result<(), StoreError> {
        let Some(log) = &self.log else { return Ok(()) };
        if records.is_empty() {
            return Ok(());
        }
        self.append_unlogged(log)?;
        Ok(log.append(records)?)
    }

    /// Stores a record if it is greater than the current version, and notifies listeners. The caller must hold
    /// `writing`.
    fn apply(&self, expiry: &mut ExpiryState, record: Record, memory: RecordMemory) {
        let expires = record.expires;
        let keep_until = if expires.is_none() { Ms::INFINITY } else { expires.at_start_clock() };
        self.apply_until(expiry, record, memory, keep_until);
    }

    fn apply_until(
        &self,
        expiry: &mut ExpiryState,
        mut record: Record,
        memory: RecordMemory,
        keep_until: Ms,
    ) {
        if record.node == self.node {
            // Each record from the log has its own copy of the node name; share one.
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
            let held = match memory {
                RecordMemory::Whole(mut held) => {
                    held.shrink_to(record.size());
                    held
                }
                RecordMemory::Growth(growth) => {
                    let mut held = match records.remove(&record.key) {
                        Some(old) => old.held,
                        None => growth.account().empty_reservation(),
                    };
                    drop(growth);
                    held.reserve_over_cap(record.size());
                    held
                }
            };
            records.insert(record.key.clone(), Entry { record: record.clone(), keep_until, held });
            expiry.note_expiry(keep_until);
        }
        lock(&self.listeners).notify_change(&record);
    }
}

/// Number of records at the front that fit in `most_bytes`: at least one if there is one, at most [`MAX_BATCH`].
fn page_length(records: &[Record], most_bytes: usize) -> usize {
    let mut bytes = 0;
    let fitting = records.iter().take(MAX_BATCH).take_while(|record| {
        bytes += record.size();
        bytes <= most_bytes
    });
    fitting.count().max(1).min(records.len())
}
