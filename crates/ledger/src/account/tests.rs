use super::*;
use std::sync::mpsc::channel;

#[test]
fn a_reservation_counts_in_all_ancestors_and_is_released_from_all() {
    let root = Account::root("all", 100);
    let (calls, keys) = (root.child("calls", 80), root.child("keys", 50));
    let one = calls.reserve(60).expect("room");
    assert_eq!((root.used(), calls.used(), keys.used()), (60, 60, 0));
    let full = keys.reserve(50).expect_err("the root has 40 left");
    assert!(full.account.is(&root));
    assert_eq!((keys.used(), root.refused(), keys.refused()), (0, 1, 0), "nothing stays half taken");
    drop(one);
    assert_eq!((root.used(), calls.used(), root.peak(), calls.peak()), (0, 0, 60, 60));
}

#[test]
fn a_lowered_cap_keeps_reservations_and_refuses_new_ones() {
    let account = Account::root("calls", 100);
    let mut held = account.reserve(90).expect("room");
    account.set_cap(50);
    assert!(account.reserve(1).is_err() && held.resize(91).is_err());
    assert_eq!((held.bytes(), account.used()), (90, 90));
    held.shrink_to(40);
    assert!(account.reserve(10).is_ok());
    assert!(account.reserve(0).is_ok(), "nothing always fits");
    drop(account.reserve_over_cap(30));
    assert_eq!((account.used(), account.peak()), (40, 90));
}

/// Guards readers that wait for room: each continues as soon as its bytes fit, in order, and one that left
/// the queue blocks nobody.
#[test]
fn waiters_are_woken_in_order() {
    let account = Account::root("clients", 100);
    let mut held = account.reserve(100).expect("room");
    let (sender, woken) = channel();
    let wait = |name: &'static str, bytes| {
        let sender = sender.clone();
        account.notify_when_free(bytes, move || sender.send(name).expect("received"))
    };
    let large = wait("large", 60);
    let _small = wait("small", 10);
    let _last = wait("last", 50);
    held.shrink_to(80);
    assert!(woken.try_recv().is_err(), "the large one came first");
    drop(large);
    assert_eq!(woken.try_iter().collect::<Vec<_>>(), ["small"]);
    drop(held);
    assert_eq!(woken.try_iter().collect::<Vec<_>>(), ["last"]);
    let _at_once = wait("at once", 1);
    assert_eq!(woken.try_recv(), Ok("at once"));
    account.set_cap(0);
    let _raised = wait("raised", 5);
    account.set_cap(5);
    assert_eq!(woken.try_recv(), Ok("raised"));
}

#[test]
fn the_recent_peak_is_reset_by_each_read() {
    let account = Account::root("keys", 100);
    drop(account.reserve(70).expect("room"));
    assert_eq!((account.take_recent_peak(), account.take_recent_peak(), account.peak()), (70, 0, 70));
}
