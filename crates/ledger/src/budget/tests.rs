use super::*;
use crate::MIB;

const KEYS: (&str, &str) = ("memory_mb", "memory.shares");

fn shares(file: &[(&str, f64)]) -> Result<Shares, BudgetError> {
    let file = file.iter().map(|(name, percent)| (name.to_string(), *percent)).collect();
    Shares::daemon().with(&file, KEYS.1)
}

#[test]
fn caps_add_up_to_the_memory_left() {
    for shares in [Shares::daemon(), Shares::platform(), shares(&[("calls", 55.0)]).expect("fits")] {
        let budget = Budget::plan(128 * MIB, 6 * MIB, 15.0, &shares, KEYS).expect("fits");
        let room = 128.0 * 0.85 - 6.0;
        assert!((budget.room() as f64 / MIB as f64 - room).abs() < 0.01);
    }
    let budget = Budget::plan(32 * MIB, 6 * MIB, 15.0, &Shares::platform(), KEYS).expect("fits");
    assert_eq!(budget.cap(Purpose::Keys), 0, "off on the platform");
}

#[test]
fn shares_of_the_file_are_kept_and_the_others_keep_their_proportions() {
    let shares = shares(&[("calls", 64.0)]).expect("fits");
    assert_eq!(shares.percent(Purpose::Calls), 64.0);
    let of_rest = |purpose: Purpose| {
        purpose.settings().daemon_percent * 36.0 / (100.0 - Purpose::Calls.settings().daemon_percent)
    };
    let rest = Purpose::all().filter(|purpose| *purpose != Purpose::Calls);
    assert!(rest.into_iter().all(|one| (shares.percent(one) - of_rest(one)).abs() < 1e-9), "{shares:?}");
}

#[test]
fn an_invalid_budget_names_its_key() {
    let key = |end: Result<Shares, BudgetError>| end.expect_err("refused").key;
    assert_eq!(key(shares(&[("calls", 60.0), ("keys", 41.0)])), "memory.shares");
    assert_eq!(key(shares(&[("posts", 1.0)])), "memory.shares.posts");
    assert_eq!(key(shares(&[("calls", -1.0)])), "memory.shares.calls");
    assert_eq!(key(shares(&[("calls", f64::NAN)])), "memory.shares.calls");
    let plan = |mb: usize, shares: Shares| Budget::plan(mb * MIB, 6 * MIB, 15.0, &shares, KEYS);
    assert_eq!(plan(4, Shares::daemon()).expect_err("refused").key, "memory_mb");
    let starved = shares(&[("log", 0.1)]).expect("adds up");
    assert_eq!(plan(128, starved).expect_err("refused").key, "memory.shares.log");
    assert!(plan(128, Shares::daemon()).is_ok());
}

#[test]
fn a_purpose_is_raised_at_the_expense_of_those_not_set_in_the_file() {
    let raise =
        |file: &[(&str, f64)], bytes| shares(file).expect("fits").raise(Purpose::Catalog, bytes, 1000, KEYS);
    let few = raise(&[], 10).expect("has more");
    assert_eq!(few, Shares::daemon());
    let many = raise(&[("calls", 40.0)], 200).expect("fits");
    assert_eq!((many.percent(Purpose::Catalog), many.percent(Purpose::Calls)), (20.0, 40.0));
    let sum: f64 = Purpose::all().map(|purpose| many.percent(purpose)).sum();
    assert!((sum - 100.0).abs() < 1e-9, "{sum}");
    assert_eq!(raise(&[("catalog", 2.0)], 21).expect_err("named").key, "memory.shares.catalog");
    assert_eq!(raise(&[("calls", 40.0)], 601).expect_err("too much").key, "memory_mb");
}

#[test]
fn a_raised_purpose_keeps_its_share_when_another_is_raised() {
    let raised = Shares::platform().raise(Purpose::Roster, 100, 1000, KEYS).expect("fits");
    let both = raised.raise(Purpose::Learnt, 300, 1000, KEYS).expect("fits");
    assert_eq!((both.percent(Purpose::Roster), both.percent(Purpose::Learnt)), (10.0, 30.0));
    let sum: f64 = Purpose::all().map(|purpose| both.percent(purpose)).sum();
    assert!((sum - 100.0).abs() < 1e-9, "{sum}");
}
