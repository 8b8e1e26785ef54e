use super::*;

#[test]
fn an_account_close_to_its_cap_is_reported_once_in_ten_seconds() {
    let (account, off) = (Account::root("keys", 100), Account::root("log", 0));
    let mut alarm = Alarm::default();
    let mut check = |now| alarm.check(now, [&account, &off].into_iter()).len();
    let held = account.reserve(79).expect("room");
    assert_eq!(check(0.0), 0);
    drop(account.reserve(1).expect("room"));
    assert_eq!(check(1000.0), 1, "it was close between two checks");
    assert_eq!(check(2000.0), 0, "it is no longer close");
    let more = account.reserve(21).expect("room");
    assert_eq!([3000.0, 10_999.0, 11_000.0, 12_000.0].map(&mut check), [0, 0, 1, 0]);
    drop((held, more));
    assert_eq!([40_000.0, 41_000.0].map(check), [1, 0], "what was held since the last check counts once");
}
