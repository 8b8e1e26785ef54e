//! What the feed must know of records, and how it reads them.
use crate::{BucketHashes, BucketNumber, BucketSet};
use std::cmp::Ordering;
use std::sync::Arc;

/// One version of what stands under a key. A deletion is a record too, and stays.
pub trait FeedRecord: Clone {
    /// Where it stands.
    fn key(&self) -> &Arc<str>;

    /// A hash of the key and of all that tells this version from others, the same on every node
    /// (see [`stable_hash`](crate::stable_hash)).
    fn hash(&self) -> u64;

    /// About how many bytes it takes in a message.
    fn size(&self) -> usize;

    /// Counts the versions of the key.
    fn version(&self) -> u64;

    /// The total order of the versions of one key.
    fn order(&self, other: &Self) -> Ordering;
}

/// The records of a node that take part in the feed.
pub trait Records<R> {
    /// What stands under a key.
    fn get(&self, key: &str) -> Option<R>;

    /// The hashes of all records, as a [`BucketIndex`](crate::BucketIndex) keeps them.
    fn bucket_hashes(&self) -> BucketHashes;

    /// The records of these buckets in the order of their keys, from behind the key `after`: at least one where there is
    /// one, and no more than `most_bytes` of them otherwise. [`Page::fill`] does it from records in order.
    fn page(&self, buckets: &BucketSet, after: Option<&str>, most_bytes: usize) -> Page<R>;
}

/// Some records in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<R> {
    /// The records.
    pub records: Vec<R>,
    /// Whether there are no more behind them.
    pub is_last: bool,
}

impl<R: FeedRecord> Page<R> {
    /// A page of those records that are in the buckets. `records` come in the order of their keys and begin where the page
    /// is to begin. The size of a page is at most `most_bytes` unless its only record is larger.
    pub fn fill<'a>(records: impl Iterator<Item = &'a R>, buckets: &BucketSet, most_bytes: usize) -> Self
    where
        R: 'a,
    {
        let mut page = Page { records: Vec::new(), is_last: true };
        let mut bytes = 0;
        for record in records {
            if !buckets.contains(BucketNumber::of(record.key())) {
                continue;
            }
            bytes += record.size();
            if bytes > most_bytes && !page.records.is_empty() {
                page.is_last = false;
                break;
            }
            page.records.push(record.clone());
        }
        page
    }

    /// The size of its records, in bytes.
    pub fn size(&self) -> usize {
        self.records.iter().map(FeedRecord::size).sum()
    }
}
