//! The interface through which the feed reads records.
use crate::{BucketHashes, BucketNumber, BucketSet};
use std::cmp::Ordering;
use std::sync::Arc;

/// One version of the record of a key. A deletion is a record too, and is kept.
pub trait FeedRecord: Clone {
    /// The key of the record.
    fn key(&self) -> &Arc<str>;

    /// A hash of the key and of everything that distinguishes this version from others, the same on every node
    /// (see [`stable_hash`](crate::stable_hash)).
    fn hash(&self) -> u64;

    /// Approximate size in a message, in bytes.
    fn size(&self) -> usize;

    /// The version number, counted per key.
    fn version(&self) -> u64;

    /// The total order of the versions of one key.
    fn order(&self, other: &Self) -> Ordering;
}

/// Read access to the records of a node that take part in the feed.
pub trait Records<R> {
    /// The current record of a key.
    fn get(&self, key: &str) -> Option<R>;

    /// The hashes of all records, as a [`BucketIndex`](crate::BucketIndex) keeps them.
    fn bucket_hashes(&self) -> BucketHashes;

    /// The keys and hashes of the records in a bucket, those first that are to be sent first.
    fn bucket(&self, bucket: BucketNumber) -> Vec<(Arc<str>, u64)>;

    /// A page of the records in `buckets` whose keys come after the key `after`, in a fixed order of the keys: at least one
    /// record if there is one, and otherwise at most `max_bytes` of them. [`Page::fill`] builds such a page from records in
    /// this order.
    fn page(&self, buckets: &BucketSet, after: Option<&str>, max_bytes: usize) -> Page<R>;
}

/// A run of records in the order of their keys that [`Records::page`] uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<R> {
    /// The records in that order.
    pub records: Vec<R>,
    /// Whether no records follow this page.
    pub is_last: bool,
}

impl<R: FeedRecord> Page<R> {
    /// Builds a page from those `records` that are in `buckets`. `records` must be in that order and start where the
    /// page starts. The page holds at most `max_bytes`, unless its only record is larger.
    pub fn fill<'a>(records: impl Iterator<Item = &'a R>, buckets: &BucketSet, max_bytes: usize) -> Self
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
            if bytes > max_bytes && !page.records.is_empty() {
                page.is_last = false;
                break;
            }
            page.records.push(record.clone());
        }
        page
    }

    /// The total size of the records, in bytes.
    pub fn size(&self) -> usize {
        self.records.iter().map(FeedRecord::size).sum()
    }
}
