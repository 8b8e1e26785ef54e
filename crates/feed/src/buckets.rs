//! Hashes over the records of a node, which let two nodes find the buckets in which they differ.
use crate::{stable_hash, words, FeedRecord};
use serde::{Deserialize, Serialize};

/// The number of buckets into which keys are partitioned.
pub const BUCKETS: usize = 256;

const WORD_BITS: usize = u64::BITS as usize;
/// Multiplier of the record count in a bucket's hash. It is odd, so that different counts give different products.
const COUNT_WEIGHT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The number of one of the [`BUCKETS`] buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketNumber(pub u8);

impl BucketNumber {
    /// The bucket of a key, the same on every node.
    pub fn of(key: &str) -> Self {
        let [first, ..] = stable_hash(&[key.as_bytes()]).to_be_bytes();
        BucketNumber(first)
    }

    /// All buckets in ascending order.
    pub fn all() -> impl Iterator<Item = BucketNumber> {
        (0..=u8::MAX).map(BucketNumber)
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// A set of buckets. As text, and so in messages and on disk: base64 of its bits as four big-endian words.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct BucketSet {
    words: [u64; BUCKETS / WORD_BITS],
}

impl BucketSet {
    /// The set of all buckets.
    pub fn all() -> Self {
        BucketSet { words: [u64::MAX; BUCKETS / WORD_BITS] }
    }

    /// Adds a bucket to the set.
    pub fn insert(&mut self, bucket: BucketNumber) {
        self.words[bucket.index() / WORD_BITS] |= 1 << (bucket.index() % WORD_BITS);
    }

    /// Removes a bucket from the set.
    pub fn remove(&mut self, bucket: BucketNumber) {
        self.words[bucket.index() / WORD_BITS] &= !(1 << (bucket.index() % WORD_BITS));
    }

    /// The buckets of either set.
    pub fn union(&self, other: BucketSet) -> Self {
        let mut union = *self;
        union.words.iter_mut().zip(other.words).for_each(|(word, other)| *word |= other);
        union
    }

    /// The number of buckets in the set.
    pub fn len(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// The next bucket of the set after another one, continuing with the first one; `None` if the set is empty.
    pub fn next_after(&self, bucket: BucketNumber) -> Option<BucketNumber> {
        let others = (0..=u8::MAX).map(|offset| bucket.0.wrapping_add(1).wrapping_add(offset));
        others.map(BucketNumber).find(|candidate| self.contains(*candidate))
    }

    /// Whether the set contains a bucket.
    pub fn contains(&self, bucket: BucketNumber) -> bool {
        self.words[bucket.index() / WORD_BITS] & (1 << (bucket.index() % WORD_BITS)) != 0
    }

    /// Whether the set contains no bucket.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }
}

impl FromIterator<BucketNumber> for BucketSet {
    fn from_iter<I: IntoIterator<Item = BucketNumber>>(buckets: I) -> Self {
        let mut set = BucketSet::default();
        buckets.into_iter().for_each(|bucket| set.insert(bucket));
        set
    }
}

impl From<BucketSet> for String {
    fn from(set: BucketSet) -> String {
        words::encode(set.words)
    }
}

/// The text can't be parsed as a [`BucketSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a set of {BUCKETS} buckets in base64")]
pub struct BadBucketSet;

impl TryFrom<String> for BucketSet {
    type Error = BadBucketSet;

    fn try_from(text: String) -> Result<Self, BadBucketSet> {
        let words = words::decode(&text).and_then(|words| words.try_into().ok()).ok_or(BadBucketSet)?;
        Ok(BucketSet { words })
    }
}

/// One hash per bucket over the records in it. As text, and so in messages: base64 of 8 big-endian bytes per bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct BucketHashes(Box<[u64; BUCKETS]>);

/// The text can't be parsed as [`BucketHashes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected the hashes of {BUCKETS} buckets in base64")]
pub struct BadBucketHashes;

impl BucketHashes {
    /// The hash of a bucket.
    pub fn get(&self, bucket: BucketNumber) -> u64 {
        self.0[bucket.index()]
    }

    /// The buckets whose hashes differ, in ascending order.
    pub fn differing(&self, other: &BucketHashes) -> Vec<BucketNumber> {
        let differs = |bucket: &BucketNumber| self.0[bucket.index()] != other.0[bucket.index()];
        BucketNumber::all().filter(differs).collect()
    }
}

impl From<BucketHashes> for String {
    fn from(hashes: BucketHashes) -> String {
        words::encode(*hashes.0)
    }
}

impl TryFrom<String> for BucketHashes {
    type Error = BadBucketHashes;

    fn try_from(text: String) -> Result<Self, BadBucketHashes> {
        let hashes = words::decode(&text).ok_or(BadBucketHashes)?;
        let hashes = hashes.into_boxed_slice().try_into().map_err(|_| BadBucketHashes)?;
        Ok(BucketHashes(hashes))
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Bucket {
    /// The wrapping sum of the records' hashes, which doesn't depend on the order of insertion.
    sum: u64,
    count: u64,
}

impl Bucket {
    fn hash(&self) -> u64 {
        self.sum.wrapping_add(self.count.wrapping_mul(COUNT_WEIGHT))
    }
}

/// Maintains the bucket hashes incrementally as records are inserted, replaced and removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketIndex {
    buckets: Box<[Bucket; BUCKETS]>,
}

impl Default for BucketIndex {
    fn default() -> Self {
        BucketIndex { buckets: Box::new([Bucket::default(); BUCKETS]) }
    }
}

impl BucketIndex {
    /// An empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the record of a key that has none in the index.
    pub fn insert(&mut self, record: &impl FeedRecord) {
        let bucket = self.bucket(record);
        bucket.sum = bucket.sum.wrapping_add(record.hash());
        bucket.count += 1;
    }

    /// Replaces the record of a key by another one.
    pub fn replace<R: FeedRecord>(&mut self, old: &R, new: &R) {
        self.remove(old);
        self.insert(new);
    }

    /// Removes a record that was added before.
    pub fn remove(&mut self, record: &impl FeedRecord) {
        let bucket = self.bucket(record);
        bucket.sum = bucket.sum.wrapping_sub(record.hash());
        bucket.count = bucket.count.saturating_sub(1);
    }

    /// The current hashes.
    pub fn hashes(&self) -> BucketHashes {
        let mut hashes = Box::new([0; BUCKETS]);
        for (hash, bucket) in hashes.iter_mut().zip(self.buckets.iter()) {
            *hash = bucket.hash();
        }
        BucketHashes(hashes)
    }

    fn bucket(&mut self, record: &impl FeedRecord) -> &mut Bucket {
        &mut self.buckets[BucketNumber::of(record.key()).index()]
    }
}
