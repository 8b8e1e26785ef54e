use super::*;
use crate::state::log::LogError;
use may::sync::mpsc;
use std::path::{Path, PathBuf};

const POSITION: &str = "local/feed-position";

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("corkbay-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("folder");
        Folder(path)
    }

    fn log(&self) -> PathBuf {
        self.0.join("records.log")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Path) -> Result<Store, LogError> {
    Store::open("one", folder, test_ledger(), RestartRetention::AS_DATED)
}

fn of_peer(key: &str, version: u64) -> Record {
    Record {
        key: key.into(),
        is_final: false,
        version,
        node: "peer".into(),
        expires: UnixTime::NONE,
        value: text(version),
    }
}

/// Guards against followers that diverge: a change that is missed, sent twice or reordered would make them differ.
#[test]
fn each_change_is_sent_once_in_the_order_in_which_it_took_effect() {
    let store = Arc::new(Store::in_memory("one", test_ledger()));
    store.put(&mut Draft::new("function/before", text(0))).expect("room");
    let (changes, received) = mpsc::channel();
    store.on_change(changes);
    let writers: Vec<_> = (0..4u64)
        .map(|writer| {
            let store = store.clone();
            std::thread::spawn(move || {
                for round in 1..=100 {
                    store.put(&mut Draft::new("function/shared", text(writer))).expect("room");
                    store.merge(vec![of_peer("function/merged", round)]).expect("in memory");
                }
            })
        })
        .collect();
    writers.into_iter().for_each(|writer| writer.join().expect("no panic"));
    let versions = |key: &str, received: &[Record]| -> Vec<u64> {
        received.iter().filter(|record| &*record.key == key).map(|record| record.version).collect()
    };
    let received: Vec<Record> = received.try_iter().collect();
    assert_eq!(versions("function/shared", &received), (1..=400).collect::<Vec<_>>());
    // If a later version is merged first, the older one has no effect and is not reported.
    let merged = versions("function/merged", &received);
    assert!(merged.is_sorted_by(|one, next| one < next) && merged.last() == Some(&100));
    assert!(versions("function/before", &received).is_empty());
}

#[test]
fn node_local_records_are_neither_sent_nor_merged() {
    let (one, two) = (Store::in_memory("one", test_ledger()), Store::in_memory("two", test_ledger()));
    let (writes, received) = mpsc::channel();
    one.on_write(vec![writes]);
    for key in [POSITION, "seed/one/function/a", "function/a"] {
        one.put(&mut Draft::new(key, text(1))).expect("room");
    }
    let keys = |records: Vec<Record>| records.iter().map(|record| record.key.to_string()).collect::<Vec<_>>();
    assert_eq!(keys(received.try_iter().collect()), ["function/a"]);
    assert_eq!(one.digest().keys().map(|key| &**key).collect::<Vec<_>>(), ["function/a"]);
    assert_eq!(keys(one.missing_records(&two.digest(), ALL)), ["function/a"]);
    let sent =
        vec![of_peer(POSITION, 9), of_peer("seed/one/function/a", 9), of_peer("seed/peer/function/a", 9)];
    assert_eq!(two.merge(sent).expect("in memory").new_records, 0);
    assert!(two.get(POSITION).is_none() && two.records_with_prefix("seed/").is_empty());
}

#[test]
fn seeds_of_other_nodes_in_an_old_log_are_skipped() {
    let folder = Folder::new("seeds");
    let log = Log::open(&folder.0, test_ledger().account(Purpose::Log).clone(), |_| {}).expect("opens");
    let records = ["seed/one/function/a", "seed/peer/function/a", "seed/onerous/function/a", "function/a"];
    log.append(&records.map(|key| of_peer(key, 1))).expect("appends");
    let store = open(&folder.0).expect("opens");
    assert_eq!(store.records_with_prefix("seed/").len(), 1);
    assert!(store.get("seed/one/function/a").is_some() && store.get("function/a").is_some());
}

/// Guards against a follower's position that is ahead of its records after a crash: the gap would never be filled.
#[test]
fn a_recovered_note_implies_all_records_that_it_covers() {
    let folder = Folder::new("note");
    let store = open(&folder.0).expect("opens");
    store.merge_with_note(vec![of_peer("function/a", 1)], POSITION, |_| Text::of(&1)).expect("kept");
    let before = std::fs::read(folder.log()).expect("read").len();
    let records = (0..3).map(|name| of_peer(&format!("function/{name}"), 1)).collect();
    let merged = store.merge_with_note(records, POSITION, |_| Text::of(&2)).expect("kept");
    assert_eq!((merged.new_records, merged.left_out.len()), (3, 0));
    drop(store);
    let full_log = std::fs::read(folder.log()).expect("read");
    for end in before..=full_log.len() {
        std::fs::write(folder.log(), &full_log[..end]).expect("written");
        let store = open(&folder.0).expect("opens");
        let position = store.get(POSITION).expect("there").text().to_string();
        let records = store.records_with_prefix("function/").len();
        assert_eq!(position == "2", end == full_log.len(), "torn at {end}");
        assert!(position == "1" || records == 4, "torn at {end}: {records} records");
    }
}

/// Guards against a crash between two writes after which neither the record nor the note that it was left out is there.
#[test]
fn a_recovered_note_names_what_was_left_out() {
    let folder = Folder::new("left-out");
    let ledger = small().1;
    let store = Store::open("one", &folder.0, ledger.clone(), RestartRetention::AS_DATED).expect("opens");
    let large = |key: &str| Record { value: text("x".repeat(200 * KIB)), ..of_peer(key, 1) };
    let batches: Vec<Vec<Record>> = (0..12)
        .map(|batch| vec![large(&format!("function/{batch}")), of_peer("worker/w", batch + 1)])
        .collect();
    let mut lacking: Vec<String> = Vec::new();
    let mut ends = Vec::new();
    for batch in &batches {
        let merged = store.merge_with_note(batch.clone(), POSITION, |left_out| {
            lacking.extend(left_out.iter().map(|one| one.key.to_string()));
            Text::of(&lacking)
        });
        ends.push((std::fs::read(folder.log()).expect("read").len(), merged.expect("kept").left_out.len()));
    }
    drop(store);
    assert!(ends.iter().any(|end| end.1 == 0) && ends.iter().any(|end| end.1 > 0), "{ends:?}");
    let full_log = std::fs::read(folder.log()).expect("read");
    let last_start = ends[ends.len() - 2].0;
    for end in (0..last_start).step_by(10_007).chain(last_start..=full_log.len()) {
        std::fs::write(folder.log(), &full_log[..end]).expect("written");
        let store = open(&folder.0).expect("opens");
        let covered = ends.iter().take_while(|(complete, _)| *complete <= end).count();
        let Some(note) = store.get(POSITION) else {
            assert_eq!(covered, 0, "torn at {end}");
            continue;
        };
        let named: Vec<String> = note.value.expect("a value").read().expect("keys");
        for batch in &batches[..covered] {
            let is_told = store.get(&batch[0].key).is_some() || named.contains(&batch[0].key.to_string());
            assert!(is_told, "torn at {end}: {}", batch[0].key);
        }
        assert!(
            store.get("worker/w").is_some_and(|worker| worker.version >= covered as u64),
            "torn at {end}"
        );
    }
}
