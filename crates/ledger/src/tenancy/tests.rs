use super::*;

fn tenancy(whole: &Account) -> Tenancy {
    let share = |name: &str, weight| TenantShare { name: name.into(), weight };
    Tenancy::new(whole, &[share("desk", 55.0), share("amana", 34.0), share("coop", 11.0), share("new", 0.0)])
}

#[test]
fn a_flood_by_one_tenant_leaves_the_others_their_parts() {
    let whole = Account::root("calls", 100_000);
    let tenancy = tenancy(&whole);
    let flood = |tenant| std::iter::from_fn(|| tenancy.reserve(tenant, 100).ok()).collect::<Vec<_>>();
    let coop = flood(Some(2));
    assert_eq!(coop.len(), 82 + 250, "its own part, then all that is common");
    let refused = |at: usize| tenancy.accounts().nth(at).expect("an account").refused();
    assert_eq!((refused(2), refused(4)), (1, 0), "one refusal, in its own name");
    assert!(tenancy.reserve(None, 100).is_err());
    let without_share = tenancy.reserve(Some(3), 100).expect_err("all that is common is taken");
    assert_eq!(without_share.cap, 25_000, "it could fit once others give back");
    assert_eq!((flood(Some(0)).len(), flood(Some(1)).len()), (412, 255));
    assert_eq!(whole.refused(), 0);
    drop(coop);
    assert_eq!(whole.used(), 0);
}

#[test]
fn a_new_cap_is_split_alike_and_without_shares_all_is_common() {
    let whole = Account::root("calls", 1000);
    let parts = tenancy(&whole);
    parts.set_cap(2000);
    assert_eq!(parts.accounts().map(Account::cap).collect::<Vec<_>>(), [825, 510, 165, 0, 500]);
    assert_eq!(parts.accounts().map(Account::cap).sum::<usize>(), 2000);
    let none = Tenancy::new(&whole, &[]);
    assert_eq!(none.accounts().map(Account::cap).collect::<Vec<_>>(), [1000]);
}
