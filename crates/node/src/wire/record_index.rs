//! Hashes over the records of a store, updated incrementally with each changed record.
//!
//! Nodes with equal hashes hold the same records; otherwise the hashes show which buckets differ.
use crate::clock::UnixTime;
use crate::state::keys::{is_node_local, CONFIGURATION};
use crate::state::record::Record;
use crate::state::store::Store;
use corkbay_feed::{stable_hash, BucketHashes, BucketIndex, BucketNumber, FeedRecord, BUCKETS};
use corkbay_ledger::{Ledger, Purpose, Reservation};
use may::sync::mpsc;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Memory that an entry is charged for: the entry and its key in a map, doubled for the free space of the map's
/// nodes.
const ENTRY_BYTES: usize = 2 * (std::mem::size_of::<Entry>() + std::mem::size_of::<Arc<str>>());
/// Approximate size of the field names and numbers of a record in a message.
const MESSAGE_OVERHEAD_BYTES: usize = 100;
/// Number of records that are read at a time while the index is built.
const RECORDS_PER_PAGE: usize = 64;

impl FeedRecord for Record {
    fn key(&self) -> &Arc<str> {
        &self.key
    }

    fn hash(&self) -> u64 {
        stable_hash(&[
            self.key.as_bytes(),
            &[u8::from(self.is_final)],
            &self.version.to_be_bytes(),
            self.node.as_bytes(),
            &self.expires.as_ms().to_be_bytes(),
            self.text().as_bytes(),
        ])
    }

    fn size(&self) -> usize {
        MESSAGE_OVERHEAD_BYTES + self.key.len() + self.node.len() + self.text().len()
    }

    fn version(&self) -> u64 {
        self.version
    }

    fn order(&self, other: &Self) -> Ordering {
        Record::order(self, other)
    }
}

/// The records that an index covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Functions and workers.
    Configuration,
    /// All records that peers share: configuration and deferred calls.
    Shared,
}

impl Scope {
    /// Whether the scope covers records with this key.
    pub fn contains(self, key: &str) -> bool {
        match self {
            Scope::Configuration => CONFIGURATION.iter().any(|prefix| key.starts_with(prefix)),
            Scope::Shared => !is_node_local(key),
        }
    }
}

/// The data that the index keeps of a record.
#[derive(Clone, Debug)]
struct Entry {
    key: Arc<str>,
    hash: u64,
    version: u64,
    expires: UnixTime,
    purpose: Purpose,
}

impl Entry {
    fn of(record: &Record) -> Self {
        let Record { version, expires, .. } = *record;
        let purpose = record.purpose();
        Entry { key: record.key.clone(), hash: FeedRecord::hash(record), version, expires, purpose }
    }

    /// The sort key among entries that expire: time in whole milliseconds, rounded up, and key. `None` for an entry
    /// that does not expire.
    fn expiry(&self) -> Option<(u64, Arc<str>)> {
        (!self.expires.is_none()).then(|| (self.expires.as_ms().ceil() as u64, self.key.clone()))
    }
}

impl FeedRecord for Entry {
    fn key(&self) -> &Arc<str> {
        &self.key
    }

    fn hash(&self) -> u64 {
        self.hash
    }

    fn size(&self) -> usize {
        ENTRY_BYTES
    }

    fn version(&self) -> u64 {
        self.version
    }

    fn order(&self, other: &Self) -> Ordering {
        (self.version, self.hash).cmp(&(other.version, other.hash))
    }
}

/// Hashes of a store's records, by bucket and by key.
pub struct RecordIndex {
    scope: Scope,
    hashes: BucketIndex,
    buckets: Vec<BTreeMap<Arc<str>, Entry>>,
    expiries: BTreeSet<(u64, Arc<str>)>,
    held: HeldByPurpose,
}

