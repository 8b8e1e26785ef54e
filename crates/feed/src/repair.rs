//! The control node's answer to a follower that asks for records that it had to leave out.
use crate::{words, BucketNumber, FeedRecord, Records};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// The hashes of single records. As text, and so in messages: base64 of 8 big-endian bytes per hash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RecordHashes(pub Vec<u64>);

/// The text can't be parsed as [`RecordHashes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected hashes of records in base64")]
pub struct BadRecordHashes;

impl FromIterator<u64> for RecordHashes {
    fn from_iter<I: IntoIterator<Item = u64>>(hashes: I) -> Self {
        RecordHashes(hashes.into_iter().collect())
    }
}

impl From<RecordHashes> for String {
    fn from(hashes: RecordHashes) -> String {
        words::encode(hashes.0)
    }
}

impl TryFrom<String> for RecordHashes {
    type Error = BadRecordHashes;

    fn try_from(text: String) -> Result<Self, BadRecordHashes> {
        words::decode(&text).map(RecordHashes).ok_or(BadRecordHashes)
    }
}

/// A follower's request for the records of one bucket that it lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RepairRequest {
    pub bucket: BucketNumber,
    pub held: RecordHashes,
    pub max_bytes: usize,
}

/// The records of a bucket that a follower lacks.
pub(crate) struct MissingRecords<R> {
    pub records: Vec<R>,
    /// Number of records that the follower lacks and that don't fit.
    pub skipped: usize,
    pub bytes: usize,
}

impl<R: FeedRecord> MissingRecords<R> {
    /// Selects the records that a follower lacks. They take at most `page_bytes` unless there is only one, and never more
    /// than the follower has room for.
    pub fn select(request: &RepairRequest, records: &impl Records<R>, page_bytes: usize) -> Self {
        let held: HashSet<u64> = request.held.0.iter().copied().collect();
        let mut missing = MissingRecords { records: Vec::new(), skipped: 0, bytes: 0 };
        for (key, hash) in records.bucket(request.bucket) {
            if held.contains(&hash) {
                continue;
            }
            let Some(record) = records.get(&key) else { continue };
            let bytes = missing.bytes + record.size();
            let is_first = missing.records.is_empty();
            if bytes > request.max_bytes || (bytes > page_bytes && !is_first) {
                missing.skipped += 1;
                continue;
            }
            missing.bytes = bytes;
            missing.records.push(record);
        }
        missing
    }
}
