use super::*;
use crate::core::Failure;
use crate::state::test_ledger;
use corkbay_ledger::{Budget, Ledger, Shares, TenantShare, MIB};

const MAX_ANSWER_BYTES: usize = 64 << 10;

fn deferred(key: &str) -> Deferred {
    Deferred {
        function: "f".into(),
        key: Some(key.into()),
        body_check: crc32fast::hash(b"x"),
        repeats_until: UnixTime::of(monotonic_ms() + 60_000.0),
        repeats_for: 60_000.0,
        answer: None,
        rerun: None,
    }
}

/// Guards against a call that runs twice across a restart: an open call may have run, so it fails, and a repeat of its
/// key is answered with that failure.
#[test]
fn a_call_open_at_a_restart_fails_and_keeps_its_key() {
    let store = Arc::new(Store::in_memory("a", test_ledger()));
    let before =
        Invocations::new(store.clone(), Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory");
    before.accept(RequestId(7), deferred("k"), None).expect("in memory");
    let after = Invocations::new(store, Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory");
    let failed = Answer::Failed(Failure { may_have_run: true, late: false });
    let (record, kept) = after.get(RequestId(7)).expect("kept");
    assert!(record.is_final);
    assert_eq!(kept.answer, Some(failed.clone()));
    let repeat = after.admit(&("f".into(), "k".into()), RequestId(8), b"x", monotonic_ms() + 1000.0, None);
    assert_eq!(repeat, Repeat::Done(RequestId(7), failed));
}

/// Guards against a wrong answer after a restart: a refused call must not be taken for the later served call with the
/// same key.
#[test]
fn a_refused_call_does_not_hold_its_key_after_a_restart() {
    let store = Arc::new(Store::in_memory("a", test_ledger()));
    let before =
        Invocations::new(store.clone(), Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory");
    let key = ("f".to_string(), "k".to_string());
    let refused = Answer::Refused { retry_after: 0.0, known: Failure { may_have_run: false, late: false } };
    let served = Answer::Served { body: b"z".to_vec() };
    for (id, answer) in [(9, &refused), (8, &served), (10, &refused)] {
        let accepted_call = before.accept(RequestId(id), deferred("k"), None).expect("in memory");
        before.finish(RequestId(id), Some(&key), answer, Some(accepted_call));
    }
    let after = Invocations::new(store, Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory");
    let repeat = after.admit(&key, RequestId(11), b"x", monotonic_ms() + 1000.0, None);
    assert_eq!(repeat, Repeat::Done(RequestId(8), served));
}

/// Guards against a replica that answers for the node that accepted the call.
#[test]
fn a_replica_invents_no_answer() {
    let (one, two) =
        (Arc::new(Store::in_memory("one", test_ledger())), Arc::new(Store::in_memory("two", test_ledger())));
    let accepting =
        Invocations::new(one.clone(), Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory");
    accepting.accept(RequestId(7), deferred("k"), None).expect("in memory");
    two.merge(one.missing_records(&two.digest(), usize::MAX)).expect("in memory");
    let replica =
        Invocations::new(two.clone(), Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory");
    let (record, kept) = replica.get(RequestId(7)).expect("replicated");
    assert!(!record.is_final && kept.answer.is_none());
}

#[test]
fn a_key_is_released_only_if_nothing_ran() {
    let store = Arc::new(Store::in_memory("a", test_ledger()));
    let invocations = Invocations::new(store, Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory");
    let key = ("f".to_string(), "k".to_string());
    let admit =
        |id, body: &[u8]| invocations.admit(&key, RequestId(id), body, monotonic_ms() + 60_000.0, None);
    assert_eq!(admit(1, b"x"), Repeat::Fresh);
    assert_eq!(admit(2, b"x"), Repeat::Open(RequestId(1)));
    assert_eq!(admit(2, b"y"), Repeat::Mismatch);
    let refused = Answer::Refused { retry_after: 0.0, known: Failure { may_have_run: false, late: false } };
    invocations.finish(RequestId(1), Some(&key), &refused, None);
    assert_eq!(admit(3, b"x"), Repeat::Fresh);
    let served = Answer::Served { body: b"z".to_vec() };
    invocations.finish(RequestId(3), Some(&key), &served, None);
    assert_eq!(admit(4, b"x"), Repeat::Done(RequestId(3), served));
}

fn small() -> (Invocations, Arc<Ledger>) {
    let budget = Budget::plan(32 * MIB, 0, 0.0, &Shares::daemon(), ("memory_mb", "memory.shares"));
    let share = |name: &str| TenantShare { name: name.into(), weight: 1.0 };
    let ledger = Arc::new(Ledger::new(&budget.expect("fits"), &[share("desk"), share("coop")]));
    let store = Arc::new(Store::in_memory("a", ledger.clone()));
    (Invocations::new(store, Duration::from_secs(60), MAX_ANSWER_BYTES).expect("in memory"), ledger)
}

/// Guards against final answers that are lost for lack of memory: a call is refused at the start if there is no room for
/// the largest answer; and a flood of one tenant doesn't use up the share of another.
#[test]
fn accepted_calls_have_room_for_their_answers_and_a_flood_leaves_other_tenants_theirs() {
    let (invocations, ledger) = small();
    let accept = |id, tenant| invocations.accept(RequestId(id), deferred("k"), Some(tenant));
    let flood: Vec<_> =
        (0..1000).map_while(|id| accept(id, 0).ok().map(|accepted_call| (id, accepted_call))).collect();
    assert!((10..100).contains(&flood.len()), "{}", flood.len());
    let refused = accept(5000, 0);
    assert!(matches!(refused, Err(StoreError::Full { retry_after: Some(span), .. }) if span > 60_000.0));
    let other: Vec<_> = (2000..2010).map(|id| (id, accept(id, 1).expect("its own share"))).collect();
    let answer = Answer::Served { body: vec![7; MAX_ANSWER_BYTES] };
    for (id, accepted_call) in flood.into_iter().chain(other) {
        invocations.finish(RequestId(id), None, &answer, Some(accepted_call));
        assert_eq!(invocations.get(RequestId(id)).and_then(|found| found.1.answer), Some(answer.clone()));
    }
    assert_eq!(ledger.account(Purpose::DeferredOpen).used(), 0);
    let finals = ledger.account(Purpose::DeferredFinal);
    assert!(finals.used() <= finals.cap() && finals.used() > finals.cap() / 4);
    drop(invocations);
    assert_eq!(ledger.held(), 0);
}

/// Guards against unbounded memory through idempotency keys: each reserves memory for its answer, and expired keys are
/// dropped to make room.
#[test]
fn a_flood_of_keys_is_rejected_with_a_retry_delay() {
    let (invocations, ledger) = small();
    let (key, soon) = (|at: u32| ("f".to_string(), at.to_string()), monotonic_ms() + 400.0);
    let admit = |at| invocations.admit(&key(at), RequestId(u64::from(at)), b"x", soon, None);
    let served = Answer::Served { body: vec![7; 10] };
    let mut fresh = 0;
    let rejected = loop {
        match admit(fresh) {
            Repeat::Fresh if fresh % 2 == 0 => {
                invocations.finish(RequestId(0), Some(&key(fresh)), &served, None)
            }
            Repeat::Fresh => {}
            other => break other,
        }
        fresh += 1;
    };
    assert!(matches!(rejected, Repeat::Crowded(Some(span)) if span > 0.0), "{rejected:?}");
    assert!(matches!(admit(0), Repeat::Done(..)) && matches!(admit(1), Repeat::Open(_)));
    let account = ledger.account(Purpose::Keys);
    let before = account.used();
    std::thread::sleep(Duration::from_millis(450));
    let refused = Answer::Refused { retry_after: 0.0, known: Failure { may_have_run: false, late: false } };
    invocations.finish(RequestId(1), Some(&key(1)), &refused, None);
    let other = invocations.admit(&key(2), RequestId(1), b"x", monotonic_ms() + 60_000.0, None);
    assert_eq!(other, Repeat::Fresh, "an expired key is new again");
    assert!(account.used() < before + MAX_ANSWER_BYTES, "expired keys were dropped");
}

/// A node with an empty store whose record of an open call comes from a peer.
fn returned(is_running: bool) -> (Arc<Store>, Invocations) {
    let new_store = || Arc::new(Store::in_memory("a", test_ledger()));
    let (old, peer, store) = (new_store(), Store::in_memory("b", test_ledger()), new_store());
    let retention = Duration::from_secs(60);
    let before = Invocations::new(old.clone(), retention, MAX_ANSWER_BYTES).expect("in memory");
    before.accept(RequestId(7), deferred("k"), None).expect("in memory");
    peer.merge(old.missing_records(&peer.digest(), usize::MAX)).expect("in memory");
    let after = Invocations::new(store.clone(), retention, MAX_ANSWER_BYTES).expect("in memory");
    if is_running {
        after.accept(RequestId(7), deferred("k"), None).expect("in memory");
    }
    store.merge(peer.missing_records(&store.digest(), usize::MAX)).expect("in memory");
    after.restore_received(&[key_of(RequestId(7)).into()]);
    (store, after)
}

/// Guards against an open call that no process ends: its record comes from a peer after the start.
#[test]
fn an_open_call_that_comes_from_a_peer_is_ended_once_it_is_due() {
    let (_, invocations) = returned(false);
    let repeat = |id| invocations.admit(&("f".into(), "k".into()), RequestId(id), b"x", f64::MAX, None);
    assert_eq!(repeat(8), Repeat::Open(RequestId(7)));
    assert_eq!(invocations.end_orphans(|_| false).expect("in memory"), 0);
    assert!(invocations.has_orphans());
    assert_eq!(invocations.end_orphans(|_| true).expect("in memory"), 1);
    let failed = Answer::Failed(Failure { may_have_run: true, late: false });
    assert_eq!(invocations.get(RequestId(7)).expect("kept").1.answer, Some(failed.clone()));
    assert_eq!(repeat(9), Repeat::Done(RequestId(7), failed));
    assert!(!invocations.has_orphans());
}

/// A call that this process runs is never ended as one of an earlier life.
#[test]
fn a_running_call_is_no_orphan() {
    let (_, invocations) = returned(true);
    assert!(!invocations.has_orphans());
    assert_eq!(invocations.end_orphans(|_| true).expect("in memory"), 0);
    assert!(!invocations.get(RequestId(7)).expect("kept").0.is_final);
}

/// A final record that comes before an orphan is due stands.
#[test]
fn the_answer_of_an_earlier_life_is_not_replaced() {
    let (store, invocations) = returned(false);
    let served = Deferred { answer: Some(Answer::Served { body: b"z".to_vec() }), ..deferred("k") };
    let final_draft = invocations.draft(&served, true);
    store.put(&mut Draft { key: &key_of(RequestId(7)), ..final_draft }).expect("in memory");
    invocations.restore_received(&[key_of(RequestId(7)).into()]);
    assert_eq!(invocations.end_orphans(|_| true).expect("in memory"), 0);
    assert_eq!(invocations.get(RequestId(7)).expect("kept").1.answer, served.answer);
    let repeat = invocations.admit(&("f".into(), "k".into()), RequestId(8), b"x", f64::MAX, None);
    assert_eq!(repeat, Repeat::Done(RequestId(7), Answer::Served { body: b"z".to_vec() }));
}