impl RecordIndex {
    /// Creates an empty index. Its memory is charged to the accounts of the records that it covers.
    pub fn new(scope: Scope, ledger: Arc<Ledger>) -> Self {
        RecordIndex {
            scope,
            hashes: BucketIndex::new(),
            buckets: vec![BTreeMap::new(); BUCKETS],
            expiries: BTreeSet::new(),
            held: HeldByPurpose { ledger, reservations: BTreeMap::new() },
        }
    }

    /// Creates the index of a store, and returns the changes that have to be [applied](Self::note) from then on.
    pub fn of_store(scope: Scope, store: &Store) -> (Self, mpsc::Receiver<Record>) {
        let (sender, changes) = mpsc::channel();
        // Subscribed before the scan, so that no change is missed; a record that changes during the scan may be
        // applied twice.
        store.on_change(sender);
        store.add_index(ENTRY_BYTES);
        let mut index = RecordIndex::new(scope, store.ledger().clone());
        match scope {
            Scope::Configuration => {
                let records = store.configuration(RECORDS_PER_PAGE).flatten();
                records.for_each(|record| index.note(&record));
            }
            Scope::Shared => {
                let records = store.digest().into_keys().filter_map(|key| store.get(&key));
                records.for_each(|record| index.note(&record));
            }
        }
        (index, changes)
    }

    /// Applies a new version of a record. Ignores records outside the scope.
    pub fn note(&mut self, record: &Record) {
        if !self.scope.contains(&record.key) {
            return;
        }
        self.remove(&record.key);
        let entry = Entry::of(record);
        self.hashes.insert(&entry);
        self.held.add(entry.purpose);
        self.expiries.extend(entry.expiry());
        self.bucket_mut(&record.key).insert(entry.key.clone(), entry);
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: UnixTime) {
        while let Some((at, _)) = self.expiries.first() {
            if *at as f64 > now.as_ms() {
                return;
            }
            let Some((_, key)) = self.expiries.pop_first() else { return };
            self.remove(&key);
        }
    }

    /// The hashes of all buckets.
    pub fn hashes(&self) -> BucketHashes {
        self.hashes.hashes()
    }

    /// A single hash over all buckets.
    pub fn root(&self) -> u64 {
        root_hash_of(&self.hashes())
    }

    /// The hashes of the records in a bucket, by key.
    pub fn bucket(&self, bucket: BucketNumber) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.buckets[usize::from(bucket.0)].iter().map(|(key, entry)| (key, entry.hash))
    }

    fn remove(&mut self, key: &Arc<str>) {
        let Some(old) = self.bucket_mut(key).remove(key) else { return };
        self.hashes.remove(&old);
        self.held.remove(old.purpose);
        if let Some(expiry) = old.expiry() {
            self.expiries.remove(&expiry);
        }
    }

    fn bucket_mut(&mut self, key: &str) -> &mut BTreeMap<Arc<str>, Entry> {
        &mut self.buckets[usize::from(BucketNumber::of(key).0)]
    }
}

/// A single hash over the hashes of all buckets.
pub fn root_hash_of(hashes: &BucketHashes) -> u64 {
    stable_hash(&[String::from(hashes.clone()).as_bytes()])
}

/// Reservations for the memory of entries, in the accounts of their records.
struct HeldByPurpose {
    ledger: Arc<Ledger>,
    reservations: BTreeMap<Purpose, Reservation>,
}

impl HeldByPurpose {
    fn add(&mut self, purpose: Purpose) {
        let ledger = &self.ledger;
        let held =
            self.reservations.entry(purpose).or_insert_with(|| ledger.account(purpose).empty_reservation());
        held.reserve_over_cap(held.bytes() + ENTRY_BYTES);
    }

    fn remove(&mut self, purpose: Purpose) {
        if let Some(held) = self.reservations.get_mut(&purpose) {
            held.shrink_to(held.bytes().saturating_sub(ENTRY_BYTES));
        }
    }
}

#[cfg(test)]
mod tests;
