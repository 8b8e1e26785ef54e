use super::*;
use crate::memory::record::Text;
use crate::memory::roomy;
use crate::memory::store::Draft;
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
    let mut index = RecordIndex::new(Scope::Shared, roomy());
    records.iter().for_each(|record| index.note(record));
    index
}

proptest! {
    /// Guards incremental hashes: what stood under a key before leaves no trace, whatever the order of the keys.
    #[test]
    fn the_hashes_are_those_of_the_records_that_stand(
        versions in proptest::collection::vec((0u8..20, 1u64..5), 0..60),
    ) {
        let changes: Vec<Record> = versions
            .iter()
            .map(|(key, version)| record(&format!("function/{key}"), *version, 0.0))
            .collect();
        let last: BTreeMap<Arc<str>, Record> =
            changes.iter().map(|record| (record.key.clone(), record.clone())).collect();
        let standing: Vec<Record> = last.into_values().rev().collect();
        prop_assert_eq!(index_of(&changes).hashes(), index_of(&standing).hashes());
    }
}

/// Guards nodes that forget what has expired at different times: it counts nowhere from that time on.
#[test]
fn what_has_expired_counts_no_more() {
    let ledger = roomy();
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

/// Guards what leaves the node: node-local records are in no index, deferred calls in that of peers only.
#[test]
fn the_scopes_leave_out_what_is_not_theirs() {
    let keys = ["function/f", "worker/w", "invocation/1", "seed/n/function/f", "local/feed-position"];
    let in_scope = |scope: Scope| keys.iter().filter(|key| scope.contains(key)).count();
    assert_eq!((in_scope(Scope::Configuration), in_scope(Scope::Shared)), (2, 3));
}

#[test]
fn an_index_of_a_store_covers_what_it_holds_and_is_told_the_rest() {
    let store = Store::in_memory("n", roomy());
    store.put(&mut Draft::new("function/a", Text::of(&1).ok())).expect("room");
    store.put(&mut Draft::new("function/b", None)).expect("a tombstone");
    let (mut index, changes) = RecordIndex::of_store(Scope::Configuration, &store);
    store.put(&mut Draft::new("function/a", Text::of(&2).ok())).expect("room");
    changes.try_iter().for_each(|record| index.note(&record));
    let standing = ["function/a", "function/b"].map(|key| store.get(key).expect("stands"));
    assert_eq!(index.hashes(), index_of(&standing).hashes());
}
