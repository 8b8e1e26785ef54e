use super::*;
use crate::state::catalog::State;
use crate::state::test_ledger;
use std::sync::Arc;

/// Enough entries that each page needs more than one batch.
const ENTRY_COUNT: usize = 2 * PAGES * MAX_ENTRIES_PER_BATCH;

fn function(lanes: u32) -> Function {
    Function { class: "check".into(), tenant: String::new(), memory_mb: 0.0, lanes, cost_ms: None }
}

fn entries(count: usize, first_lanes: u32) -> Vec<DeployEntry> {
    let lanes = |number: usize| if number == 0 { first_lanes } else { 1 };
    let entry = |number: usize| DeployEntry::function(&number.to_string(), &function(lanes(number)));
    (0..count).map(|number| entry(number).expect("text")).collect()
}

fn versions(store: &Store) -> u64 {
    store.configuration(1000).flatten().map(|record| record.version).sum()
}

#[test]
fn entries_are_written_when_the_file_changes_them_and_only_then() {
    let store = Arc::new(Store::in_memory("one", test_ledger()));
    let catalog = Catalog::new(store.clone(), Vec::new());
    catalog.seed(entries(ENTRY_COUNT, 1)).expect("room");
    assert_eq!(store.records_with_prefix(FUNCTION).len(), ENTRY_COUNT);
    catalog.seed(entries(ENTRY_COUNT, 1)).expect("room");
    assert_eq!(versions(&store), ENTRY_COUNT as u64, "nothing is written twice");
    catalog.put_function("0", &function(7)).expect("room");
    catalog.seed(entries(ENTRY_COUNT, 1)).expect("room");
    assert_eq!(catalog.function("0"), Some(function(7)), "a change by API is kept");
    catalog.seed(entries(ENTRY_COUNT, 2)).expect("room");
    assert_eq!(catalog.function("0"), Some(function(2)), "until the file changes the entry");
    assert_eq!(versions(&store), ENTRY_COUNT as u64 + 2);
}

/// Guards against a memory budget that is too small for the deploy file: the planned size covers the actual one.
#[test]
fn the_planned_size_covers_the_actual_size() {
    let store = Arc::new(Store::in_memory("one", test_ledger()));
    Catalog::new(store.clone(), Vec::new()).seed(entries(ENTRY_COUNT, 1)).expect("room");
    let planned =
        (0..ENTRY_COUNT).map(|number| configured_size("one", FUNCTION, &number.to_string(), &function(1)));
    let (planned, held) = (planned.sum::<usize>() + pages_size("one", ENTRY_COUNT), store.ledger().held());
    assert!(held <= planned && planned <= held + held / 50, "{planned} planned, {held} held");
}

fn worker(cell: Option<i64>, state: State) -> Worker {
    let address = "127.0.0.1:1".parse().expect("address");
    Worker { address, zone: String::new(), kind: String::new(), cell, weight: 1.0, state }
}

/// Guards against workers without a cell that stay in one cell after an upgrade, and against an upgrade that takes back a
/// change by API: earlier versions wrote cell 0 for an entry that names no cell.
#[test]
fn a_cell_that_only_an_earlier_version_wrote_is_removed() {
    for is_in_pages in [true, false] {
        let store = Arc::new(Store::in_memory("one", test_ledger()));
        let catalog = Catalog::new(store.clone(), Vec::new());
        let (earlier, drained) = (worker(Some(0), State::Up), worker(Some(0), State::Draining));
        let entry = |name: &str, worker: &Worker| DeployEntry::worker(name, worker).expect("text");
        if is_in_pages {
            catalog.seed(vec![entry("plain", &earlier), entry("drained", &earlier)]).expect("room");
        } else {
            for name in ["plain", "drained"] {
                catalog.put_worker(name, &earlier).expect("room");
                let (key, text) = (catalog.legacy_key(&format!("{WORKER}{name}")), text_of(&earlier));
                store.put(&mut Draft::new(&key, Some(text.expect("text")))).expect("room");
            }
        }
        catalog.put_worker("drained", &drained).expect("room");
        let now = worker(None, State::Up);
        let seed = || catalog.seed(vec![entry("plain", &now), entry("drained", &now)]).expect("room");
        seed();
        assert_eq!(catalog.worker("plain"), Some(now.clone()));
        assert_eq!(catalog.worker("drained"), Some(drained.clone()), "a change by API is kept");
        let before = versions(&store);
        seed();
        assert_eq!(versions(&store), before, "nothing is written twice");
        catalog.seed(vec![entry("drained", &worker(Some(0), State::Up))]).expect("room");
        assert_eq!(catalog.worker("drained"), Some(earlier), "the file now names the cell");
    }
}
