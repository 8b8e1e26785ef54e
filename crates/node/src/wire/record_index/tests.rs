use super::*;
use crate::state::record::Text;
use crate::state::store::Draft;
use crate::state::test_ledger;
use proptest::prelude::*;

fn record(key: &str, version: u64, expires: f64) -> Record {
    let value = Text::of(&version).ok();
    Record {
        key: key.into(),
        is_final: false,
        version,
        node: "n".into(),
        expires: UnixTime::from_ms(expires),
        value,
    }
}

fn index_of(records: &[Record]) -> RecordIndex {
    let mut index = RecordIndex::new(Scope::Shared, test_ledger());
    records.iter().for_each(|record| index.note(record));
    index
}

proptest! {
    /// Incremental hashes must equal those of the current records: earlier versions and the order of changes leave
    /// no trace.
    #[test]
    fn hashes_depend_only_on_the_current_records(
        versions in proptest::collection::vec((0u8..20, 1u64..5), 0..60),
    ) {
        let changes: Vec<Record> = versions
            .iter()
            .map(|(key, version)| record(&format!("function/{key}"), *version, 0.0))
            .collect();
        let last: BTreeMap<Arc<str>, Record> =
            changes.iter().map(|record| (record.key.clone(), record.clone())).collect();
        let current: Vec<Record> = last.into_values().rev().collect();
        prop_assert_eq!(index_of(&changes).hashes(), index_of(&current).hashes());
    }
}

/// Nodes delete expired records at different times. The hashes must exclude a record from its expiry on, so that
/// they agree.
#[test]
fn expired_records_are_excluded() {
    let ledger = test_ledger();
    let mut index = RecordIndex::new(Scope::Shared, ledger.clone());
    let empty = index.root();
    index.note(&record("invocation/1", 1, 500.0));
    assert_ne!(index.root(), empty);
    index.expire(UnixTime::from_ms(499.0));
    assert_ne!(index.root(), empty);
    index.expire(UnixTime::from_ms(500.0));
    assert_eq!(index.root(), empty);
    assert_eq!(ledger.held(), 0);
}

/// Node-local records must not leave the node, so no index covers them; only the index of peers covers deferred
/// calls.
#[test]
fn scopes_exclude_records_of_other_kinds() {
    let keys = ["function/f", "worker/w", "invocation/1", "seed/n/function/f", "local/feed-position"];
    let in_scope = |scope: Scope| keys.iter().filter(|key| scope.contains(key)).count();
    assert_eq!((in_scope(Scope::Configuration), in_scope(Scope::Shared)), (2, 3));
}

#[test]
fn an_index_of_a_store_covers_its_records_and_later_changes() {
    let store = Store::in_memory("n", test_ledger());
    store.put(&mut Draft::new("function/a", Text::of(&1).ok())).expect("room");
    store.put(&mut Draft::new("function/b", None)).expect("a tombstone");
    let (mut index, changes) = RecordIndex::of_store(Scope::Configuration, &store);
    store.put(&mut Draft::new("function/a", Text::of(&2).ok())).expect("room");
    changes.try_iter().for_each(|record| index.note(&record));
    let current = ["function/a", "function/b"].map(|key| store.get(key).expect("a current record"));
    assert_eq!(index.hashes(), index_of(&current).hashes());
}
