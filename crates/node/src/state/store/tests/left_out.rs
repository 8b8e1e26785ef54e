use super::*;

const NOTE: &str = "local/feed-position";
/// Size of a function's value of which the account holds a few dozen.
const LARGE: usize = 100 * KIB;
/// What a note takes beyond the cap, in bytes.
const MOST_NOTE_BYTES: usize = KIB;

fn of_peer(key: &str, version: u64, value: Option<Text>) -> Record {
    let expires = UnixTime::NONE;
    Record { key: key.into(), is_final: false, version, node: "peer".into(), expires, value }
}

fn function(name: u32, version: u64, bytes: usize) -> Record {
    of_peer(&format!("function/{name}"), version, text("x".repeat(bytes)))
}

fn worker(version: u64, state: &str) -> Record {
    of_peer("worker/w", version, text(state))
}

/// Merges records with a note that names the keys that are left out.
fn merge(store: &Store, records: Vec<Record>) -> Merged {
    let keys = |left_out: &[LeftOut]| left_out.iter().map(|one| one.key.to_string()).collect::<Vec<_>>();
    store.merge_with_note(records, NOTE, |left_out| Text::of(&keys(left_out))).expect("in memory")
}

/// A store whose account has no room for a further function of [`LARGE`] bytes, and its functions.
fn full_store() -> (Store, Arc<Ledger>, u32) {
    let (store, ledger) = small();
    let merged = merge(&store, vec![worker(1, "up")]);
    assert_eq!(merged.new_records, 1);
    let kept = (0..1000).take_while(|name| merge(&store, vec![function(*name, 1, LARGE)]).new_records == 1);
    let kept = kept.count() as u32;
    assert!(kept > 3);
    (store, ledger, kept)
}

/// Guards against a drain that never takes effect because a new function before it in the same batch has no room.
#[test]
fn a_record_without_room_holds_back_no_change_of_what_is_known() {
    let (store, ledger, kept) = full_store();
    let records = vec![
        function(kept, 1, LARGE),
        worker(2, "draining"),
        function(kept + 1, 1, LARGE),
        of_peer("function/0", 2, None),
    ];
    let merged = merge(&store, records);
    assert_eq!(merged.new_records, 2);
    assert_eq!(store.get("worker/w").expect("known").text(), "\"draining\"");
    assert!(store.get("function/0").expect("a tombstone").value.is_none());
    // The note is kept with the rest, and names what was not kept and only that.
    let expected = format!("[\"function/{kept}\",\"function/{}\"]", kept + 1);
    assert_eq!(store.get(NOTE).expect("there").text(), expected);
    for left_out in &merged.left_out {
        assert!(matches!(&left_out.reason, LeftOutReason::Full(full) if full.account.name() == "catalog"));
        assert!(store.get(&left_out.key).is_none());
    }
    let account = ledger.account(Purpose::Catalog);
    assert!(account.used() <= account.cap());
    // The room of the deleted function is used.
    assert_eq!(merge(&store, vec![function(kept, 1, LARGE)]).new_records, 1);
    assert_eq!(store.get(NOTE).expect("there").text(), "[]");
    drop(store);
    assert_eq!(ledger.held(), 0);
}

/// Guards against a cap that new versions of known records take the account far beyond.
#[test]
fn new_versions_of_known_records_exceed_the_cap_by_a_bounded_part() {
    let (store, ledger, kept) = full_store();
    let account = ledger.account(Purpose::Catalog);
    let mut left_out = 0;
    for version in 2..20 {
        let bytes = LARGE + version as usize * KIB;
        left_out +=
            merge(&store, (0..kept).map(|name| function(name, version, bytes)).collect()).left_out.len();
        let most = account.cap() + account.cap() / 32 + MOST_NOTE_BYTES;
        assert!(account.used() <= most, "{account:?}");
    }
    assert!(left_out > 0, "the account's bound is reached");
    assert!(account.used() > account.cap(), "{account:?}");
    // A function that no longer grows, and a worker, may still change.
    let merged = merge(&store, vec![worker(2, "draining"), function(0, 20, LARGE)]);
    assert_eq!((merged.new_records, merged.left_out.len()), (2, 0));
}

/// Guards against a record that could never be kept and blocks all that follow.
#[test]
fn a_record_that_is_too_large_holds_back_no_other() {
    let (store, _) = small();
    let merged = merge(&store, vec![function(0, 1, MAX_VALUE), worker(1, "up")]);
    assert_eq!(merged.new_records, 1);
    let [left_out] = &merged.left_out[..] else { panic!("one record: {:?}", merged.left_out) };
    assert!(matches!(left_out.reason, LeftOutReason::TooLarge { bytes } if bytes > MAX_VALUE));
    assert!(store.get("worker/w").is_some());
}

#[test]
fn a_note_is_a_node_local_record() {
    let (store, ledger) = small();
    let refused = store.merge_with_note(vec![worker(1, "up")], "function/note", |_| Text::of(&1));
    assert!(matches!(refused, Err(StoreError::NotLocal(_))));
    assert_eq!((store.records_with_prefix("").len(), ledger.held()), (0, 0));
}
