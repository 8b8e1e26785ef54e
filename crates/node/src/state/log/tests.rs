use super::*;
use crate::state::record::Text;

fn record(key: &str, version: u64, filler: usize) -> Record {
    let value = Text::of(&"x".repeat(filler)).ok();
    Record {
        key: key.into(),
        is_final: false,
        version,
        node: "n".into(),
        expires: crate::clock::UnixTime::NONE,
        value,
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("corkbay-log-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn open(folder: &Path) -> (Log, Vec<Record>) {
    let mut kept = Vec::new();
    let log = Log::open(folder, Account::root("log", 1 << 20), |record| kept.push(record));
    (log.expect("opens"), kept)
}

/// Guards against a crash during a write: wherever the file is truncated, the complete records before that point are
/// read and new ones are appended after them.
#[test]
fn a_torn_tail_is_truncated_wherever_it_is_torn() {
    let folder = folder("torn");
    let (log, _) = open(&folder);
    let encode = |records: &[Record]| log.encode(records).expect("room").0;
    let (one_record, two_records) =
        (encode(&[record("a", 1, 3)]), encode(&[record("a", 1, 3), record("b", 1, 3)]));
    for end in 0..=two_records.len() {
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("folder");
        fs::write(folder.join("records.log"), &two_records[..end]).expect("written");
        let (log, kept) = open(&folder);
        let expected = usize::from(end >= one_record.len()) + usize::from(end == two_records.len());
        assert_eq!(kept.len(), expected, "torn at {end}");
        log.append(&[record("c", 1, 3)]).expect("appends");
        let (_, kept) = open(&folder);
        assert_eq!(kept.last(), Some(&record("c", 1, 3)));
        assert_eq!(kept.len(), expected + 1);
    }
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn a_damaged_record_and_all_after_it_are_ignored() {
    let folder = folder("damaged");
    let (log, _) = open(&folder);
    let mut bytes = log.encode(&[record("a", 1, 3), record("b", 1, 3)]).expect("room").0;
    let (first_bytes, last) = (log.encode(&[record("a", 1, 3)]).expect("room").0.len(), bytes.len() - 2);
    bytes[last] ^= 1;
    let mut kept = Vec::new();
    assert_eq!(decode(&bytes[..], &mut |record| kept.push(record)).expect("read"), first_bytes as u64);
    assert_eq!(kept, [record("a", 1, 3)]);
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn a_compacted_log_holds_the_given_records_and_accepts_appends() {
    let folder = folder("replace");
    let (log, _) = open(&folder);
    for version in 1..=200 {
        log.append(&[record("a", version, 1000)]).expect("appends");
    }
    let size = || fs::metadata(folder.join("records.log")).expect("there").len();
    let before = size();
    assert!(log.is_worth_compacting(2000) && !log.is_worth_compacting(before as usize));
    log.replace([vec![record("a", 200, 1000)], vec![record("b", 1, 3)]].into_iter()).expect("replaces");
    log.append(&[record("c", 1, 3)]).expect("appends");
    assert!(size() < before / 50, "{before} to {}", size());
    let (_, kept) = open(&folder);
    assert_eq!(kept, [record("a", 200, 1000), record("b", 1, 3), record("c", 1, 3)]);
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against unbounded memory while the disk stalls: writes that exceed the account are rejected before they are
/// encoded, and no reservation is leaked.
#[test]
fn writes_above_the_queue_account_are_rejected() {
    let folder = folder("full");
    let queued = Account::root("log", 2000);
    let log = Log::open(&folder, queued.clone(), |_| {}).expect("opens");
    assert!(matches!(log.append(&[record("a", 1, 3000)]), Err(LogError::Full(_))));
    log.append(&[record("a", 1, 30)]).expect("appends");
    assert_eq!(queued.used(), 0);
    let _ = fs::remove_dir_all(&folder);
}
