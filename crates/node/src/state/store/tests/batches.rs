use super::*;
use crate::state::store::MAX_BATCH;

fn drafts(keys: &[String]) -> Vec<Draft<'_>> {
    keys.iter().map(|key| Draft::new(key, text(1))).collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("function/{number}")).collect()
}

#[test]
fn a_batch_is_written_whole_or_not_at_all() {
    let (store, ledger) = small();
    store.put(&mut call("function/final", 1, true)).expect("room");
    let held = ledger.held();

    let keys = [names(3), vec!["function/final".into()]].concat();
    assert!(matches!(store.put_many(&mut drafts(&keys)), Err(StoreError::Final)));
    let keys = [names(3), vec!["function/0".into()]].concat();
    assert!(matches!(store.put_many(&mut drafts(&keys)), Err(StoreError::RepeatedKey(_))));
    let keys = names(MAX_BATCH + 1);
    assert!(matches!(store.put_many(&mut drafts(&keys)), Err(StoreError::LargeBatch { .. })));
    let mut too_large = drafts(&keys[..MAX_BATCH]);
    too_large.iter_mut().for_each(|draft| draft.value = text("x".repeat(10 * KIB)));
    assert!(matches!(store.put_many(&mut too_large), Err(StoreError::Full { .. })));
    drop(too_large);
    assert_eq!((store.records_with_prefix("function/").len(), ledger.held()), (1, held));

    let written = store.put_many(&mut drafts(&keys[..MAX_BATCH])).expect("room");
    assert_eq!((written.len(), store.records_with_prefix("function/").len()), (MAX_BATCH, MAX_BATCH + 1));
}

#[test]
fn configuration_pages_are_complete_and_include_tombstones() {
    let store = Store::in_memory("one", test_ledger());
    for key in ["function/a", "function/b", "function/c", "worker/a", "worker/b"] {
        store.put(&mut Draft::new(key, text(1))).expect("room");
    }
    for other in ["invocation/1", "local/position", "seed/one/function/a", "zone/x"] {
        store.put(&mut Draft::new(other, text(1))).expect("room");
    }
    store.put(&mut Draft::new("function/b", None)).expect("room");
    for page_size in 1..8 {
        let pages: Vec<Vec<Record>> = store.configuration(page_size).collect();
        assert!(pages.iter().all(|page| page.len() <= page_size));
        let records = pages.concat();
        let keys: Vec<&str> = records.iter().map(|record| &*record.key).collect();
        assert_eq!(keys, ["worker/a", "worker/b", "function/a", "function/b", "function/c"]);
        assert!(records[3].value.is_none());
    }
}
