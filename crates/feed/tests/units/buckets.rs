use crate::support::{TestRecord, TestStore};
use corkbay_feed::{BucketHashes, BucketIndex, BucketNumber, BucketSet, Records};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Pairs of a key and its new version; version 0 removes the key.
fn steps() -> impl Strategy<Value = Vec<(u16, u64)>> {
    prop::collection::vec((0..300u16, 0..4u64), 0..80)
}

fn record(key: u16, version: u64) -> TestRecord {
    TestRecord::new(&key.to_string(), version, 1, Some("value"))
}

/// Applies the steps to an index; returns it and the records that it holds afterwards.
fn apply_steps(steps: &[(u16, u64)]) -> (BucketIndex, BTreeMap<u16, TestRecord>) {
    let (mut index, mut held) = (BucketIndex::new(), BTreeMap::new());
    for (key, version) in steps {
        let new = record(*key, *version);
        match (held.remove(key), *version) {
            (Some(old), 0) => index.remove(&old),
            (None, 0) => {}
            (Some(old), _) => {
                index.replace(&old, &new);
                held.insert(*key, new);
            }
            (None, _) => {
                index.insert(&new);
                held.insert(*key, new);
            }
        }
    }
    (index, held)
}

proptest! {
    #[test]
    fn an_index_kept_step_by_step_equals_a_new_one(steps in steps()) {
        let (index, held) = apply_steps(&steps);
        let mut rebuilt = BucketIndex::new();
        held.values().rev().for_each(|record| rebuilt.insert(record));
        prop_assert_eq!(index, rebuilt);
    }

    #[test]
    fn every_key_that_differs_is_in_a_bucket_that_differs(one in steps(), other in steps()) {
        let ((one, one_held), (other, other_held)) = (apply_steps(&one), apply_steps(&other));
        let actual = one.hashes().differing(&other.hashes());
        let differs = |key: &&u16| one_held.get(key) != other_held.get(key);
        let keys = one_held.keys().chain(other_held.keys()).filter(differs);
        let expected: BucketSet = keys.map(|key| BucketNumber::of(&key.to_string())).collect();
        prop_assert_eq!(actual.into_iter().collect::<BucketSet>(), expected);
    }

    #[test]
    fn hashes_survive_their_text(steps in steps()) {
        let hashes = apply_steps(&steps).0.hashes();
        let text = serde_json::to_string(&hashes).expect("hashes serialize");
        prop_assert_eq!(serde_json::from_str::<BucketHashes>(&text).expect("hashes deserialize"), hashes);
    }

    #[test]
    fn pages_hold_each_record_of_the_buckets_once(count in 0..60usize, max_bytes in 1..600usize, skip in 0..256u16) {
        let mut store = TestStore::default();
        store.fill(0, count, 1, 20);
        let buckets: BucketSet = BucketNumber::all().filter(|bucket| u16::from(bucket.0) >= skip).collect();
        let (mut actual, mut after) = (Vec::new(), None);
        loop {
            let page = store.page(&buckets, after.as_deref(), max_bytes);
            prop_assert!(page.size() <= max_bytes || page.records.len() == 1);
            actual.extend(page.records);
            if page.is_last {
                break;
            }
            after = actual.last().map(|record: &TestRecord| record.key.clone());
        }
        let in_buckets = |record: &&TestRecord| buckets.contains(BucketNumber::of(&record.key));
        let expected: Vec<TestRecord> = store.records.values().filter(in_buckets).cloned().collect();
        prop_assert_eq!(actual, expected);
    }
}

#[test]
fn bad_hashes_are_refused() {
    for text in ["\"\"", "\"AAAA\"", "\"not base64!\"", "7"] {
        assert!(serde_json::from_str::<BucketHashes>(text).is_err(), "{text}");
    }
}

/// Guards against incompatibility between versions: the bucket of a key must never change.
#[test]
fn buckets_are_the_same_in_every_version() {
    let buckets = ["", "function/a", "worker/b"].map(|key| BucketNumber::of(key).0);
    assert_eq!(buckets, [189, 1, 33]);
}
