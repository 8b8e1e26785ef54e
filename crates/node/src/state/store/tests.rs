use super::*;
use crate::state::record::Text;
use crate::state::test_ledger;
use corkbay_ledger::{Budget, Shares, KIB, MIB};
use proptest::prelude::*;

mod batches;
mod left_out;
mod sharing;

const ALL: usize = usize::MAX;

fn text(value: impl serde::Serialize) -> Option<Text> {
    Text::of(&value).ok()
}

fn call(key: &str, value: u32, is_final: bool) -> Draft<'_> {
    Draft { is_final, writers: Writers::First, ..Draft::new(key, text(value)) }
}

fn record() -> impl Strategy<Value = Record> {
    (any::<bool>(), 0u64..4, "[ab]", 0u8..3, 0u8..3).prop_map(|(is_final, version, node, value, expires)| {
        let value = (value > 0).then(|| Text::of(&value).expect("text"));
        Record {
            key: "k".into(),
            is_final,
            version,
            node: node.into(),
            expires: UnixTime::from_ms(f64::from(expires)),
            value,
        }
    })
}

proptest! {
    /// Guards against replicas that diverge because records arrived in another order or more than once.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in record(), b in record(), c in record()) {
        let merge = |x: &Record, y: &Record| x.clone().merge(y.clone());
        prop_assert_eq!(merge(&a, &b), merge(&b, &a));
        prop_assert_eq!(merge(&merge(&a, &b), &c), merge(&a, &merge(&b, &c)));
        prop_assert_eq!(merge(&a, &a), a.clone());
    }

    /// Guards against losing a final answer: a final record is never replaced by one that is not final, whichever
    /// arrives later.
    #[test]
    fn final_is_final(records in proptest::collection::vec(record(), 1..8)) {
        let merged = records.iter().cloned().reduce(Record::merge).expect("some");
        prop_assert_eq!(merged.is_final, records.iter().any(|record| record.is_final));
    }

    #[test]
    fn nodes_that_exchange_lacking_records_converge(left in proptest::collection::vec(record(), 0..6),
                                             right in proptest::collection::vec(record(), 0..6)) {
        let (one, two) = (Store::in_memory("one", test_ledger()), Store::in_memory("two", test_ledger()));
        let without_expiry = |mut records: Vec<Record>| {
            records.iter_mut().for_each(|record| record.expires = UnixTime::NONE);
            records
        };
        one.merge(without_expiry(left)).expect("in memory");
        two.merge(without_expiry(right)).expect("in memory");
        two.merge(one.missing_records(&two.digest(), ALL)).expect("in memory");
        one.merge(two.missing_records(&one.digest(), ALL)).expect("in memory");
        prop_assert_eq!(one.digest(), two.digest());
    }
}

#[test]
fn a_single_writer_record_rejects_other_nodes_and_any_write_once_final() {
    let (one, two) = (Store::in_memory("one", test_ledger()), Store::in_memory("two", test_ledger()));
    one.put(&mut call("call/1", 1, false)).expect("first");
    two.merge(one.missing_records(&two.digest(), ALL)).expect("in memory");
    let foreign = two.put(&mut call("call/1", 2, true));
    assert!(matches!(foreign, Err(StoreError::Foreign(node)) if &*node == "one"));
    one.put(&mut call("call/1", 3, true)).expect("its writer");
    let late = one.put(&mut call("call/1", 4, true));
    assert!(matches!(late, Err(StoreError::Final)));
}

fn small() -> (Store, Arc<Ledger>) {
    let budget = Budget::plan(32 * MIB, 0, 0.0, &Shares::daemon(), ("memory_mb", "memory.shares"));
    let ledger = Arc::new(Ledger::new(&budget.expect("fits"), &[]));
    (Store::in_memory("one", ledger.clone()), ledger)
}

/// Guards against unbounded memory growth through new names, and against a full store that blocks a drain: new records
/// are rejected with a retry delay, but a worker can still be drained and removed.
#[test]
fn a_full_catalog_rejects_new_records_but_still_drains_workers() {
    let (store, ledger) = small();
    store.put(&mut Draft::new("worker/w", text("up"))).expect("room");
    let filler = "x".repeat(10 * KIB);
    let mut names = 0;
    let rejection = loop {
        match store.put(&mut Draft::new(&format!("function/{names}"), text(&filler))) {
            Ok(_) => names += 1,
            Err(error) => break error,
        }
    };
    assert!(
        names > 100 && matches!(rejection, StoreError::Full { retry_after: Some(span), .. } if span > 1000.0)
    );
    store
        .put(&mut Draft { may_exceed_cap: true, ..Draft::new("worker/w", text("draining".repeat(2000))) })
        .expect("drained");
    assert_eq!(store.get("worker/w").map(|record| record.version), Some(2));
    store.put(&mut Draft::new("worker/w", None)).expect("taken away");
    store.put(&mut Draft::new("function/0", None)).expect("taken away");
    store.put(&mut Draft::new("function/new", text("x".repeat(9 * KIB)))).expect("room again");
    let account = ledger.account(Purpose::Catalog);
    assert!(account.used() <= account.cap());
    drop(store);
    assert_eq!(ledger.held(), 0);
}

