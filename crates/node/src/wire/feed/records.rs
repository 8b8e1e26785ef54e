//! Read access to the configuration records of a store for the protocol logic.
use crate::state::keys::WORKER;
use crate::state::record::Record;
use crate::state::store::Store;
use crate::wire::record_index::{RecordIndex, Scope};
use corkbay_feed::{BucketHashes, BucketNumber, BucketSet, Page, Records};
use std::sync::Arc;

/// Number of records that are read from the store at a time.
const READ_BATCH_RECORDS: usize = 64;

/// A store with the index of its configuration records.
pub struct ConfigurationRecords<'a> {
    /// The store.
    pub store: &'a Store,
    /// Its index.
    pub index: &'a RecordIndex,
}

impl Records<Record> for ConfigurationRecords<'_> {
    fn get(&self, key: &str) -> Option<Record> {
        self.store.get(key).filter(|_| Scope::Configuration.contains(key))
    }

    fn bucket_hashes(&self) -> BucketHashes {
        self.index.hashes()
    }

    /// Workers come first: they are few, and without them no function can be served.
    fn bucket(&self, bucket: BucketNumber) -> Vec<(Arc<str>, u64)> {
        let mut entries: Vec<_> = self.index.bucket(bucket).map(|(key, hash)| (key.clone(), hash)).collect();
        entries.sort_by_key(|(key, _)| !key.starts_with(WORKER));
        entries
    }

    fn page(&self, buckets: &BucketSet, after: Option<&str>, max_bytes: usize) -> Page<Record> {
        let mut page = Page { records: Vec::new(), is_last: true };
        let mut last_key = after.map(str::to_string);
        loop {
            let read = self.store.configuration_after(last_key.as_deref(), READ_BATCH_RECORDS);
            let Some(last) = read.last() else { return page };
            last_key = Some(last.key.to_string());
            let previous_count = page.records.len();
            let all = page.records.iter().chain(&read);
            let filled = Page::fill(all, buckets, max_bytes);
            if !filled.is_last {
                return filled;
            }
            debug_assert!(filled.records.len() >= previous_count);
            page = filled;
        }
    }
}

#[cfg(test)]
mod tests;
