use super::*;
use crate::clock::UnixTime;
use crate::state::record::{Record, Text};
use corkbay_feed::BucketIndex;

const KEY: &str = "function/a";

fn hashes(version: u64) -> BucketHashes {
    let value = Text::of(&version).ok();
    let (is_final, expires) = (false, UnixTime::NONE);
    let record = Record { key: KEY.into(), is_final, version, node: "n".into(), expires, value };
    let mut index = BucketIndex::new();
    index.insert(&record);
    index.hashes()
}

/// Guards against a change that is not exchanged because its bucket was settled before, against room that is not used, and
/// against an exchange of everything whenever some room frees.
#[test]
fn a_bucket_is_exchanged_again_after_a_change_with_more_room_and_after_a_while() {
    let (bucket, own, peer) = (BucketNumber::of(KEY), hashes(1), hashes(2));
    let mut settled = SettledBuckets::default();
    settled.refresh(0, 0.0);
    assert!(!settled.contains(bucket, &own, &peer));
    settled.note(bucket, &own, &peer);
    settled.refresh(MORE_ROOM_BYTES - 1, RECHECK_MS - 1.0);
    assert!(settled.contains(bucket, &own, &peer));
    assert!(!settled.contains(bucket, &hashes(3), &peer) && !settled.contains(bucket, &own, &hashes(3)));
    settled.refresh(MORE_ROOM_BYTES, MORE_ROOM_PAUSE_MS - 1.0);
    assert!(settled.contains(bucket, &own, &peer), "more room, but too early");
    settled.refresh(MORE_ROOM_BYTES, MORE_ROOM_PAUSE_MS);
    assert!(!settled.contains(bucket, &own, &peer), "more room");
    settled.note(bucket, &own, &peer);
    settled.refresh(MORE_ROOM_BYTES, MORE_ROOM_PAUSE_MS + RECHECK_MS - 1.0);
    assert!(settled.contains(bucket, &own, &peer));
    settled.refresh(MORE_ROOM_BYTES, MORE_ROOM_PAUSE_MS + RECHECK_MS);
    assert!(!settled.contains(bucket, &own, &peer), "after a while");
}
