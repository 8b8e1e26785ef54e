//! Records and stores for tests.
#![allow(dead_code)]
pub mod checker;
pub mod cluster;

use corkbay_feed::{
    stable_hash, BucketHashes, BucketIndex, BucketNumber, BucketSet, FeedRecord, Page, Records,
};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TestRecord {
    pub key: Arc<str>,
    pub version: u64,
    pub writer: u64,
    /// `None` for a deletion.
    pub value: Option<Arc<str>>,
}

impl TestRecord {
    pub fn new(key: &str, version: u64, writer: u64, value: Option<&str>) -> Self {
        TestRecord { key: key.into(), version, writer, value: value.map(Arc::from) }
    }
}

impl FeedRecord for TestRecord {
    fn key(&self) -> &Arc<str> {
        &self.key
    }

    fn hash(&self) -> u64 {
        let value = self.value.as_deref().unwrap_or("-");
        let (version, writer) = (self.version.to_be_bytes(), self.writer.to_be_bytes());
        stable_hash(&[self.key.as_bytes(), &version, &writer, value.as_bytes()])
    }

    fn size(&self) -> usize {
        48 + self.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }

    fn version(&self) -> u64 {
        self.version
    }

    fn order(&self, other: &Self) -> Ordering {
        (self.version, self.writer, &self.value).cmp(&(other.version, other.writer, &other.value))
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct TestStore {
    pub records: BTreeMap<Arc<str>, TestRecord>,
    index: BucketIndex,
}

impl TestStore {
    pub fn put(&mut self, record: TestRecord) {
        match self.records.get(&record.key) {
            Some(old) => self.index.replace(old, &record),
            None => self.index.insert(&record),
        }
        self.records.insert(record.key.clone(), record);
    }

    /// Stores the record if it supersedes the held one, and returns whether it did.
    pub fn merge(&mut self, record: TestRecord) -> bool {
        let is_newer = self.records.get(&record.key).is_none_or(|held| record.order(held).is_gt());
        if is_newer {
            self.put(record);
        }
        is_newer
    }

    /// The total size of the records, in bytes.
    pub fn bytes(&self) -> usize {
        self.records.values().map(FeedRecord::size).sum()
    }

    /// Stores the records `first..first + count`, each with a value of `bytes` bytes.
    pub fn fill(&mut self, first: usize, count: usize, version: u64, bytes: usize) {
        for number in first..first + count {
            self.put(TestRecord::new(&format!("key/{number}"), version, 0, Some(&"x".repeat(bytes))));
        }
    }
}

impl Records<TestRecord> for TestStore {
    fn get(&self, key: &str) -> Option<TestRecord> {
        self.records.get(key).cloned()
    }

    fn bucket_hashes(&self) -> BucketHashes {
        self.index.hashes()
    }

    fn bucket(&self, bucket: BucketNumber) -> Vec<(Arc<str>, u64)> {
        let in_bucket = self.records.values().filter(|record| BucketNumber::of(&record.key) == bucket);
        in_bucket.map(|record| (record.key.clone(), record.hash())).collect()
    }

    fn page(&self, buckets: &BucketSet, after: Option<&str>, max_bytes: usize) -> Page<TestRecord> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let records = self.records.range::<str, _>((from, Bound::Unbounded));
        Page::fill(records.map(|entry| entry.1), buckets, max_bytes)
    }
}
