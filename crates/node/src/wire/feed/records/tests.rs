use super::*;
use crate::state::record::Text;
use crate::state::store::Draft;
use crate::state::test_ledger;
use corkbay_feed::{BucketNumber, FeedRecord};

const FUNCTION_COUNT: usize = 300;
const MAX_PAGE_BYTES: usize = 4 << 10;

fn filled_store() -> Store {
    let store = Store::in_memory("n", test_ledger());
    for number in 0..FUNCTION_COUNT {
        let key = format!("function/{number}");
        store.put(&mut Draft::new(&key, Text::of(&number).ok())).expect("room");
    }
    store.put(&mut Draft::new("worker/gone", None)).expect("a tombstone");
    store.put(&mut Draft::new("invocation/1", Text::of(&1).ok())).expect("room");
    store.put(&mut Draft::new("local/note", Text::of(&1).ok())).expect("room");
    store
}

/// Reads all pages of the given buckets in order.
fn read_all_pages(store: &Store, buckets: &BucketSet) -> Vec<Record> {
    let (index, _changes) = RecordIndex::of_store(Scope::Configuration, store);
    let records = ConfigurationRecords { store, index: &index };
    let mut all: Vec<Record> = Vec::new();
    loop {
        let page = records.page(buckets, all.last().map(|record| &*record.key), MAX_PAGE_BYTES);
        let bytes: usize = page.records.iter().map(FeedRecord::size).sum();
        assert!(bytes <= MAX_PAGE_BYTES, "{bytes}");
        assert!(page.is_last || !page.records.is_empty());
        all.extend(page.records);
        if page.is_last {
            return all;
        }
    }
}

/// A copy must contain each configuration record exactly once and in order, including tombstones, and no other records, in
/// pages of bounded size.
#[test]
fn pages_cover_the_configuration_once() {
    let store = filled_store();
    let all = read_all_pages(&store, &BucketSet::all());
    assert_eq!(all.len(), FUNCTION_COUNT + 1);
    let place = |record: &Record| (!record.key.starts_with(WORKER), record.key.clone());
    assert!(all.windows(2).all(|pair| place(&pair[0]) < place(&pair[1])), "workers first, then functions");
    assert!(all.iter().any(|record| &*record.key == "worker/gone" && record.value.is_none()));
}

#[test]
fn pages_hold_the_buckets_asked_for() {
    let store = filled_store();
    let buckets: BucketSet = (0..40).map(BucketNumber).collect();
    let some = read_all_pages(&store, &buckets);
    let expected = read_all_pages(&store, &BucketSet::all());
    let expected: Vec<Record> =
        expected.into_iter().filter(|record| buckets.contains(BucketNumber::of(&record.key))).collect();
    assert!(!some.is_empty() && some.len() < FUNCTION_COUNT);
    assert_eq!(some, expected);
}

#[test]
fn only_configuration_is_read_by_key() {
    let store = filled_store();
    let (index, _changes) = RecordIndex::of_store(Scope::Configuration, &store);
    let records = ConfigurationRecords { store: &store, index: &index };
    assert!(records.get("function/1").is_some());
    assert!(records.get("invocation/1").is_none() && records.get("local/note").is_none());
}
