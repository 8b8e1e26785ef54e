//! Buckets that stay different from a peer's because one of the two has no room for records of the other.
use corkbay::Ms;
use corkbay_feed::{BucketHashes, BucketNumber};
use std::collections::HashMap;

/// All buckets that differ are exchanged again after this time, in milliseconds.
const RECHECK_MS: Ms = 60_000.0;
/// They are also exchanged again once there is so much more room than before, in bytes, but not more often than at this
/// interval, in milliseconds.
const MORE_ROOM_BYTES: usize = 1 << 10;
const MORE_ROOM_PAUSE_MS: Ms = 10_000.0;

/// The hashes of a bucket at both nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HashPair {
    own: u64,
    peer: u64,
}

/// The buckets for which the last exchange with a peer led to nothing, with their hashes at that time. There is no point
/// in exchanging them again before one of the hashes changes or there is more room.
#[derive(Debug, Default)]
pub struct SettledBuckets {
    pairs: HashMap<u8, HashPair>,
    /// When the buckets were last forgotten, on the monotonic clock in milliseconds.
    refreshed_at: Option<Ms>,
    /// The least room since then, in bytes.
    least_room_bytes: usize,
}

impl SettledBuckets {
    /// Forgets all buckets if that is due, given the room for further records, in bytes.
    pub fn refresh(&mut self, room_bytes: usize, now: Ms) {
        self.least_room_bytes = self.least_room_bytes.min(room_bytes);
        let has_more_room = room_bytes >= self.least_room_bytes + MORE_ROOM_BYTES;
        let pause = if has_more_room { MORE_ROOM_PAUSE_MS } else { RECHECK_MS };
        if self.refreshed_at.is_none_or(|at| now - at >= pause) {
            self.pairs.clear();
            self.refreshed_at = Some(now);
            self.least_room_bytes = room_bytes;
        }
    }

    /// Notes that an exchange of a bucket with these hashes led to nothing here.
    pub fn note(&mut self, bucket: BucketNumber, own: &BucketHashes, peer: &BucketHashes) {
        self.pairs.insert(bucket.0, HashPair { own: own.get(bucket), peer: peer.get(bucket) });
    }

    /// Whether the last exchange of a bucket with the same hashes led to nothing.
    pub fn contains(&self, bucket: BucketNumber, own: &BucketHashes, peer: &BucketHashes) -> bool {
        self.pairs.get(&bucket.0) == Some(&HashPair { own: own.get(bucket), peer: peer.get(bucket) })
    }
}

#[cfg(test)]
mod tests;
