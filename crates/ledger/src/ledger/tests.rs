use super::*;
use crate::{Shares, KIB, MIB};

fn budget(mb: usize) -> Budget {
    let keys = ("memory_mb", "memory.shares");
    Budget::plan(mb * MIB, 6 * MIB, 15.0, &Shares::daemon(), keys).expect("fits")
}

fn tenants() -> Vec<TenantShare> {
    let share = |name: &str, weight| TenantShare { name: name.into(), weight };
    vec![share("desk", 2.0), share("coop", 1.0)]
}

#[test]
fn every_purpose_and_part_is_seen() {
    let ledger = Ledger::new(&budget(128), &tenants());
    let _held = ledger.reserve(Purpose::Keys, Some(1), KIB).expect("room");
    let lines = ledger.statuses();
    let seen = |purpose: &str, tenant: Option<&str>| {
        let line = lines.iter().find(|line| line.purpose == purpose && line.tenant.as_deref() == tenant);
        line.map(|line| line.used)
    };
    assert_eq!(seen("keys", None), Some(KIB));
    assert_eq!(seen("keys", Some("coop")), Some(KIB));
    assert_eq!(seen("keys", Some("desk")), Some(0));
    assert_eq!(seen("roster", Some("desk")), None, "a list of workers belongs to nobody");
    assert_eq!((ledger.held(), lines.len()), (KIB, Purpose::COUNT + 4 * 3));
}

/// Guards against a reload that lowers the memory below what is held: nothing held is ended, new reservations
/// fail, and raising it again takes effect at once.
#[test]
fn a_lower_budget_takes_nothing_new_until_it_has_drained() {
    let ledger = Ledger::new(&budget(128), &tenants());
    let take = || ledger.reserve(Purpose::Calls, Some(0), 100 * KIB);
    let mut held: Vec<_> = std::iter::from_fn(|| take().ok()).collect();
    let before = ledger.held();
    ledger.apply_budget(&budget(64));
    assert_eq!(ledger.held(), before);
    while take().is_err() {
        assert!(held.pop().is_some(), "there is room before everything is released");
    }
    assert!(ledger.account(Purpose::Calls).used() <= ledger.account(Purpose::Calls).cap());
    ledger.apply_budget(&budget(128));
    assert!(take().is_ok());
    drop(held);
    assert_eq!(ledger.held(), 0);
}