/// Guards against tombstones that are never dropped, and against an old record in the log that overrides a key that is
/// created again.
#[test]
fn tombstones_without_listeners_are_dropped_and_new_keys_continue_their_versions() {
    let (store, ledger) = small();
    for name in 0..100 {
        store.put(&mut Draft::new(&format!("function/{name}"), text(name))).expect("room");
        store.put(&mut Draft::new(&format!("function/{name}"), None)).expect("taken away");
    }
    store.sweep().expect("in memory");
    assert_eq!(ledger.held(), 0);
    assert_eq!(store.put(&mut Draft::new("function/7", text(7))).expect("room").version, 3);
}

#[test]
fn expired_records_are_neither_sent_nor_merged() {
    let (one, two) = (Store::in_memory("one", test_ledger()), Store::in_memory("two", test_ledger()));
    let mut draft = Draft { expires: UnixTime::of(monotonic_ms() - 1.0), ..Draft::new("a", text(1)) };
    let old = one.put(&mut draft).expect("in memory");
    assert!(one.get("a").is_none() && one.digest().is_empty());
    assert_eq!(two.merge(vec![old]).expect("in memory").new_records, 0);
}

/// Guards against unbounded replication messages: records that don't fit into one are sent with the next.
#[test]
fn nodes_converge_through_bounded_messages() {
    let (one, two) = (Store::in_memory("one", test_ledger()), Store::in_memory("two", test_ledger()));
    for name in 0..100 {
        one.put(&mut Draft::new(&format!("function/{name}"), text("x".repeat(100)))).expect("room");
    }
    let swaps = (0..100).take_while(|_| {
        two.merge(one.missing_records(&two.digest(), 8 * KIB)).expect("in memory").new_records > 0
    });
    assert!((5..50).contains(&swaps.count()));
    assert_eq!(one.digest(), two.digest());
}

/// Guards against unaccounted memory while the log's disk stalls: queued writes are charged and are not visible before
/// they are durable, other purposes keep their share, and afterwards all records are there and the charges released.
#[test]
fn writes_that_wait_for_the_disk_are_accounted_and_visible_once_durable() {
    let ledger = test_ledger();
    let (log, resume_disk) = Log::stalled(ledger.account(Purpose::Log).clone());
    let store = Arc::new(Store { log: Some(log), ..Store::in_memory("one", ledger.clone()) });
    let write = |key: &'static str| {
        let store = store.clone();
        crate::lifecycle::spawn(move || store.put(&mut Draft::new(key, text("x".repeat(1000)))).is_ok())
    };
    let writes: Vec<_> = ["function/a", "function/b"].into_iter().map(write).collect();
    let began = std::time::Instant::now();
    while ledger.account(Purpose::Log).used() == 0 {
        assert!(began.elapsed().as_secs() < 20, "nothing is queued for the log");
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    assert!(ledger.account(Purpose::Catalog).used() > 1000 && store.get("function/a").is_none());
    assert!(ledger.reserve(Purpose::Calls, None, KIB).is_ok());
    resume_disk();
    assert!(writes.into_iter().all(|write| write.join().expect("no panic")));
    assert_eq!(store.records_with_prefix("function/").len(), 2);
    assert_eq!(ledger.account(Purpose::Log).used(), 0);
    drop(store);
    assert_eq!(ledger.held(), 0);
}

/// Guards against deleted records that come back: while a node starts it has no listeners yet, and a full account must
/// not make it drop its tombstones.
#[test]
fn a_full_account_drops_expired_records_but_not_tombstones() {
    let (store, _) = small();
    store.put(&mut Draft::new("function/a", text(1))).expect("room");
    store.put(&mut Draft::new("function/a", None)).expect("taken away");
    let expired = Draft {
        expires: UnixTime::of(monotonic_ms() - 1.0),
        ..Draft::new("function/expired", text("x".repeat(10 * KIB)))
    };
    store.put(&mut { expired }).expect("room");
    let fill =
        |name: u32| store.put(&mut Draft::new(&format!("function/{name}"), text("x".repeat(10 * KIB))));
    assert!((0..1000).any(|name| fill(name).is_err()), "the account fills up");
    assert!(!lock(&store.records).contains_key("function/expired"));
    assert!(lock(&store.records).contains_key("function/a"));
    store.on_change(may::sync::mpsc::channel().0);
    store.sweep().expect("in memory");
    assert!(lock(&store.records).contains_key("function/a"), "a listener is registered");
}
