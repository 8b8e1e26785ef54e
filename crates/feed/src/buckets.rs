//! Hashes over the records of a node, by which two nodes find where they differ.
use crate::{stable_hash, FeedRecord};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};

/// The number of buckets.
pub const BUCKETS: usize = 256;

const WORD: usize = u64::BITS as usize;
const HASH_BYTES: usize = size_of::<u64>();
/// Weighs the number of records in a bucket's hash. It is odd, so that different numbers weigh differently.
const COUNT_WEIGHT: u64 = 0x9e37_79b9_7f4a_7c15;

/// One of the [`BUCKETS`] parts of the keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketNumber(pub u8);

impl BucketNumber {
    /// The bucket of a key, the same on every node.
    pub fn of(key: &str) -> Self {
        let [first, ..] = stable_hash(&[key.as_bytes()]).to_be_bytes();
        BucketNumber(first)
    }

    /// All buckets in order.
    pub fn all() -> impl Iterator<Item = BucketNumber> {
        (0..=u8::MAX).map(BucketNumber)
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Some of the buckets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketSet {
    words: [u64; BUCKETS / WORD],
}

impl BucketSet {
    /// All buckets.
    pub fn all() -> Self {
        BucketSet { words: [u64::MAX; BUCKETS / WORD] }
    }

    /// Adds a bucket.
    pub fn insert(&mut self, bucket: BucketNumber) {
        self.words[bucket.index() / WORD] |= 1 << (bucket.index() % WORD);
    }

    /// Whether a bucket is among them.
    pub fn contains(&self, bucket: BucketNumber) -> bool {
        self.words[bucket.index() / WORD] & (1 << (bucket.index() % WORD)) != 0
    }

    /// Whether there is none.
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

/// A hash over the records of each bucket. As text, and so in messages, base64 of 8 bytes each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct BucketHashes(Box<[u64; BUCKETS]>);

/// A text that isn't the hashes of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the hashes of {BUCKETS} buckets in base64")]
pub struct BadBucketHashes;

impl BucketHashes {
    /// The buckets whose hashes differ, in order.
    pub fn differing(&self, other: &BucketHashes) -> Vec<BucketNumber> {
        let differs = |bucket: &BucketNumber| self.0[bucket.index()] != other.0[bucket.index()];
        BucketNumber::all().filter(differs).collect()
    }
}

impl From<BucketHashes> for String {
    fn from(hashes: BucketHashes) -> String {
        let bytes: Vec<u8> = hashes.0.iter().flat_map(|hash| hash.to_be_bytes()).collect();
        STANDARD.encode(bytes)
    }
}

impl TryFrom<String> for BucketHashes {
    type Error = BadBucketHashes;

    fn try_from(text: String) -> Result<Self, BadBucketHashes> {
        let bytes = STANDARD.decode(text).map_err(|_| BadBucketHashes)?;
        if bytes.len() != BUCKETS * HASH_BYTES {
            return Err(BadBucketHashes);
        }
        let mut hashes = Box::new([0; BUCKETS]);
        for (hash, bytes) in hashes.iter_mut().zip(bytes.chunks_exact(HASH_BYTES)) {
            *hash = u64::from_be_bytes(bytes.try_into().map_err(|_| BadBucketHashes)?);
        }
        Ok(BucketHashes(hashes))
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Bucket {
    /// The wrapping sum of the records' hashes: the order in which they came doesn't matter.
    sum: u64,
    count: u64,
}

impl Bucket {
    fn hash(&self) -> u64 {
        self.sum.wrapping_add(self.count.wrapping_mul(COUNT_WEIGHT))
    }
}

/// Keeps the hashes of the buckets while records come and go.
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
    /// The index of no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the record of a key that had none.
    pub fn insert(&mut self, record: &impl FeedRecord) {
        let bucket = self.bucket(record);
        bucket.sum = bucket.sum.wrapping_add(record.hash());
        bucket.count += 1;
    }

    /// Puts a record in the place of the one that stood under its key.
    pub fn replace<R: FeedRecord>(&mut self, old: &R, new: &R) {
        self.remove(old);
        self.insert(new);
    }

    /// Takes away a record that was added.
    pub fn remove(&mut self, record: &impl FeedRecord) {
        let bucket = self.bucket(record);
        bucket.sum = bucket.sum.wrapping_sub(record.hash());
        bucket.count = bucket.count.saturating_sub(1);
    }

    /// The hashes as they are.
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
